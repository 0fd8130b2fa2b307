// Package logsink writes log lines without ever holding up who logs: a reader
// that has stopped costs lines, not time.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines may wait for the reader.
const queueLines = 8192

// Sink is an io.Writer for log lines. Each Write is one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	end     sync.Once
}

// New returns a Sink that writes to out. Close ends it.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never waits; a line for which there is no room
// is counted and left out.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // left out by a Limiter
	}
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// IsHalfFull reports whether the room for lines is half used.
func (s *Sink) IsHalfFull() bool { return len(s.lines) > queueLines/2 }

// Dropped returns how many lines were left out and not yet reported.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// run writes lines, and says how many were left out once there is room again.
func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if line == nil {
			return
		}
		if n := s.dropped.Swap(0); n > 0 {
			s.put([]byte(fmt.Sprintf(`{"level":"warning","msg":"log lines were left out","lines":%d}`+"\n", n)))
		}
		s.put(line)
	}
}

// put writes one line. A reader that is gone cannot be told so.
func (s *Sink) put(line []byte) { _, _ = s.out.Write(line) }

// Close writes what waits and ends the sink, unless the reader has stopped.
func (s *Sink) Close() {
	s.end.Do(func() {
		select {
		case s.lines <- nil:
			<-s.done
		default:
		}
	})
}
