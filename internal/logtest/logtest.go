// Package logtest captures the logs of processes and hosts in tests.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer holds a log that can be read while it is written. The zero value is an
// empty log.
type Buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the log up to now.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
