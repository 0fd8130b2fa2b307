package peer

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
)

// Over an unresponsive connection, a call that waits for the previous one has
// not run, the previous one has an unknown effect, and the next call must dial a
// new connection.
func TestControlClientOverUnresponsiveConnection(t *testing.T) {
	var calls atomic.Int64
	server := &Server{Owner: newOwner(echo), Methods: map[string]Method{
		"count": func(context.Context, []byte) (any, error) { return calls.Add(1), nil },
	}}
	proxy, address := startBlackholeProxy(t, startServer(t, server))
	var c ControlClient
	defer c.Close()
	var n int
	assert.NilError(t, c.Call(t.Context(), address, "count", nil, &n))
	proxy.drop(true, true)
	long, cancelLong := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() { first <- c.Call(long, address, "count", nil, new(int)) }()
	waittest.Until(t, "the call runs", func() bool { return inFlight(&c, address) })
	short, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	err := c.Call(short, address, "count", nil, &n)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun, "the call waited for the previous one: %v", err)
	cancelLong()
	assert.Equal(t, errkind.Of(<-first).Effect, errkind.Unknown)
	assert.NilError(t, c.Call(t.Context(), address, "count", nil, &n))
	assert.Equal(t, n, 2)
}

// inFlight reports whether a call to a host is in flight.
func inFlight(c *ControlClient, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns[address].slot) == 1
}

// A host that does not read, for example a suspended process, blocks the write
// of a call. The call must still end with its context, and the next call must
// reach another host.
func TestControlClientToHostThatDoesNotRead(t *testing.T) {
	address := startServer(t, &Server{Methods: map[string]Method{
		"heartbeat": func(context.Context, []byte) (any, error) { return struct{}{}, nil },
	}})
	suspended, unread := net.Pipe()
	defer unread.Close()
	var plain DialFunc
	c := ControlClient{Dial: func(ctx context.Context, to string) (net.Conn, error) {
		if to == "suspended" {
			return suspended, nil
		}
		return plain.dial(ctx, to)
	}}
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- c.Call(ctx, "suspended", "heartbeat", strings.Repeat("x", 1<<16), &struct{}{}) }()
	select {
	case err := <-done:
		assert.Assert(t, err != nil)
	case <-time.After(waittest.Timeout):
		t.Fatal("the call did not end with its context")
	}
	assert.NilError(t, c.Call(t.Context(), address, "heartbeat", struct{}{}, &struct{}{}))
}

// A call that times out must be cancelled at the other host and must not cost its
// connection: a host that is slow is not made slower by new ones. The next call must
// not run there while the first still does.
func TestTimedOutControlCallKeepsItsConnection(t *testing.T) {
	var running, atOnce atomic.Int64
	server := &Server{Owner: newOwner(echo), Methods: map[string]Method{
		"slow": func(ctx context.Context, _ []byte) (any, error) {
			defer running.Add(-1)
			atOnce.Store(max(atOnce.Load(), running.Add(1)))
			<-ctx.Done() // ends only if the call is cancelled
			time.Sleep(50 * time.Millisecond)
			return struct{}{}, nil
		},
		"quick": func(context.Context, []byte) (any, error) {
			atOnce.Store(max(atOnce.Load(), running.Load()+1))
			return 7, nil
		},
	}}
	var dials atomic.Int64
	var plain DialFunc
	c := ControlClient{Dial: func(ctx context.Context, to string) (net.Conn, error) {
		dials.Add(1)
		return plain.dial(ctx, to)
	}}
	defer c.Close()
	address := startServer(t, server)
	for range 5 {
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
		err := c.Call(ctx, address, "slow", nil, &struct{}{})
		stop()
		assert.Assert(t, err != nil)
	}
	var n int
	assert.NilError(t, c.Call(t.Context(), address, "quick", nil, &n))
	assert.Equal(t, n, 7)
	assert.Equal(t, dials.Load(), int64(1), "a call that timed out cost its connection")
	assert.Equal(t, atOnce.Load(), int64(1), "a call ran while an earlier one still ran")
}

// A host that accepts connections and never answers must not get a new one for each
// call.
func TestSilentHostGetsFewConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	var accepted atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			defer nc.Close()
		}
	}()
	var c ControlClient
	defer c.Close()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
		assert.Assert(t, c.Call(ctx, ln.Addr().String(), "count", nil, &struct{}{}) != nil)
		stop()
	}
	assert.Assert(t, accepted.Load() <= 3, "%d connections in 3 s", accepted.Load())
}

// With ControlClient.Silence a call ends when the other host is silent, and not while a
// large reply arrives: the same reply would take as long when asked for again.
func TestControlCallLastsWhileItsReplyArrives(t *testing.T) {
	const (
		silence    = 100 * time.Millisecond
		replyBytes = 64 << 10
		rate       = 128 << 10 // bytes a second
	)
	server := &Server{Owner: newOwner(echo), Methods: map[string]Method{
		"large": func(context.Context, []byte) (any, error) { return strings.Repeat("x", replyBytes), nil },
		"mute":  func(ctx context.Context, _ []byte) (any, error) { <-ctx.Done(); return nil, ctx.Err() },
	}}
	var plain DialFunc
	c := ControlClient{Silence: silence, Dial: func(ctx context.Context, to string) (net.Conn, error) {
		nc, err := plain.dial(ctx, to)
		return limitedConn{nc, rate}, err
	}}
	defer c.Close()
	address := startServer(t, server)
	began := time.Now()
	var reply string
	assert.NilError(t, c.Call(t.Context(), address, "large", nil, &reply))
	assert.Equal(t, len(reply), replyBytes)
	assert.Assert(t, time.Since(began) > 2*silence, "the reply was not slow")

	began = time.Now()
	err := c.Call(t.Context(), address, "mute", nil, &reply)
	assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown, "%v", err)
	assert.Assert(t, time.Since(began) >= silence, "the call ended before the other host was silent")
	assert.NilError(t, c.Call(t.Context(), address, "large", nil, &reply))
}

// limitedConn is a connection that delivers bytes at a limited rate per second.
type limitedConn struct {
	net.Conn
	rate float64
}

// Read implements net.Conn.
func (c limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 1<<10)])
	time.Sleep(time.Duration(float64(n) / c.rate * float64(time.Second)))
	return n, err
}
