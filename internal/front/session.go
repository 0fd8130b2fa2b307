package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

const (
	// maxPrepared and maxSettings bound what one session may hold.
	maxPrepared = 256
	maxSettings = 64
	// nameBytes is how much of the digest of a prepared statement its name on
	// the connections holds.
	nameBytes = 10
	// keptOutBytes is the largest answer buffer that an idle session keeps.
	keptOutBytes = 4 << 10
	// retireIdle is how long a session must have been idle to be ended: a caller
	// at work sends its next statement sooner.
	retireIdle = 300 * time.Millisecond
)

// prepared is what a name of the session stands for.
type prepared struct {
	writes   bool
	upstream request.Prepare
}

// transaction is an open transaction of a session.
type transaction struct {
	opens stmt.Kind // Begin or BeginRead
	sent  bool      // whether it has been opened at an instance
	wrote bool      // whether a statement in it may have written
}

// session is one caller connection after its first message.
type session struct {
	listener *Listener
	net      net.Conn
	in       *bufio.Reader
	gate     *gateway.Session
	database string
	reads    string // the classes of its statements
	writes   string
	out      []byte
	prepared map[string]prepared
	settings []string // each a name, a blank and the value
	tx       *transaction
	status   byte
	expired  bool // the transaction was idle for too long

	mu     sync.Mutex
	busy   bool
	ending bool
	// retiring is set while the session ends at the next good moment.
	retiring  bool
	idleSince time.Time
}

func newSession(l *Listener, nc net.Conn, in *bufio.Reader, gate *gateway.Session, database string) *session {
	return &session{
		listener: l, net: nc, in: in, gate: gate, status: request.TxIdle, idleSince: time.Now(),
		database: database, reads: config.ClassName(database, false), writes: config.ClassName(database, true),
	}
}

// run serves the caller until it leaves.
func (s *session) run(ctx context.Context) {
	for {
		st, err := s.receive()
		var malformed *stmt.MalformedError
		if err != nil && !errors.As(err, &malformed) {
			return // it left, or breaks the protocol
		}
		s.start()
		var a stmt.Answer
		if malformed != nil {
			a = failed(stmt.CodeMalformed, malformed.Reason)
		} else {
			a = s.answer(ctx, &st)
		}
		a.TxStatus = s.status
		s.out = s.listener.cfg.Codec.AppendAnswer(s.out[:0], &a)
		err = s.write(s.out)
		if cap(s.out) > keptOutBytes {
			s.out = nil
		}
		if s.finish(a.Code != stmt.CodeNone) || err != nil {
			return
		}
	}
}

// receive reads the next statement. A transaction that waits too long for it
// is rolled back; the caller hears of it with its next statement.
func (s *session) receive() (stmt.Statement, error) {
	if s.tx != nil && s.tx.sent {
		s.awaitInTransaction()
	}
	return s.listener.cfg.Codec.ReadStatement(s.in)
}

// awaitInTransaction returns once bytes of a statement are there, or the
// transaction has been rolled back because none came.
func (s *session) awaitInTransaction() {
	bound := s.listener.cfg.IdleTransaction()
	if bound <= 0 {
		return
	}
	_ = s.net.SetReadDeadline(time.Now().Add(bound))
	_, err := s.in.Peek(1)
	if isTimeout(err) && !s.isEnding() {
		s.listener.cfg.Log.WithField("database", s.database).Info("transaction rolled back: it was idle for too long")
		s.rollBack()
		s.expired = true
	}
	_ = s.net.SetReadDeadline(time.Time{})
}

func (s *session) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

func (s *session) write(p []byte) error {
	_ = s.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.net.Write(p)
	return err
}

// start marks the session as busy. A statement that arrived is answered, also
// where the session is ending.
func (s *session) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
}

// finish marks the session as idle and reports whether it has to end.
func (s *session) finish(refused bool) (end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.status != request.TxIdle
	s.idleSince = time.Now()
	return (s.ending || s.retiring && refused) && !s.busy
}

// retire makes the session end where no statement of its caller can be on its
// way: after a refusal, which sends the caller elsewhere, or once it has been
// idle for a while.
func (s *session) retire(on bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retiring = on
	if on && !s.busy && now.Sub(s.idleSince) >= retireIdle {
		s.ending = true
		drain.Interrupt(s.net)
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
