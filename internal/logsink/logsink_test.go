package logsink

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// stopped is a reader that takes nothing until it is let go.
type stopped struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stopped) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
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

// A reader that has stopped holds nobody up; what was left out is said.
func TestStoppedReader(t *testing.T) {
	reader := &stopped{release: make(chan struct{})}
	s := New(reader)
	const over = 1000
	for n := range queueLines + over {
		_, err := s.Write([]byte(fmt.Sprintf("line %d\n", n)))
		assert.NilError(t, err)
	}
	left := s.Dropped()
	assert.Assert(t, left >= over-1, "%d", left) // one line may be with the reader
	close(reader.release)
	for len(s.lines) == cap(s.lines) {
		runtime.Gosched()
	}
	s.Close()
	assert.Assert(t, strings.Contains(reader.got.String(), fmt.Sprintf(`"lines":%d`, left)))
}
