package front

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
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
		_ = s.net.SetReadDeadline(pastDeadline)
	}
}

// end makes the session leave: at once when it is idle, else at the end of its
// transaction.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	if !s.busy {
		_ = s.net.SetReadDeadline(pastDeadline)
	}
}

// answer carries out one statement.
func (s *session) answer(ctx context.Context, st *stmt.Statement) stmt.Answer {
	if s.expired {
		return s.answerExpired(st)
	}
	if s.status == request.TxFailed {
		return s.answerFailed(st)
	}
	switch st.Kind {
	case stmt.Set:
		return s.set(st)
	case stmt.Prepare:
		return s.prepare(st)
	case stmt.Deallocate:
		return s.deallocate(st)
	case stmt.Begin, stmt.BeginRead:
		return s.begin(st)
	case stmt.Rollback:
		if s.tx == nil {
			return failed(stmt.CodeMalformed, "no transaction is open")
		}
		s.rollBack()
		return stmt.Answer{}
	case stmt.Commit:
		if s.tx == nil {
			return failed(stmt.CodeMalformed, "no transaction is open")
		}
		return s.commit(ctx, st)
	case stmt.Read, stmt.Write, stmt.Execute:
		return s.execute(ctx, st)
	}
	return failed(stmt.CodeMalformed, "not a statement of a caller")
}

// answerExpired tells the caller that its transaction was rolled back.
func (s *session) answerExpired(st *stmt.Statement) stmt.Answer {
	s.expired = false
	if st.Kind != stmt.Commit && st.Kind != stmt.Rollback {
		s.status = request.TxFailed
	}
	if st.Kind == stmt.Rollback {
		return stmt.Answer{}
	}
	return failed(stmt.CodeAborted, "the transaction was idle for too long")
}

// answerFailed answers within a failed transaction: only its end is accepted.
func (s *session) answerFailed(st *stmt.Statement) stmt.Answer {
	switch st.Kind {
	case stmt.Rollback:
		s.rollBack()
		return stmt.Answer{}
	case stmt.Commit:
		s.rollBack()
		return failed(stmt.CodeAborted, "the transaction had failed")
	}
	return failed(stmt.CodeMalformed, "the transaction failed: end it")
}

func failed(code stmt.Code, text string) stmt.Answer { return stmt.Answer{Code: code, Text: text} }

func (s *session) set(st *stmt.Statement) stmt.Answer {
	line := st.Name + " " + st.Value
	next := make([]string, 0, len(s.settings)+1)
	for _, old := range s.settings {
		if len(old) <= len(st.Name) || old[:len(st.Name)+1] != st.Name+" " {
			next = append(next, old)
		}
	}
	if len(next) >= maxSettings {
		return failed(stmt.CodeFailed, "too many settings")
	}
	s.settings = append(next, line)
	s.gate.UseSettings(s.settings)
	return stmt.Answer{}
}

func (s *session) prepare(st *stmt.Statement) stmt.Answer {
	if len(s.prepared) >= maxPrepared {
		return failed(stmt.CodeFailed, "too many prepared statements")
	}
	if s.prepared == nil {
		s.prepared = map[string]prepared{}
	}
	s.prepared[st.Name] = prepared{writes: st.Writes, upstream: upstreamPrepare(st.Value, st.Writes)}
	return stmt.Answer{}
}

// upstreamPrepare names a prepared statement by its content: sessions share
// connections, and the same name must mean the same to all of them.
func upstreamPrepare(shape string, writes bool) request.Prepare {
	parse := stmt.AppendPrepared(nil, shape, writes)
	sum := sha256.Sum256(parse)
	return request.Prepare{Name: "aw" + hex.EncodeToString(sum[:nameBytes]), Parse: parse}
}

func (s *session) deallocate(st *stmt.Statement) stmt.Answer {
	if _, ok := s.prepared[st.Name]; !ok {
		return failed(stmt.CodeNoStatement, st.Name)
	}
	delete(s.prepared, st.Name)
	return stmt.Answer{}
}

