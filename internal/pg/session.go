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
	pid            uint32
	startup        *startup
	listener       *Listener
	net            net.Conn
	reader         *callerReader
	writer         callerWriter
	pending        []byte // bytes to be written
	backend        *pgproto3.Backend
	gatewaySession *gateway.Session
	log            logrus.FieldLogger
	statements     map[string]prepared
	unit           *unit
	skipping       bool // whether messages are skipped up to the next Sync, after an error
	txStatus       byte
	token          string // the session token last sent to the caller

	mu           sync.Mutex
	cancel       context.CancelFunc // cancels the running request
	busy         bool
	shuttingDown bool
}

// answerBufferBytes bounds the bytes of an answer that are buffered so that
// they can be written together with its end.
const answerBufferBytes = 32 << 10

// Answer implements request.Sink. It buffers small chunks so that a short answer
// needs one write.
func (s *session) Answer(p []byte) error {
	s.pending = append(s.pending, p...)
	if len(s.pending) <= answerBufferBytes {
		return nil
	}
	if err := s.flush(); err != nil {
		return errkind.Wrap(err, errkind.Cancelled, "the caller went away")
	}
	return nil
}

// send buffers a message of the proxy until the next flush.
func (s *session) send(m pgproto3.BackendMessage) {
	buf, err := m.Encode(s.pending)
	if err != nil { // the message exceeds the maximum length
		buf, _ = errorResponse(errkind.New(errkind.TooLarge, "%T", m), "ERROR").Encode(s.pending)
	}
	s.pending = buf
}

// flush writes the pending bytes.
func (s *session) flush() error {
	_, err := s.writer.Write(s.pending)
	s.pending = s.pending[:0]
	if cap(s.pending) > 2*answerBufferBytes {
		s.pending = nil // release the memory of a long answer
	}
	return err
}

