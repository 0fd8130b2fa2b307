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
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Method answers one control call: it takes and returns JSON.
type Method func(ctx context.Context, body []byte) (any, error)

// Server answers other hosts.
type Server struct {
	// Owner runs the requests of other hosts.
	Owner request.Executor
	// Methods are the control calls by name.
	Methods map[string]Method
	// Deliver takes messages of the replicated log; nil on a host that is
	// no control host.
	Deliver func(ctx context.Context, body []byte) error
	Log     logrus.FieldLogger
	// Timing is that of the links; left out, it is DefaultTiming.
	Timing Timing

	running atomic.Int64
}

// silence is after how long a link that should ping is given up. The other
// end is to notice first.
func (s *Server) silence() time.Duration {
	return 2 * cmp.Or(s.Timing.IdleTimeout, DefaultTiming().IdleTimeout)
}

// Running returns how many requests of other hosts have no answer yet.
func (s *Server) Running() int { return int(s.running.Load()) }

// Serve answers on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	options := drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { s.Log.WithError(err).Debug("peer connection") },
	}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, heardListener{l})
}

// Call implements the generated service.
func (s *Server) Call(ctx context.Context, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	method, ok := s.Methods[in.GetMethod()]
	if !ok {
		err := errkind.New(errkind.NotSupported, "method %q", in.GetMethod())
		return &peerpb.CallReply{Failure: encodeFailure(err)}, nil
	}
	out, err := method(ctx, in.GetBody())
	if err != nil {
		return &peerpb.CallReply{Failure: encodeFailure(err)}, nil
	}
	body, err := json.Marshal(out)
	if err != nil {
		return &peerpb.CallReply{Failure: encodeFailure(err)}, nil
	}
	return &peerpb.CallReply{Body: body}, nil
}

// Consensus implements the generated service.
func (s *Server) Consensus(stream peerpb.DRPCPeer_ConsensusStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil
		}
		if s.Deliver == nil {
			return errkind.New(errkind.NotSupported, "not a control host")
		}
		if err := s.Deliver(stream.Context(), m.GetBody()); err != nil {
			s.Log.WithError(err).Warn("message of the replicated log refused")
		}
		if err := stream.Send(&peerpb.Empty{}); err != nil {
			return nil
		}
	}
}

// Exchange implements the generated service. All that the other host's
// sessions hold here ends with the stream.
func (s *Server) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error {
	if t, ok := drpcctx.Transport(stream.Context()); ok {
		if heard, ok := t.(*heardConn); ok {
			heard.expect(s.silence())
		}
	}
	ctx, stop := context.WithCancel(stream.Context())
	e := &exchange{
		server:   s,
		stream:   stream,
		ctx:      ctx,
		running:  map[uint64]*running{},
		sessions: map[request.SessionID]struct{}{},
	}
	defer e.end()
	defer stop()
	var names nameReceiver
	for {
		f, err := stream.Recv()
		if err != nil {
			return nil
		}
		if err := names.restore(f); err != nil {
			return err
		}
		e.take(f)
	}
}

// maxRunning bounds the calls of one link that have no answer yet.
const maxRunning = 8192

// exchange is one open Exchange stream at the answering host.
type exchange struct {
	server *Server
	ctx    context.Context
	work   sync.WaitGroup

	sendMu sync.Mutex
	stream peerpb.DRPCPeer_ExchangeStream

	mu       sync.Mutex
	running  map[uint64]*running
	sessions map[request.SessionID]struct{} // that may hold a transaction here
}

// running is one call that has no answer yet.
type running struct {
	stop context.CancelFunc
	// underWay is how many bytes of its answer the caller has not taken.
	underWay int
	credited chan struct{} // holds one element when there is news
}

func (e *exchange) take(f *peerpb.Frame) {
	id := f.GetId()
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Request:
		e.start(id, func(ctx context.Context, c *running) { e.execute(ctx, id, c, b.Request) })
	case *peerpb.Frame_Position:
		e.start(id, func(ctx context.Context, _ *running) { e.position(ctx, id, b.Position) })
	case *peerpb.Frame_Await:
		e.start(id, func(ctx context.Context, _ *running) { e.await(ctx, id, b.Await) })
	case *peerpb.Frame_Cancel:
		e.cancel(id)
	case *peerpb.Frame_Credit:
		e.credit(id, b.Credit.GetBytes())
	case *peerpb.Frame_EndSession:
		e.endSession(decodeSession(b.EndSession))
	case *peerpb.Frame_Ping:
		e.send(&peerpb.Frame{Body: &peerpb.Frame_Pong{Pong: &peerpb.Empty{}}, TakesNames: true})
	}
}

