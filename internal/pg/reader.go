package pg

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/drain"
)

const (
	// watchDelay is how long a request runs before its caller is watched.
	watchDelay = 20 * time.Millisecond
	// writeTimeout is how long a caller may leave a part of an answer unread.
	writeTimeout = 5 * time.Second
	// readAheadBytes bounds what is read from a caller while its request runs.
	readAheadBytes = 16 << 10
)

// callerWriter writes to a caller that reads.
type callerWriter struct{ net net.Conn }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	_ = w.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.net.Write(p)
}

// callerReader reads from a caller. While a request runs it can read ahead, to
// notice that the caller went away.
type callerReader struct {
	net net.Conn

	mu    sync.Mutex
	ahead []byte
	err   error // that ended reading ahead
}

// Read implements io.Reader. It is not called while the caller is watched.
func (r *callerReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		r.mu.Unlock()
		return n, nil
	}
	err := r.err
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return r.net.Read(p)
}

// watch calls gone when the caller leaves while its request runs, having sent
// nothing more. The returned function ends that. Short requests are not
// watched.
func (r *callerReader) watch(gone func()) (end func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(done)
		r.readAhead(gone)
	})
	return func() {
		if timer.Stop() {
			return
		}
		drain.Interrupt(r.net)
		<-done
		_ = r.net.SetReadDeadline(time.Time{})
	}
}

// readAhead reads until the caller leaves, or its read deadline passes.
func (r *callerReader) readAhead(gone func()) {
	buf := make([]byte, readAheadBytes)
	for n := 0; n < len(buf); {
		m, err := r.net.Read(buf[n:])
		n += m
		r.mu.Lock()
		r.ahead = append(r.ahead, buf[n-m:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.err = err
		}
		left := r.err != nil && len(r.ahead) == 0
		r.mu.Unlock()
		if left {
			gone()
		}
		if err != nil {
			return
		}
	}
}