// run serves the caller until it disconnects, an error ends the connection or
// the session is shut down.
func (s *session) run(ctx context.Context) error {
	for {
		msg, err := s.receive()
		if err != nil {
			return classifyReceiveError(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if !s.beginMessage() {
			return s.sendShutdown()
		}
		err = s.handle(ctx, msg)
		end := s.endMessage()
		if err != nil {
			return err
		}
		if end {
			return s.sendShutdown()
		}
	}
}

// receive reads the next message. Inside a transaction it returns an
// IdleInTransaction error after Config.IdleTransaction.
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

// classifyReceiveError distinguishes a caller that disconnected, for which it
// returns nil, from one that violates the protocol, for which it returns a
// TooLarge or BadRequest error. It returns err unchanged if a read deadline
// passed, which means an idle transaction or shutDown.
func classifyReceiveError(err error) error {
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

// beginMessage marks the session as busy. It returns false if the session is
// shutting down and neither a transaction nor a unit is open.
func (s *session) beginMessage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown && s.txStatus == request.TxIdle && s.unit.isEmpty() {
		return false
	}
	s.busy = true
	return true
}

// endMessage marks the session as idle unless a transaction or a unit is open.
// It reports whether the session must end.
func (s *session) endMessage() (end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.txStatus != request.TxIdle || !s.unit.isEmpty()
	return s.shuttingDown && !s.busy
}

// sendShutdown sends the caller the error for a host that shuts down.
func (s *session) sendShutdown() error {
	s.send(errorResponse(errkind.New(errkind.ShuttingDown, "connect again"), "FATAL"))
	return s.flush()
}

// handle processes one message.
func (s *session) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	if m, ok := msg.(*pgproto3.Sync); ok {
		return s.handleSync(ctx, m)
	}
	if s.skipping {
		return nil
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		if !s.unit.isEmpty() { // the query would run before the unit
			s.unit.fail(errkind.New(errkind.NotSupported, "Query before Sync"))
			return s.failUnit()
		}
		return s.simpleQuery(ctx, m)
	case *pgproto3.Flush:
		if s.unit.isEmpty() {
			return nil
		}
		s.unit.fail(errkind.New(errkind.NotSupported, "Flush before Sync"))
		return s.failUnit()
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.unit.add(msg)
		return nil
	case *pgproto3.FunctionCall:
		return s.abortAndFail(errkind.New(errkind.NotSupported, "function call protocol"))
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // sent for a COPY that was rejected
	default:
		return errkind.New(errkind.BadRequest, "message %T", msg)
	}
}

// failUnit sends the error of a unit immediately and skips messages up to the
// next Sync.
func (s *session) failUnit() error {
	s.skipping = true
	s.abortTransaction()
	s.send(errorResponse(s.unit.failure, "ERROR"))
	return s.flush()
}

func (s *session) handleSync(ctx context.Context, m *pgproto3.Sync) error {
	u := s.unit
	s.unit = newUnit(s.statements)
	if s.skipping {
		s.skipping = false
		return s.sendReady()
	}
	if u.failure != nil {
		return s.abortAndFail(u.failure)
	}
	if len(u.messages) == 0 {
		return s.sendReady()
	}
	if u.onlyCloses { // Close changes no state on upstream connections
		u.applyConfirmed(len(u.changes))
		if err := s.Answer(synthetic.Answer(u.messages, "")); err != nil {
			return err
		}
		return s.sendReady()
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
	confirmed, err := s.runUnit(ctx, w)
	u.applyConfirmed(confirmed)
	return err
}

func (s *session) simpleQuery(ctx context.Context, m *pgproto3.Query) error {
	text := statement.Parse(m.String)
	if len(text.Statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
		return s.sendReady()
	}
	if done, err := s.answerLocally(text); done {
		return err
	}
	buf, err := m.Encode(nil)
	if err != nil {
		return s.abortAndFail(errkind.Wrap(err, errkind.BadRequest, "%v", err))
	}
	_, err = s.runUnit(ctx, &gateway.Work{Messages: buf, Texts: []statement.Text{text}})
	return err
}

// runUnit passes a unit to the gateway and completes its answer. It returns how
// many Parse and Close messages the upstream confirmed.
func (s *session) runUnit(ctx context.Context, w *gateway.Work) (confirmed int, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.mu.Lock()
	s.cancel = stop
	s.mu.Unlock()
	counter := confirmationCounter{sink: s}
	stopWatching := s.reader.watchDisconnect(stop)
	status, err := s.gatewaySession.Do(ctx, w, &counter)
	stopWatching()
	s.mu.Lock()
	s.cancel = nil
	s.mu.Unlock()
	s.setStatus(status)
	if err != nil {
		return counter.confirmed, s.sendError(errkind.Of(err))
	}
	return counter.confirmed, s.sendReady()
}

func (s *session) setStatus(status byte) {
	s.mu.Lock()
	s.txStatus = status
	s.mu.Unlock()
}

// confirmationCounter counts the Parse and Close messages that the upstream
// confirmed.
type confirmationCounter struct {
	sink      request.Sink
	confirmed int // number of ParseComplete and CloseComplete messages
}

// Answer implements request.Sink. Each p holds complete messages.
func (c *confirmationCounter) Answer(p []byte) error {
	synthetic.ForEachMessage(p, func(kind byte, _ []byte) {
		if kind == '1' || kind == '3' {
			c.confirmed++
		}
	})
	return c.sink.Answer(p)
}

// abortTransaction puts an open transaction into the failed state after an error
// of the proxy, as PostgreSQL does after its own errors.
func (s *session) abortTransaction() {
	if s.txStatus == request.TxOpen {
		s.setStatus(s.gatewaySession.Fail())
	}
}

// abortAndFail answers a message that was not passed to the gateway with an
// error and fails the open transaction.
func (s *session) abortAndFail(e *errkind.Error) error {
	s.abortTransaction()
	return s.sendError(e)
}

// sendError completes the answer of a unit with an error of the proxy.
func (s *session) sendError(e *errkind.Error) error {
	s.send(errorResponse(e, "ERROR"))
	return s.sendReady()
}

// sendReady completes an answer with ReadyForQuery. If the session token has
// changed, sendReady first reports the new token as a ParameterStatus, because
// drivers store the latest value of each parameter.
func (s *session) sendReady() error {
	if token := s.gatewaySession.Token(); token != s.token {
		s.token = token
		s.send(&pgproto3.ParameterStatus{Name: paramToken, Value: token})
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	return s.flush()
}

// interrupt cancels the running request, if any.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// shutDown ends the session: immediately if it is idle, otherwise after the
// current request, unit or transaction.
func (s *session) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	if !s.busy {
		drain.Interrupt(s.net)
	}
}
