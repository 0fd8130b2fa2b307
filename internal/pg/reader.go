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
	// watchDelay is how long a request runs before watchDisconnect starts to
	// read ahead.
	watchDelay = 20 * time.Millisecond
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// readAheadBytes bounds the bytes read ahead from a caller during a request.
	readAheadBytes = 16 << 10
)

// callerWriter writes to a caller with a timeout of writeTimeout per write.
type callerWriter struct{ net net.Conn }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	_ = w.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.net.Write(p)
}

// callerReader reads from a caller. While a request runs it can read ahead to
// detect that the caller has disconnected.
type callerReader struct {
	net net.Conn

	mu       sync.Mutex
	buffered []byte
	err      error // error that ended reading ahead
}

// Read implements io.Reader. It must not be called while watchDisconnect is
// active.
func (r *callerReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	if len(r.buffered) > 0 {
		n := copy(p, r.buffered)
		r.buffered = r.buffered[n:]
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

// watchDisconnect calls onDisconnect if the caller disconnects while its request
// runs and has sent no further bytes. stop ends the watch. Requests shorter than
// watchDelay are not watched.
func (r *callerReader) watchDisconnect(onDisconnect func()) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(done)
		r.readAhead(onDisconnect)
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

// readAhead reads into the buffer until the caller disconnects, the read deadline
// passes or readAheadBytes have been read.
func (r *callerReader) readAhead(onDisconnect func()) {
	buf := make([]byte, readAheadBytes)
	for n := 0; n < len(buf); {
		m, err := r.net.Read(buf[n:])
		n += m
		r.mu.Lock()
		r.buffered = append(r.buffered, buf[n-m:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.err = err
		}
		disconnected := r.err != nil && len(r.buffered) == 0
		r.mu.Unlock()
		if disconnected {
			onDisconnect()
		}
		if err != nil {
			return
		}
	}
}
