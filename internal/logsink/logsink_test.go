package logsink

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	var want strings.Builder
	for n := range 100 {
		line := fmt.Sprintf("line %d\n", n)
		want.WriteString(line)
		_, err := s.Write([]byte(line))
		assert.NilError(t, err)
	}
	s.Close()
	assert.Equal(t, out.String(), want.String())
}

// A log reader that has stopped must not block the code that logs. The lines that
// were dropped meanwhile are counted and reported.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	s := New(writer)
	const excess = 1000
	for n := range queueLines + excess {
		_, err := s.Write([]byte(fmt.Sprintf("line %d\n", n)))
		assert.NilError(t, err)
	}
	dropped := s.Dropped()
	assert.Assert(t, dropped >= excess-1, "%d", dropped) // the writer may hold one more line
	close(writer.release)
	for len(s.lines) == cap(s.lines) {
		runtime.Gosched()
	}
	s.Close()
	assert.Assert(t, strings.Contains(writer.written.String(), fmt.Sprintf(`"lines":%d`, dropped)))
}
