package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/panics"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Method handles one control call. The body is JSON, and the result is encoded
// as JSON.
type Method func(ctx context.Context, body []byte) (any, error)

// Server handles the requests, control calls and replicated log messages of
// other hosts.
type Server struct {
	// Owner runs the requests of other hosts.
	Owner request.Executor
	// Methods holds the handlers of control calls by method name.
	Methods map[string]Method
	// Deliver handles messages of the replicated log. It is nil on a host that
	// is not a control host.
	Deliver func(ctx context.Context, body []byte) error
	Log     logrus.FieldLogger
	// Timing is the Timing that the connecting hosts use. A zero IdleTimeout means
	// that of DefaultTiming.
	Timing Timing

	running atomic.Int64 // calls of all links that have no answer yet
}

// linkTimeout returns how long a link may be silent before it is closed. It is
// twice Timing.IdleTimeout so that the connecting host, which sends the pings,
// detects the failure first.
func (s *Server) linkTimeout() time.Duration {
	return 2 * cmp.Or(s.Timing.IdleTimeout, DefaultTiming().IdleTimeout)
}

// Running returns the number of calls of other hosts that have no answer yet.
func (s *Server) Running() int { return int(s.running.Load()) }

// Serve accepts connections of other hosts on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	options := drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { s.Log.WithError(err).Debug("peer connection ended with an error") },
	}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, activityListener{l})
}

// Call implements the generated service interface. Errors of methods are
// returned in the reply.
func (s *Server) Call(ctx context.Context, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	if in.GetMethod() == methodPing {
		return &peerpb.CallReply{Body: []byte("{}")}, nil
	}
	method, ok := s.Methods[in.GetMethod()]
	if !ok {
		err := errkind.New(errkind.NotSupported, "method %q", in.GetMethod())
		return &peerpb.CallReply{Failure: encodeFailure(err)}, nil
	}
	out, err := s.callMethod(ctx, method, in.GetBody())
	if err != nil {
		return &peerpb.CallReply{Failure: encodeFailure(err)}, nil
	}
	body, err := json.Marshal(out)
	if err != nil {
		return &peerpb.CallReply{Failure: encodeFailure(err)}, nil
	}
	return &peerpb.CallReply{Body: body}, nil
}

// callMethod calls a method. A panic of the method becomes an error.
func (s *Server) callMethod(ctx context.Context, method Method, body []byte) (out any, err error) {
	defer panics.Recover(s.Log, "control call", func() { err = errkind.New(errkind.Internal, "the call panicked") })
	if ctx.Err() != nil { // the caller has given up
		return nil, errkind.Wrap(ctx.Err(), errkind.Cancelled, "").WithEffect(errkind.NotRun)
	}
	return method(ctx, body)
}

// Consensus implements the generated service interface. It acknowledges each
// message after Deliver has returned.
func (s *Server) Consensus(stream peerpb.DRPCPeer_ConsensusStream) error {
	defer panics.Recover(s.Log, "link of a control host", nil)
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil
		}
		if s.Deliver == nil {
			return errkind.New(errkind.NotSupported, "not a control host")
		}
		if err := s.Deliver(stream.Context(), m.GetBody()); err != nil {
			s.Log.WithError(err).Warn("replicated log message rejected")
		}
		if err := stream.Send(&peerpb.Empty{}); err != nil {
			return nil
		}
	}
}

// Exchange implements the generated service interface. When the stream ends,
// its running calls are cancelled and the sessions of the other host that may
// hold a transaction here are ended.
func (s *Server) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error {
	defer panics.Recover(s.Log, "link of a host", nil)
	ctx, stop := context.WithCancel(stream.Context())
	e := &exchange{
		server:   s,
		conn:     activityOf(stream.Context()),
		stream:   stream,
		ctx:      ctx,
		calls:    map[uint64]*runningCall{},
		sessions: map[request.SessionID]struct{}{},
	}
	defer e.endSessions()
	defer stop()
	var names nameDecoder
	for {
		f, err := stream.Recv()
		if err != nil {
			return nil
		}
		if err := names.decode(f); err != nil {
			return err
		}
		e.handleFrame(f)
	}
}

// activityOf returns the connection behind ctx, or nil if it is of another type.
func activityOf(ctx context.Context) *activityConn {
	transport, _ := drpcctx.Transport(ctx)
	conn, _ := transport.(*activityConn)
	return conn
}

// maxLinkCalls bounds the running calls of one link.
const maxLinkCalls = 8192

