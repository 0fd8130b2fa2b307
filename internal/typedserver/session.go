package typedserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

const (
	// maxPrepared and maxSettings bound the prepared statements and the settings
	// of one session.
	maxPrepared = 256
	maxSettings = 64
	// nameDigestBytes is how many bytes of a prepared statement's SHA-256 digest
	// its upstream name includes.
	nameDigestBytes = 10
	// maxIdleAnswerBufBytes is the capacity above which a session releases its
	// answer buffer between statements.
	maxIdleAnswerBufBytes = 4 << 10
	// retireMinIdle is how long a session must be idle before setRetiring ends it.
	// An active caller sends its next statement sooner.
	retireMinIdle = 300 * time.Millisecond
)

// prepared is a prepared statement of a session.
type prepared struct {
	writes   bool
	upstream request.Prepare
}

// transaction is an open transaction of a session.
type transaction struct {
	beginKind typedproto.Kind // Begin or BeginRead
	beginSent bool            // whether the begin was sent to an instance
	wrote     bool            // whether one of its statements may have written
}

// session is one caller connection after its first message.
type session struct {
	listener       *Listener
	net            net.Conn
	in             *bufio.Reader
	gatewaySession *gateway.Session
	database       string
	readClass      string
	writeClass     string
	answerBuf      []byte
	prepared       map[string]prepared
	settings       []string // each has the form "name value"
	tx             *transaction
	txStatus       byte
	// expired is the reason for which the transaction was rolled back between two
	// statements, or empty.
	expired string

	mu           sync.Mutex
	busy         bool // a statement is running or a transaction is open
	running      bool // a statement is running
	shuttingDown bool
	// retiring is set while the session must end at the next opportunity; see
	// setRetiring.
	retiring  bool
	idleSince time.Time
	withdrawal
}

func newSession(l *Listener, nc net.Conn, in *bufio.Reader, gw *gateway.Session, database string) *session {
	return &session{
		listener: l, net: nc, in: in, gatewaySession: gw, txStatus: request.TxIdle, idleSince: time.Now(),
		database: database, readClass: config.ClassName(database, false), writeClass: config.ClassName(database, true),
	}
}

// run serves the caller until it disconnects, violates the protocol or the
// session ends.
func (s *session) run(ctx context.Context) {
	for {
		st, err := s.receive()
		var malformed *typedproto.MalformedError
		if err != nil && !errors.As(err, &malformed) {
			return // the caller disconnected or violated the protocol
		}
		s.beginStatement()
		var a typedproto.Answer
		if malformed != nil {
			a = failure(typedproto.CodeMalformed, malformed.Reason)
		} else {
			a = s.answer(ctx, &st)
		}
		a.TxStatus = s.txStatus
		s.answerBuf = s.listener.cfg.Codec.AppendAnswer(s.answerBuf[:0], &a)
		err = s.write(s.answerBuf)
		if cap(s.answerBuf) > maxIdleAnswerBufBytes {
			s.answerBuf = nil
		}
		if s.endStatement(a.Code != typedproto.CodeNone) || err != nil || a.Code == typedproto.CodeUnauthenticated {
			return
		}
	}
}

// receive reads the next statement. A transaction that waits too long for the
// statement is rolled back; the answer to the next statement reports it.
func (s *session) receive() (typedproto.Statement, error) {
	if s.tx != nil && s.tx.beginSent {
		s.awaitInTransaction()
	}
	return s.listener.cfg.Codec.ReadStatement(s.in)
}

// awaitInTransaction waits for the first byte of the next statement. If none
// arrives within Config.IdleTransaction, or while the key of the caller is withdrawn
// within Config.WithdrawalGrace, it rolls the transaction back.
func (s *session) awaitInTransaction() {
	s.startIdleTransaction()
	defer s.stopIdleTransaction()
	for {
		_, err := s.in.Peek(1)
		if !isTimeout(err) || s.isShuttingDown() {
			return
		}
		if reason := s.transactionExpired(time.Now()); reason != "" {
			s.listener.cfg.Log.WithFields(logrus.Fields{"database": s.database, "reason": reason}).Info("transaction rolled back")
			s.rollBack()
			s.expired = reason
			return
		}
	}
}

func (s *session) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

func (s *session) write(p []byte) error {
	_ = s.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.net.Write(p)
	return err
}

// beginStatement marks the session as busy. A statement that has arrived is
// answered even if the session is shutting down.
func (s *session) beginStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy, s.running = true, true
}

// endStatement marks the session as idle unless a transaction is open. It
// reports whether the session must end.
func (s *session) endStatement(refused bool) (end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy, s.running = s.txStatus != request.TxIdle, false
	s.idleSince = time.Now()
	return (s.shuttingDown || s.withdrawn || s.retiring && refused) && !s.busy
}

// setRetiring starts or stops retiring the session. A retiring session ends when
// its caller is unlikely to have a statement in flight: after a refused statement,
// which makes the caller switch to another host, or if the session has been idle
// for retireMinIdle when setRetiring is called.
func (s *session) setRetiring(on bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiring = on
	if on && !s.busy && now.Sub(s.idleSince) >= retireMinIdle {
		s.shuttingDown = true
		drain.Interrupt(s.net)
	}
}

// shutDown ends the session: immediately if it is idle, otherwise after its
// current statement or transaction.
func (s *session) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	if !s.busy {
		drain.Interrupt(s.net)
	}
}
