package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
)

// The other end is unresponsive only if it left a ping unanswered. Silence before
// the ping, and time in which this process did not run, prove nothing.
func TestSilenceWatch(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		now, lastRead time.Duration
		want          verdict
	}
	for name, steps := range map[string][]step{
		"answers arrive": {
			{100 * ms, 90 * ms, responsive}, {200 * ms, 190 * ms, responsive},
		},
		"an idle link whose ping is answered": {
			{100 * ms, -400 * ms, needsPing}, {200 * ms, 105 * ms, responsive},
		},
		"a slow statement on a working link": {
			{100 * ms, 0, needsPing}, {200 * ms, 102 * ms, responsive}, {300 * ms, 102 * ms, needsPing}, {400 * ms, 302 * ms, responsive},
		},
		"nothing arrives": {
			{100 * ms, 0, needsPing}, {200 * ms, 0, awaitsPong}, {300 * ms, 0, unresponsive}, {400 * ms, 0, unresponsive},
		},
		"bytes arrive again": {
			{100 * ms, 0, needsPing}, {200 * ms, 0, awaitsPong}, {300 * ms, 0, unresponsive}, {400 * ms, 350 * ms, responsive},
		},
		"this process was held up": {
			{100 * ms, 0, needsPing}, {3000 * ms, 0, needsPing}, {3100 * ms, 0, awaitsPong}, {3200 * ms, 3150 * ms, responsive},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var w silenceWatch
			for _, s := range steps {
				assert.Equal(t, w.check(s.now, s.lastRead), s.want, "at %v", s.now)
			}
		})
	}
}

// newHangingOwner returns an owner that echoes requests, but holds those with the
// text "hang" until their caller gives up, and the channel that it signals then.
func newHangingOwner() (owner *fakeOwner, started <-chan struct{}) {
	begun := make(chan struct{}, 2)
	owner = newOwner(func(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
		if string(r.Messages) != "hang" {
			return echo(ctx, r, s)
		}
		begun <- struct{}{}
		<-ctx.Done()
		return request.Result{}, ctx.Err()
	})
	return owner, begun
}

// While packets to a host are dropped, it must soon count as unresponsive, and a
// read that other instances can serve must not wait for the link to be closed.
// Once packets pass again, the host must count as responsive without a request
// that waits for it.
func TestUnresponsiveHost(t *testing.T) {
	owner, started := newHangingOwner()
	proxy, address := startBlackholeProxy(t, startServer(t, &Server{Owner: owner}))
	timing := DefaultTiming()
	timing.IdleTimeout = 3 * time.Second
	r := NewRemote(address, timing, nil)
	t.Cleanup(r.Close)
	assert.Assert(t, r.Responsive(), "nothing is known yet")
	write, read := make(chan error, 1), make(chan error, 1)
	send := func(reroutable bool, done chan error) {
		q := newRequest("hang")
		q.Reroutable = reroutable
		_, err := r.Execute(context.Background(), q, &collectSink{})
		done <- err
	}
	go send(false, write)
	go send(true, read)
	<-started
	<-started
	assert.Assert(t, r.Responsive())
	proxy.drop(true, true)
	dropped := time.Now()
	err := <-read
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	assert.Assert(t, time.Since(dropped) < 2*time.Second, "the read waited for the link")
	assert.Assert(t, !r.Responsive())
	select {
	case err := <-write:
		t.Fatalf("a write whose answer may still arrive was given up: %v", err)
	default:
	}
	assert.Assert(t, errkind.Is(<-write, errkind.OutcomeUnknown))
	waittest.Until(t, "the host responds again", r.Responsive)
	assertEcho(t, r, "over a new link")
}

// A call to a host whose last connection attempt failed must not wait for the
// whole dial timeout again.
func TestCallToHostKnownToBeDown(t *testing.T) {
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done() // as if packets were dropped
		return nil, ctx.Err()
	}
	r := NewRemote("", DefaultTiming(), DialFunc(dial))
	t.Cleanup(r.Close)
	_, err := r.Execute(t.Context(), newRequest("first"), &collectSink{})
	assert.Assert(t, errkind.Is(err, errkind.NoOwner), "%v", err)
	assert.Assert(t, !r.Responsive())
	began := time.Now()
	_, err = r.Execute(t.Context(), newRequest("second"), &collectSink{})
	assert.Assert(t, errkind.Is(err, errkind.NoOwner), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
	assert.Assert(t, time.Since(began) < DefaultTiming().DialTimeout/2)
}

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Unwrap implements Unwrapper.
func (c countingConn) Unwrap() net.Conn { return c.Conn }