// exchange is the server side of one open Exchange stream.
type exchange struct {
	server *Server
	conn   *activityConn // nil if the transport is of another type
	ctx    context.Context
	wg     sync.WaitGroup

	sendMu sync.Mutex
	stream peerpb.DRPCPeer_ExchangeStream

	mu       sync.Mutex
	calls    map[uint64]*runningCall
	sessions map[request.SessionID]struct{} // sessions that may hold a transaction here
	busy     bool                           // whether the idle timeout is that of a link in use
}

// restingLinkTimeout is how long a link without calls and transactions may be
// silent. Its host may be gone without having closed it.
const restingLinkTimeout = time.Minute

// updateIdleTimeout sets the idle timeout of the link after its calls or sessions
// changed. The caller holds e.mu.
func (e *exchange) updateIdleTimeout() {
	busy := len(e.calls) > 0 || len(e.sessions) > 0
	if e.conn == nil || busy == e.busy {
		return
	}
	e.busy = busy
	if busy {
		e.conn.setIdleTimeout(e.server.linkTimeout())
	} else {
		e.conn.setIdleTimeout(restingLinkTimeout)
	}
}

// runningCall is a call whose answer is not complete.
type runningCall struct {
	stop context.CancelFunc
	// inFlightBytes is the number of answer bytes sent but not yet credited.
	inFlightBytes int
	credited      chan struct{} // signals new credit; buffers one signal
}

// handleFrame starts the call of a frame or applies the frame to a running call
// or a session.
func (e *exchange) handleFrame(f *peerpb.Frame) {
	id := f.GetId()
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Request:
		e.startCall(id, func(ctx context.Context, c *runningCall) { e.execute(ctx, id, c, b.Request) })
	case *peerpb.Frame_Position:
		e.startCall(id, func(ctx context.Context, _ *runningCall) { e.position(ctx, id, b.Position) })
	case *peerpb.Frame_Await:
		e.startCall(id, func(ctx context.Context, _ *runningCall) { e.await(ctx, id, b.Await) })
	case *peerpb.Frame_Cancel:
		e.cancelCall(id)
	case *peerpb.Frame_Credit:
		e.addCredit(id, b.Credit.GetBytes())
	case *peerpb.Frame_EndSession:
		e.endSession(decodeSession(b.EndSession))
	case *peerpb.Frame_Ping:
		e.send(&peerpb.Frame{Body: &peerpb.Frame_Pong{Pong: &peerpb.Empty{}}, TakesNames: true})
	}
}

// startCall runs one call in its own goroutine, or answers with an error if the
// call is rejected.
func (e *exchange) startCall(id uint64, run func(ctx context.Context, c *runningCall)) {
	ctx, stop := context.WithCancel(e.ctx)
	c := &runningCall{stop: stop, credited: make(chan struct{}, 1)}
	if err := e.addCall(id, c); err != nil {
		stop()
		e.refuse(id, err)
		return
	}
	e.wg.Add(1)
	e.server.running.Add(1)
	go func() {
		defer e.server.running.Add(-1)
		defer e.wg.Done()
		defer e.cancelCall(id)
		defer panics.Recover(e.server.Log, "call of a host", func() { e.refuse(id, errkind.New(errkind.Internal, "the call panicked")) })
		run(ctx, c)
	}()
}

func (e *exchange) addCall(id uint64, c *runningCall) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[id] != nil {
		return errkind.New(errkind.BadRequest, "call %d runs already", id)
	}
	if len(e.calls) >= maxLinkCalls {
		return errkind.New(errkind.CallerLimit, "%d calls run over one link", maxLinkCalls)
	}
	e.calls[id] = c
	e.updateIdleTimeout()
	return nil
}

func (e *exchange) cancelCall(id uint64) {
	e.mu.Lock()
	c := e.calls[id]
	delete(e.calls, id)
	e.updateIdleTimeout()
	e.mu.Unlock()
	if c != nil {
		c.stop()
	}
}

// addCredit reduces the in-flight bytes of a call by the bytes that the calling
// host has passed on.
func (e *exchange) addCredit(id, bytes uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.calls[id]
	if c == nil {
		return
	}
	c.inFlightBytes -= int(min(bytes, uint64(c.inFlightBytes)))
	select {
	case c.credited <- struct{}{}:
	default:
	}
}