// start runs one call beside the others.
func (e *exchange) start(id uint64, run func(ctx context.Context, c *running)) {
	ctx, stop := context.WithCancel(e.ctx)
	c := &running{stop: stop, credited: make(chan struct{}, 1)}
	if err := e.add(id, c); err != nil {
		stop()
		e.refuse(id, err)
		return
	}
	e.work.Add(1)
	e.server.running.Add(1)
	go func() {
		defer e.server.running.Add(-1)
		defer e.work.Done()
		defer e.cancel(id)
		run(ctx, c)
	}()
}

func (e *exchange) add(id uint64, c *running) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] != nil {
		return errkind.New(errkind.BadRequest, "call %d runs already", id)
	}
	if len(e.running) >= maxRunning {
		return errkind.New(errkind.CallerLimit, "%d calls run over one link", maxRunning)
	}
	e.running[id] = c
	return nil
}

func (e *exchange) cancel(id uint64) {
	e.mu.Lock()
	c := e.running[id]
	delete(e.running, id)
	e.mu.Unlock()
	if c != nil {
		c.stop()
	}
}

// credit takes what the caller of an answer has taken.
func (e *exchange) credit(id, bytes uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.running[id]
	if c == nil {
		return
	}
	c.underWay -= int(min(bytes, uint64(c.underWay)))
	select {
	case c.credited <- struct{}{}:
	default:
	}
}

// room waits until a further part of an answer may be sent.
func (e *exchange) room(ctx context.Context, c *running, bytes int) error {
	for {
		e.mu.Lock()
		free := c.underWay < answerWindow
		if free {
			c.underWay += bytes
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
	_ = e.stream.Send(f) // a lost stream ends Recv too
}

func (e *exchange) answer(id uint64, a *peerpb.Answer) {
	e.send(&peerpb.Frame{Id: id, Body: &peerpb.Frame_Answer{Answer: a}})
}

// refuse answers a call that was not begun.
func (e *exchange) refuse(id uint64, err error) {
	e.answer(id, &peerpb.Answer{Last: true, TxStatus: uint32(request.TxIdle), Failure: encodeFailure(err)})
}

// lastPartBytes bounds what is kept back of an answer to go with its end.
const lastPartBytes = 32 << 10

// sink passes the parts of an answer on to the other host. A small part waits
// for the next one or the end, so that a short answer is one frame.
type sink struct {
	exchange *exchange
	ctx      context.Context
	id       uint64
	call     *running
	held     []byte
}

// Answer implements request.Sink. It waits while the caller reads slowly.
func (s *sink) Answer(p []byte) error {
	if len(s.held)+len(p) <= lastPartBytes {
		s.held = append(s.held, p...)
		return nil
	}
	for _, part := range [][]byte{s.held, p} {
		if len(part) == 0 {
			continue
		}
		if err := s.exchange.room(s.ctx, s.call, len(part)); err != nil {
			return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
		}
		s.exchange.answer(s.id, &peerpb.Answer{Messages: part})
	}
	s.held = nil
	return nil
}

func (e *exchange) execute(ctx context.Context, id uint64, c *running, p *peerpb.Request) {
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
	parts := &sink{exchange: e, ctx: ctx, id: id, call: c}
	res, err := e.server.Owner.Execute(ctx, r, parts)
	e.note(r.Session, err == nil && res.TxStatus == request.TxIdle)
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
		a.Messages = parts.held
	}
	e.answer(id, a)
}

// note remembers the sessions that may hold a transaction here.
func (e *exchange) note(s request.SessionID, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if idle {
		delete(e.sessions, s)
	} else {
		e.sessions[s] = struct{}{}
	}
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
	e.mu.Unlock()
	e.server.Owner.EndSession(s)
}

// end closes what the sessions of the lost stream hold.
func (e *exchange) end() {
	e.work.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		e.server.Owner.EndSession(s)
	}
}