// startCountingRemote returns a Remote and the number of writes over its links.
func startCountingRemote(t *testing.T, address string) (*Remote, *atomic.Int64) {
	writes := &atomic.Int64{}
	r := NewRemote(address, DefaultTiming(), func(ctx context.Context, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{nc, writes}, err
	})
	t.Cleanup(r.Close)
	return r, writes
}

// A host has links to most others and rarely uses each of them. A link without
// calls and transactions must cost nothing and stay open.
func TestRestingLinkSendsNothing(t *testing.T) {
	server := &Server{Owner: newOwner(echo), Timing: Timing{IdleTimeout: 150 * time.Millisecond}}
	r, writes := startCountingRemote(t, startServer(t, server))
	assertEcho(t, r, "first")
	time.Sleep(2 * checkInterval) // the check that follows the call
	before, link := writes.Load(), r.link
	time.Sleep(time.Second)
	assert.Equal(t, writes.Load(), before)
	assertEcho(t, r, "second")
	assert.Assert(t, r.link == link, "the resting link was closed")
}

// While a transaction is open and its caller pauses, the owner must not take the
// silence for the loss of the host, which would roll the transaction back.
func TestLinkWithOpenTransactionIsKept(t *testing.T) {
	status := request.TxOpen
	owner := newOwner(func(_ context.Context, _ *request.Request, s request.Sink) (request.Result, error) {
		return request.Result{TxStatus: status}, s.Answer([]byte("ok"))
	})
	server := &Server{Owner: owner, Timing: Timing{IdleTimeout: 300 * time.Millisecond}}
	r, _ := startCountingRemote(t, startServer(t, server))
	_, err := r.Execute(t.Context(), newRequest("begin"), &collectSink{})
	assert.NilError(t, err)
	link := r.link
	select {
	case s := <-owner.ended:
		t.Fatalf("session %v was ended", s)
	case <-time.After(1500 * time.Millisecond):
	}
	status = request.TxIdle
	q := newRequest("commit")
	q.Continues = true
	_, err = r.Execute(t.Context(), q, &collectSink{})
	assert.NilError(t, err)
	assert.Assert(t, r.link == link)
}

// A link that has rested may have been cut meanwhile. A write must not be sent over
// it before the host has answered, because its outcome would be unknown.
func TestWriteIsNotSentIntoSilence(t *testing.T) {
	proxy, address := startBlackholeProxy(t, startServer(t, &Server{Owner: newOwner(echo)}))
	r := startRemote(t, address)
	assertEcho(t, r, "first")
	time.Sleep(restingAfter + 3*checkInterval)
	proxy.drop(true, true)
	_, err := r.Execute(t.Context(), newRequest("write"), &collectSink{})
	assert.Assert(t, errkind.Is(err, errkind.NoOwner), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
	waittest.Until(t, "the host responds again", r.Responsive)
	assertEcho(t, r, "over a new link")
}

// A host that was found unresponsive while only reads waited, which were then sent
// elsewhere, must count as responsive again once it answers. No request is sent to
// it meanwhile that could show it.
func TestUnresponsiveHostRecoversWithoutCalls(t *testing.T) {
	owner, started := newHangingOwner()
	proxy, address := startBlackholeProxy(t, startServer(t, &Server{Owner: owner}))
	r := startRemote(t, address)
	read := make(chan error, 1)
	go func() {
		q := newRequest("hang")
		q.Reroutable = true
		_, err := r.Execute(context.Background(), q, &collectSink{})
		read <- err
	}()
	<-started
	proxy.drop(true, true)
	assert.Assert(t, errkind.Is(<-read, errkind.OutcomeUnknown))
	assert.Assert(t, !r.Responsive())
	waittest.Until(t, "the host responds again", r.Responsive)
	assertEcho(t, r, "over a new link")
}
