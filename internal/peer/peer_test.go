package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var timing = Timing{DialTimeout: waittest.Patience, Ping: 20 * time.Millisecond, Silence: 400 * time.Millisecond}

// fakeOwner is an Executor; ended takes the sessions that were ended.
type fakeOwner struct {
	execute func(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error)
	ended   chan request.SessionID
}

func (o *fakeOwner) Execute(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	return o.execute(ctx, r, s)
}

func (o *fakeOwner) Position(context.Context, table.InstanceID) (request.PositionSample, error) {
	return request.PositionSample{Mark: table.Mark{Term: 3, Position: 7}}, nil
}

func (o *fakeOwner) AwaitReplica(ctx context.Context, _ table.InstanceID, _ table.Mark) error {
	return ctx.Err()
}

func (o *fakeOwner) EndSession(s request.SessionID) { o.ended <- s }

// echo answers with the messages of the request; a number in the class is the
// transaction state.
func echo(_ context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	status := request.TxIdle
	if r.Class != "" {
		status = r.Class[0]
	}
	return request.Result{TxStatus: status}, s.Answer(r.Messages)
}

func newOwner(execute func(context.Context, *request.Request, request.Sink) (request.Result, error)) *fakeOwner {
	return &fakeOwner{execute: execute, ended: make(chan request.SessionID, 1000)}
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// background runs serve until the test ends.
func background(t *testing.T, serve func(ctx context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func startServer(t *testing.T, s *Server) string {
	t.Helper()
	s.Log, s.Timing = quietLog(), timing
	l := listen(t)
	background(t, func(ctx context.Context) error { return s.Serve(ctx, l) })
	return l.Addr().String()
}

func remote(t *testing.T, address string) *Remote {
	t.Helper()
	r := NewRemote(address, timing, nil)
	t.Cleanup(r.Close)
	return r
}

// collect is a Sink.
type collect struct{ got []byte }

func (c *collect) Answer(p []byte) error {
	c.got = append(c.got, p...)
	return nil
}

func ask(text string) *request.Request {
	return &request.Request{
		Messages: []byte(text), Deadline: time.Now().Add(time.Hour),
		Session: request.SessionID{Host: "h", Number: uint64(len(text))},
	}
}

func echoes(t *testing.T, r *Remote, text string) {
	t.Helper()
	var c collect
	_, err := r.Execute(t.Context(), ask(text), &c)
	assert.NilError(t, err)
	assert.Equal(t, string(c.got), text)
}

// silencer passes bytes to a target, until it makes the open connections
// swallow them in one direction or both.
type silencer struct {
	up, down atomic.Int64 // connections with a lower number are silent
	accepted atomic.Int64
}

func startSilencer(t *testing.T, target string) (*silencer, string) {
	t.Helper()
	s := &silencer{}
	l := listen(t)
	var work sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	pass := func(number int64, silent *atomic.Int64, to, from net.Conn) {
		defer func() {
			if number >= silent.Load() { // else the end is swallowed too
				_ = to.Close()
			}
		}()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if number < silent.Load() {
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	work.Go(func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			number := s.accepted.Add(1) - 1
			mu.Lock()
			open = append(open, client, server)
			mu.Unlock()
			work.Go(func() { pass(number, &s.up, server, client) })
			work.Go(func() { pass(number, &s.down, client, server) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		work.Wait()
	})
	return s, l.Addr().String()
}

func (s *silencer) silence(up, down bool) {
	n := s.accepted.Load()
	if up {
		s.up.Store(n)
	}
	if down {
		s.down.Store(n)
	}
}

// A silent link is closed at both ends, its calls end, and the next call goes
// over a new one.
func TestSilentLink(t *testing.T) {
	for _, tc := range []struct {
		name     string
		up, down bool
	}{{"both ways", true, true}, {"towards the owner", true, false}, {"towards the caller", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			started := make(chan struct{})
			cancelled := make(chan struct{})
			owner := newOwner(func(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
				if string(r.Messages) != "hang" {
					return echo(ctx, r, s)
				}
				close(started)
				<-ctx.Done()
				close(cancelled)
				return request.Result{}, ctx.Err()
			})
			s, address := startSilencer(t, startServer(t, &Server{Owner: owner}))
			r := remote(t, address)
			done := make(chan error, 1)
			go func() {
				_, err := r.Execute(context.Background(), ask("hang"), &collect{})
				done <- err
			}()
			<-started
			s.silence(tc.up, tc.down)
			err := <-done
			assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
			echoes(t, r, "over a new link")
			<-cancelled
			assert.Equal(t, <-owner.ended, ask("hang").Session)
		})
	}
}

// A host that takes connections and reads nothing blocks the stream; that
// ends with the link, for the request that is being sent and for others.
func TestHostThatReadsNothing(t *testing.T) {
	l := listen(t)
	defer l.Close()
	r := remote(t, l.Addr().String())
	errs := make(chan error, 2)
	for range cap(errs) {
		go func() {
			q := ask("")
			q.Messages = make([]byte, 32<<20)
			_, err := r.Execute(context.Background(), q, &collect{})
			errs <- err
		}()
	}
	effects := map[errkind.Effect]int{}
	for range cap(errs) {
		effects[errkind.Of(<-errs).Effect]++
	}
	assert.DeepEqual(t, effects, map[errkind.Effect]int{errkind.Unknown: 1, errkind.NotRun: 1})
}

// What an error says of a call depends on whether its frame was handed to the
// stream.
func TestEffectOfALostCall(t *testing.T) {
	gone, stop := context.WithCancel(t.Context())
	stop()
	for _, tc := range []struct {
		name string
		left bool
		end  func(l *link, c *call) error
		kind errkind.Kind
		want errkind.Effect
	}{
		{"link lost before", false, closeLink, errkind.NoOwner, errkind.NotRun},
		{"link lost after", true, closeLink, errkind.OutcomeUnknown, errkind.Unknown},
		{"cancelled before", false, func(_ *link, c *call) error { _, err := c.next(gone); return err }, errkind.Cancelled, errkind.NotRun},
		{"cancelled after", true, func(_ *link, c *call) error { _, err := c.next(gone); return err }, errkind.Cancelled, errkind.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := dialLink(t.Context(), startServer(t, &Server{Owner: newOwner(echo)}), timing, nil)
			assert.NilError(t, err)
			defer l.close()
			l.turn <- struct{}{} // another frame is being sent
			c, err := l.start(t.Context(), &peerpb.Frame{})
			assert.NilError(t, err)
			if tc.left {
				assert.Assert(t, c.leave())
			}
			err = NewRemote("", timing, nil).abandon(l, c, 1, tc.end(l, c))
			assert.Assert(t, errkind.Is(err, tc.kind), "%v", err)
			assert.Equal(t, errkind.Of(err).Effect, tc.want)
			assert.Equal(t, c.leave(), false, "the frame must not leave any more")
		})
	}
}

func closeLink(l *link, c *call) error {
	l.close()
	_, err := c.next(context.Background())
	return err
}

// fakePeer answers as its function says.
type fakePeer struct {
	Server
	exchange func(stream peerpb.DRPCPeer_ExchangeStream) error
}

func (f *fakePeer) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error { return f.exchange(stream) }

func startFakePeer(t *testing.T, exchange func(stream peerpb.DRPCPeer_ExchangeStream) error) string {
	t.Helper()
	mux := drpcmux.New()
	assert.NilError(t, peerpb.DRPCRegisterPeer(mux, &fakePeer{exchange: exchange}))
	l := listen(t)
	background(t, func(ctx context.Context) error { return drpcserver.New(mux).Serve(ctx, l) })
	return l.Addr().String()
}

// Answers that come in reverse order, twice, late or for nobody reach their
// own call only.
func TestAnswersOutOfOrder(t *testing.T) {
	const calls = 8
	address := startFakePeer(t, func(stream peerpb.DRPCPeer_ExchangeStream) error {
		var asked []*peerpb.Frame
		for {
			f, err := stream.Recv()
			if err != nil {
				return nil
			}
			if f.GetRequest() == nil {
				continue
			}
			asked = append(asked, f)
			for i := len(asked) - 1; len(asked) == calls && i >= 0; i-- {
				for _, id := range []uint64{asked[i].GetId(), asked[i].GetId(), 1 << 40, asked[calls-1].GetId()} {
					_ = stream.Send(&peerpb.Frame{Id: id, Body: &peerpb.Frame_Answer{Answer: &peerpb.Answer{
						Messages: asked[i].GetRequest().GetMessages(), Last: true, TxStatus: 'I',
					}}})
				}
			}
		}
	})
	r := remote(t, address)
	errs := make(chan error, calls)
	for i := range calls {
		go func() {
			var c collect
			text := strconv.Itoa(i)
			_, err := r.Execute(context.Background(), ask(text), &c)
			if err == nil && string(c.got) != text {
				err = errors.New(text + " got " + string(c.got))
			}
			errs <- err
		}()
	}
	for range calls {
		assert.NilError(t, <-errs)
	}
}

// blocked is a Sink that waits.
type blocked struct {
	collect
	entered, release chan struct{}
	once             sync.Once
}

func (b *blocked) Answer(p []byte) error {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.collect.Answer(p)
}

func TestSlowCallerHoldsUpNobodyElse(t *testing.T) {
	const part, parts = 64 << 10, 100
	var sent atomic.Int64
	owner := newOwner(func(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
		if string(r.Messages) != "much" {
			return echo(ctx, r, s)
		}
		for range parts {
			if err := s.Answer(make([]byte, part)); err != nil {
				return request.Result{TxStatus: request.TxIdle}, err
			}
			sent.Add(part)
		}
		return request.Result{TxStatus: request.TxIdle}, nil
	})
	r := remote(t, startServer(t, &Server{Owner: owner}))
	slow := &blocked{entered: make(chan struct{}), release: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		_, err := r.Execute(context.Background(), ask("much"), slow)
		done <- err
	}()
	<-slow.entered
	waittest.Until(t, "the window is full", func() bool { return sent.Load() >= answerWindow })
	for range 50 {
		echoes(t, r, "other")
	}
	assert.Assert(t, sent.Load() <= answerWindow+part, "%d bytes under way", sent.Load())
	close(slow.release)
	assert.NilError(t, <-done)
	assert.Equal(t, len(slow.got), part*parts)
}

func TestOnlyOpenTransactionsEndWithTheLink(t *testing.T) {
	owner := newOwner(echo)
	r := NewRemote(startServer(t, &Server{Owner: owner}), timing, nil)
	for i, state := range []string{"I", "T", "I", "E", "T"} {
		q := ask("x")
		q.Class, q.Session.Number = state, uint64(i%4) // session 0 opens one in the end
		_, err := r.Execute(t.Context(), q, &collect{})
		assert.NilError(t, err)
	}
	r.Close()
	ended := map[uint64]bool{}
	for range 3 {
		ended[(<-owner.ended).Number] = true
	}
	assert.DeepEqual(t, ended, map[uint64]bool{0: true, 1: true, 3: true})
	assert.Equal(t, len(owner.ended), 0)
}

func TestMalformedFailureClaimsNothing(t *testing.T) {
	for _, f := range []*peerpb.Failure{{Kind: 256, Effect: 256}, {Kind: 1 << 31, Effect: 3}, {Kind: 99, Effect: 1<<32 - 1}} {
		e := errkind.Of(decodeFailure(f))
		assert.Equal(t, e.Kind, errkind.Internal)
		assert.Equal(t, e.Effect, errkind.Unknown)
	}
}

func TestGarbageOnThePortDisturbsNobody(t *testing.T) {
	address := startServer(t, &Server{Owner: newOwner(echo)})
	r := remote(t, address)
	echoes(t, r, "before")
	for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x03\x01\x01\x80\x80\x80\x80\x7f"} {
		nc, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = nc.Write([]byte(junk))
		assert.NilError(t, err)
		assert.NilError(t, nc.(*net.TCPConn).CloseWrite())
		_ = nc.SetReadDeadline(time.Now().Add(waittest.Patience))
		_, err = io.Copy(io.Discard, nc)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the connection stays open")
		_ = nc.Close()
	}
	echoes(t, r, "after")
}

func TestSenderLeavesASilentConnection(t *testing.T) {
	for _, dir := range []struct{ up, down bool }{{true, true}, {true, false}, {false, true}} {
		got := make(chan string, 10000)
		server := &Server{Owner: newOwner(echo), Deliver: func(_ context.Context, body []byte) error { got <- string(body); return nil }}
		s, address := startSilencer(t, startServer(t, server))
		ctx, stop := context.WithCancel(context.Background())
		sender := NewSender(ctx, func(host table.HostID) string { return map[table.HostID]string{"a": address}[host] }, timing, nil)
		sender.Send("a", []byte("first"))
		assert.Equal(t, <-got, "first")
		s.silence(dir.up, dir.down)
		waittest.Until(t, "a new connection carries a message", func() bool {
			sender.Send("a", []byte("again"))
			return s.accepted.Load() > 1 && len(got) > 0
		})
		stop()
	}
}

func TestCallerOverASilentConnection(t *testing.T) {
	var calls atomic.Int64
	server := &Server{Owner: newOwner(echo), Methods: map[string]Method{
		"count": func(context.Context, []byte) (any, error) { return calls.Add(1), nil },
	}}
	s, address := startSilencer(t, startServer(t, server))
	var c Caller
	defer c.Close()
	var n int
	assert.NilError(t, c.Call(t.Context(), address, "count", nil, &n))
	s.silence(true, true)
	long, giveUp := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() { first <- c.Call(long, address, "count", nil, new(int)) }()
	waittest.Until(t, "the call runs", func() bool { return len(c.turn) == 1 })
	short, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	err := c.Call(short, address, "count", nil, &n)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun, "it waited for the one before: %v", err)
	giveUp()
	assert.Equal(t, errkind.Of(<-first).Effect, errkind.Unknown)
	assert.NilError(t, c.Call(t.Context(), address, "count", nil, &n))
	assert.Equal(t, n, 2)
}

// A host that does not read, as one that is suspended, fills the small window
// between the two: the call ends with its context all the same, and the next one
// goes to another host.
func TestCallerToAHostThatDoesNotRead(t *testing.T) {
	address := startServer(t, &Server{Methods: map[string]Method{
		"heartbeat": func(context.Context, []byte) (any, error) { return struct{}{}, nil },
	}})
	mine, other := net.Pipe()
	defer other.Close()
	var plain DialFunc
	c := Caller{Dial: func(ctx context.Context, to string) (net.Conn, error) {
		if to == "suspended" {
			return mine, nil
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
	case <-time.After(waittest.Patience):
		t.Fatal("the call goes on")
	}
	assert.NilError(t, c.Call(t.Context(), address, "heartbeat", struct{}{}, &struct{}{}))
}