// waitForWindow blocks until the flow-control window of a call is open and then
// reserves bytes of it. It fails once ctx has ended.
func (e *exchange) waitForWindow(ctx context.Context, c *runningCall, bytes int) error {
	for {
		e.mu.Lock()
		free := c.inFlightBytes < answerWindowBytes
		if free {
			c.inFlightBytes += bytes
		}
		e.mu.Unlock()
		if free {
			return ctx.Err()
		}
		select {
		case <-c.credited:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *exchange) send(f *peerpb.Frame) {
	e.sendMu.Lock()
	defer e.sendMu.Unlock()
	_ = e.stream.Send(f) // if the stream is lost, Recv fails as well
}

func (e *exchange) answer(id uint64, a *peerpb.Answer) {
	e.send(&peerpb.Frame{Id: id, Body: &peerpb.Frame_Answer{Answer: a}})
}

// refuse answers a call that was not executed with err.
func (e *exchange) refuse(id uint64, err error) {
	e.answer(id, &peerpb.Answer{Last: true, TxStatus: uint32(request.TxIdle), Failure: encodeFailure(err)})
}

// answerBufferBytes bounds the bytes of an answer that are buffered so that
// they can be sent together with its end.
const answerBufferBytes = 32 << 10

// sink sends an answer to the other host. It buffers small chunks so that a
// short answer fits into one frame.
type sink struct {
	exchange *exchange
	ctx      context.Context
	id       uint64
	call     *runningCall
	buffered []byte
}

// Answer implements request.Sink. It blocks while the flow-control window is
// full.
func (s *sink) Answer(p []byte) error {
	if len(s.buffered)+len(p) <= answerBufferBytes {
		s.buffered = append(s.buffered, p...)
		return nil
	}
	for _, chunk := range [][]byte{s.buffered, p} {
		if len(chunk) == 0 {
			continue
		}
		if err := s.exchange.waitForWindow(s.ctx, s.call, len(chunk)); err != nil {
			return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
		}
		s.exchange.answer(s.id, &peerpb.Answer{Messages: chunk})
	}
	s.buffered = nil
	return nil
}

func (e *exchange) execute(ctx context.Context, id uint64, c *runningCall, p *peerpb.Request) {
	r, err := decodeRequest(p, time.Now())
	if err != nil {
		e.refuse(id, err)
		return
	}
	if err := VerifyHost(e.stream.Context(), r.Session.Host); err != nil {
		e.refuse(id, err)
		return
	}
	ctx, stop := context.WithDeadline(ctx, r.Deadline)
	defer stop()
	answer := &sink{exchange: e, ctx: ctx, id: id, call: c}
	res, err := e.server.Owner.Execute(ctx, r, answer)
	e.trackSession(r.Session, err == nil && res.TxStatus == request.TxIdle)
	a := &peerpb.Answer{Last: true, TxStatus: uint32(res.TxStatus)}
	if res.HasHint {
		a.Hint = encodeHint(&res.Hint)
	}
	if res.HasMark {
		a.Mark = encodeMark(res.Mark)
	}
	if err != nil {
		a.Failure = encodeFailure(err)
	} else {
		a.Messages = answer.buffered
	}
	e.answer(id, a)
}

// trackSession records whether a session may hold a transaction here.
func (e *exchange) trackSession(s request.SessionID, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if idle {
		delete(e.sessions, s)
	} else {
		e.sessions[s] = struct{}{}
	}
	e.updateIdleTimeout()
}

func (e *exchange) position(ctx context.Context, id uint64, q *peerpb.PositionQuery) {
	p, err := e.server.Owner.Position(ctx, table.InstanceID(q.GetInstance()))
	a := &peerpb.Answer{Last: true, Mark: encodeMark(p.Mark), TermStart: uint64(p.TermStart), AgeNanos: int64(p.Age)}
	if err != nil {
		a = &peerpb.Answer{Last: true, Failure: encodeFailure(err)}
	}
	e.answer(id, a)
}

func (e *exchange) await(ctx context.Context, id uint64, q *peerpb.AwaitQuery) {
	if q.GetRemainingNanos() > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(q.GetRemainingNanos()))
		defer stop()
	}
	a := &peerpb.Answer{Last: true}
	if err := e.server.Owner.AwaitReplica(ctx, table.InstanceID(q.GetInstance()), decodeMark(q.GetMark())); err != nil {
		a.Failure = encodeFailure(err)
	}
	e.answer(id, a)
}

func (e *exchange) endSession(s request.SessionID) {
	if VerifyHost(e.stream.Context(), s.Host) != nil {
		return
	}
	e.mu.Lock()
	delete(e.sessions, s)
	e.updateIdleTimeout()
	e.mu.Unlock()
	e.server.Owner.EndSession(s)
}

// endSessions waits for the running calls and ends the remaining sessions of
// the stream.
func (e *exchange) endSessions() {
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		e.server.Owner.EndSession(s)
	}
}
