package pg

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/pg/synthetic"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
)

// session is one caller connection after its start-up.
type session struct {
	pid      uint32
	begun    *startup
	listener *Listener
	net      net.Conn
	reader   *callerReader
	writer   callerWriter
	pending  []byte // not written yet
	backend  *pgproto3.Backend
	gate     *gateway.Session
	log      logrus.FieldLogger
	known    map[string]prepared
	unit     *unit
	skipping bool // until the next Sync, after an error of the extended protocol
	txStatus byte
	token    string // as the caller has it

	mu     sync.Mutex
	cancel context.CancelFunc // of the request that runs
	busy   bool
	ending bool
}

// lastPartBytes bounds what is kept back of an answer to go with its end.
const lastPartBytes = 32 << 10

// Answer implements request.Sink: it writes a part of an answer. A small part
// waits for the next one or the end, so that a short answer is one write.
func (s *session) Answer(p []byte) error {
	s.pending = append(s.pending, p...)
	if len(s.pending) <= lastPartBytes {
		return nil
	}
	if err := s.flush(); err != nil {
		return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
	}
	return nil
}

// send adds a message of the proxy to what is written next.
func (s *session) send(m pgproto3.BackendMessage) {
	buf, err := m.Encode(s.pending)
	if err != nil { // longer than a message may be
		buf, _ = errorResponse(errkind.New(errkind.TooLarge, "%T", m), "ERROR").Encode(s.pending)
	}
	s.pending = buf
}

// flush writes what is pending.
func (s *session) flush() error {
	_, err := s.writer.Write(s.pending)
	s.pending = s.pending[:0]
	if cap(s.pending) > 2*lastPartBytes {
		s.pending = nil // a long answer must not cost its memory for ever
	}
	return err
}

// run serves the caller until it leaves.
func (s *session) run(ctx context.Context) error {
	for {
		msg, err := s.receive()
		if err != nil {
			return endOfCaller(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if !s.start() {
			return s.goodbye()
		}
		err = s.handle(ctx, msg)
		last := s.finish()
		if err != nil {
			return err
		}
		if last {
			return s.goodbye()
		}
	}
}

// receive reads the next message. An open transaction waits for it only so
// long.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if s.txStatus == request.TxIdle {
		return s.backend.Receive()
	}
	_ = s.net.SetReadDeadline(time.Now().Add(s.listener.cfg.IdleTransaction))
	msg, err := s.backend.Receive()
	_ = s.net.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errkind.Wrap(err, errkind.IdleInTransaction, "%v", s.listener.cfg.IdleTransaction)
	}
	return msg, err
}

// endOfCaller tells a caller that went away from one that breaks the protocol.
func endOfCaller(err error) error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	var network net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return nil
	case errors.As(err, &tooLong):
		return errkind.Wrap(err, errkind.TooLarge, "%v", err)
	default:
		return errkind.Wrap(err, errkind.BadRequest, "%v", err)
	}
}

// start marks the session as busy; it fails once the session is ending and
// outside of a transaction.
func (s *session) start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending && s.txStatus == request.TxIdle && s.unit.empty() {
		return false
	}
	s.busy = true
	return true
}

// finish marks the session as idle and reports whether it has to end.
func (s *session) finish() (end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.txStatus != request.TxIdle || !s.unit.empty()
	return s.ending && !s.busy
}

// goodbye tells the caller that this host shuts down.
func (s *session) goodbye() error {
	s.send(errorResponse(errkind.New(errkind.ShuttingDown, "connect again"), "FATAL"))
	return s.flush()
}

// handle answers one message.
func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	if m, ok := msg.(*pgproto3.Sync); ok {
		return s.sync(ctx, m)
	}
	if s.skipping {
		return nil
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		if !s.unit.empty() { // it would overtake the unit
			s.unit.fail(errkind.New(errkind.NotSupported, "Query before Sync"))
			return s.reportUnit()
		}
		return s.simpleQuery(ctx, m)
	case *pgproto3.Flush:
		if s.unit.empty() {
			return nil
		}
		s.unit.fail(errkind.New(errkind.NotSupported, "Flush before Sync"))
		return s.reportUnit()
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.unit.add(msg)
		return nil
	case *pgproto3.FunctionCall:
		return s.failOwn(errkind.New(errkind.NotSupported, "function call protocol"))
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // leftovers of a COPY that was refused
	default:
		return errkind.New(errkind.BadRequest, "message %T", msg)
	}
}

