// Package logsink writes log lines without blocking the code that logs them. If
// the reader of the log is too slow or has stopped, lines are dropped and counted.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the capacity of the queue of lines that wait to be written.
const queueLines = 8192

// Sink is an io.Writer for log lines. It queues the lines and writes them in a
// separate goroutine. Each call of Write is one line.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a Sink that writes to out. Close must be called to stop it.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks: if the queue is full, the line is
// dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // dropped by a Limiter
	}
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// IsHalfFull reports whether the queue is more than half full.
func (s *Sink) IsHalfFull() bool { return len(s.lines) > queueLines/2 }

// Dropped returns the number of dropped lines that have not been reported yet.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// run writes the queued lines. If lines were dropped, it reports their number
// before the next line. A nil line ends it.
func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if line == nil {
			return
		}
		if n := s.dropped.Swap(0); n > 0 {
			s.writeLine([]byte(fmt.Sprintf(`{"level":"warning","msg":"log lines were left out","lines":%d}`+"\n", n)))
		}
		s.writeLine(line)
	}
}

// writeLine writes one line. Write errors are ignored, because there is nowhere to
// log them.
func (s *Sink) writeLine(line []byte) { _, _ = s.out.Write(line) }

// Close writes the queued lines and stops the sink. If the queue is full, the
// reader is assumed to have stopped, and Close returns at once.
func (s *Sink) Close() {
	s.closeOnce.Do(func() {
		select {
		case s.lines <- nil:
			<-s.done
		default:
		}
	})
}