// begin notes a transaction. It is opened at an instance with its first
// statement, so that it holds no connection before.
func (s *session) begin(st *stmt.Statement) stmt.Answer {
	if s.tx != nil {
		return failed(stmt.CodeMalformed, "a transaction is open")
	}
	s.tx = &transaction{opens: st.Kind}
	s.status = request.TxOpen
	return stmt.Answer{}
}

// rollBack ends the transaction without keeping anything of it.
func (s *session) rollBack() {
	s.gate.Abandon()
	s.tx = nil
	s.status = request.TxIdle
}

// execute runs a read or a write, by itself or in the open transaction.
func (s *session) execute(ctx context.Context, st *stmt.Statement) stmt.Answer {
	w, writes, ok := s.work(st)
	if !ok {
		return s.fail(failed(stmt.CodeNoStatement, st.Name))
	}
	a, err := s.do(ctx, w)
	if s.tx != nil {
		s.tx.wrote = s.tx.wrote || writes
		s.tx.sent = true
	}
	if err != nil {
		// What a transaction did so far is lost with it; a read keeps nothing.
		return s.fail(refusal(err, s.tx == nil && writes, s.tx != nil))
	}
	if a.Code != stmt.CodeNone {
		return s.fail(a)
	}
	return a
}

// fail notes that a statement failed, which ends the transaction it is in.
func (s *session) fail(a stmt.Answer) stmt.Answer {
	if s.tx != nil {
		s.gate.Abandon()
		s.status = request.TxFailed
	}
	return a
}

func (s *session) commit(ctx context.Context, st *stmt.Statement) stmt.Answer {
	u := stmt.Unit{Statement: *st, Writes: s.tx.wrote}
	kinds := []statement.Kind{statement.Commit}
	if !s.tx.sent {
		u.Opens = s.tx.opens
		kinds = []statement.Kind{statement.Begin, statement.Commit}
	}
	wrote := s.tx.wrote
	a, err := s.do(ctx, newWork(&u, s.class(false), kinds...))
	if err != nil {
		a = refusal(err, wrote, true)
	}
	s.rollBack() // nothing is open any more, whatever came of it
	return a
}

// work makes the unit of a read or write. It is false where a prepared name is
// not known.
func (s *session) work(st *stmt.Statement) (w *gateway.Work, writes, ok bool) {
	u := stmt.Unit{Statement: *st, Writes: st.Kind == stmt.Write}
	var prepares []request.Prepare
	if st.Kind == stmt.Execute {
		p, known := s.prepared[st.Name]
		if !known {
			return nil, false, false
		}
		u.Statement.Name, u.Writes = p.upstream.Name, p.writes
		prepares = []request.Prepare{p.upstream}
	}
	kinds := []statement.Kind{statement.Other}
	if s.tx != nil && !s.tx.sent {
		u.Opens = s.tx.opens
		kinds = []statement.Kind{statement.Begin, statement.Other}
	}
	w = newWork(&u, s.class(u.Writes), kinds...)
	w.Prepares = prepares
	return w, u.Writes, true
}

// class names the class of a statement: a transaction that may write is one
// from its start.
func (s *session) class(writes bool) string {
	if writes || s.tx != nil && s.tx.opens == stmt.Begin {
		return s.writes
	}
	return s.reads
}

func newWork(u *stmt.Unit, class string, kinds ...statement.Kind) *gateway.Work {
	text := statement.Text{Tags: statement.Tags{Class: class}}
	for _, k := range kinds {
		text.Statements = append(text.Statements, statement.Statement{Kind: k})
	}
	return &gateway.Work{Messages: stmt.AppendUnit(nil, u), Texts: []statement.Text{text}}
}

// collector takes the answer of a unit.
type collector struct{ buf []byte }

// Answer implements request.Sink.
func (c *collector) Answer(p []byte) error {
	c.buf = append(c.buf, p...)
	return nil
}

// do hands a unit to the gateway and reads its answer.
func (s *session) do(ctx context.Context, w *gateway.Work) (stmt.Answer, error) {
	var c collector
	if _, err := s.gate.Do(ctx, w, &c); err != nil {
		return stmt.Answer{}, err
	}
	a, err := stmt.ParseAnswer(c.buf)
	if err != nil {
		return a, errkind.Of(err).WithEffect(errkind.Unknown)
	}
	return a, nil
}