// reportUnit sends the error of a unit at once and skips up to the Sync.
func (s *session) reportUnit() error {
	s.skipping = true
	s.abort()
	s.send(errorResponse(s.unit.failure, "ERROR"))
	return s.flush()
}

func (s *session) sync(ctx context.Context, m *pgproto3.Sync) error {
	u := s.unit
	s.unit = newUnit(s.known)
	if s.skipping {
		s.skipping = false
		return s.ready()
	}
	if u.failure != nil {
		return s.failOwn(u.failure)
	}
	if len(u.messages) == 0 {
		return s.ready()
	}
	if u.onlyCloses { // what was closed stands on no connection of its own
		u.commit(len(u.changes))
		if err := s.Answer(synthetic.Answer(u.messages, "")); err != nil {
			return err
		}
		return s.ready()
	}
	u.append(m)
	w := &gateway.Work{Messages: u.messages, Texts: u.texts}
	for _, p := range u.prepares {
		w.Prepares = append(w.Prepares, p)
	}
	if !u.executes {
		w.Texts = u.allTexts()
		w.OnlyPrepares = true
	}
	confirmed, err := s.do(ctx, w)
	u.commit(confirmed)
	return err
}

func (s *session) simpleQuery(ctx context.Context, m *pgproto3.Query) error {
	text := statement.Read(m.String)
	if len(text.Statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
		return s.ready()
	}
	if done, err := s.own(text); done {
		return err
	}
	buf, err := m.Encode(nil)
	if err != nil {
		return s.failOwn(errkind.Wrap(err, errkind.BadRequest, "%v", err))
	}
	_, err = s.do(ctx, &gateway.Work{Messages: buf, Texts: []statement.Text{text}})
	return err
}

// do hands a unit to the gateway and ends its answer. It returns how many
// Parse and Close messages were confirmed.
func (s *session) do(ctx context.Context, w *gateway.Work) (confirmed int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.mu.Lock()
	s.cancel = stop
	s.mu.Unlock()
	watch := watchAnswer{sink: s}
	vanished := s.reader.watch(stop)
	status, err := s.gate.Do(ctx, w, &watch)
	vanished()
	s.mu.Lock()
	s.cancel = nil
	s.mu.Unlock()
	s.setStatus(status)
	if err != nil {
		return watch.confirmed, s.fail(errkind.Of(err))
	}
	return watch.confirmed, s.ready()
}

func (s *session) setStatus(status byte) {
	s.mu.Lock()
	s.txStatus = status
	s.mu.Unlock()
}

// watchAnswer counts what the upstream confirmed.
type watchAnswer struct {
	sink      request.Sink
	confirmed int // ParseComplete and CloseComplete
}

// Answer implements request.Sink. The parts of an answer hold whole messages.
func (w *watchAnswer) Answer(p []byte) error {
	synthetic.ForEachMessage(p, func(kind byte, _ []byte) {
		if kind == '1' || kind == '3' {
			w.confirmed++
		}
	})
	return w.sink.Answer(p)
}

// abort fails an open transaction after an error of the proxy, as the database
// would.
func (s *session) abort() {
	if s.txStatus == request.TxOpen {
		s.setStatus(s.gate.Fail())
	}
}

// failOwn answers what was not handed to the gateway with an error.
func (s *session) failOwn(e *errkind.Error) error {
	s.abort()
	return s.fail(e)
}

// fail answers a unit with an error of the proxy.
func (s *session) fail(e *errkind.Error) error {
	s.send(errorResponse(e, "ERROR"))
	return s.ready()
}

// ready ends an answer. A new session token goes before it, as a reported
// parameter that drivers keep.
func (s *session) ready() error {
	if token := s.gate.Token(); token != s.token {
		s.token = token
		s.send(&pgproto3.ParameterStatus{Name: paramToken, Value: token})
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	return s.flush()
}

// interrupt cancels the request that runs.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// end makes the session leave: at once when it is idle, else at the end of its
// transaction.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	if !s.busy {
		drain.Interrupt(s.net)
	}
}
