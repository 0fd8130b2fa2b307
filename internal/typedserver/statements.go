package typedserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

// answer executes one statement and returns its answer.
func (s *session) answer(ctx context.Context, st *typedproto.Statement) typedproto.Answer {
	if s.tx != nil && s.isPastGrace(time.Now()) {
		s.rollBack()
		s.expired = reasonWithdrawn
	}
	if s.expired != "" {
		return s.answerAfterExpiry(st)
	}
	if s.tx == nil && s.txStatus == request.TxIdle {
		if err := s.gatewaySession.CheckKey(); err != nil {
			return s.refuseKey(st, err)
		}
	}
	if s.txStatus == request.TxFailed {
		return s.answerInFailedTransaction(st)
	}
	switch st.Kind {
	case typedproto.Set:
		return s.applySetting(st)
	case typedproto.Prepare:
		return s.prepare(st)
	case typedproto.Deallocate:
		return s.deallocate(st)
	case typedproto.Begin, typedproto.BeginRead:
		return s.begin(st)
	case typedproto.Commit, typedproto.Rollback:
		return s.finishTransaction(ctx, st)
	case typedproto.Read, typedproto.Write, typedproto.Execute:
		return s.execute(ctx, st)
	}
	return failure(typedproto.CodeMalformed, "not a statement of a caller")
}

// refuseKey counts and logs a session whose key was withdrawn. The returned
// answer ends the session.
func (s *session) refuseKey(st *typedproto.Statement, err error) typedproto.Answer {
	e := errkind.Of(err)
	s.recordRefusal(st, e)
	code, text := failureCode(e, false)
	return failure(code, text)
}

// recordRefusal counts and logs a statement that was refused for the key of its
// caller. It reached no other host, so the caller's own id also names the request.
func (s *session) recordRefusal(st *typedproto.Statement, e *errkind.Error) {
	s.listener.recordRefusal(s.net, s.database, e, logrus.Fields{
		"workspace": s.gatewaySession.Workspace(), "request": st.ID, "caller_id": st.ID,
	})
}

// answerAfterExpiry answers the first statement after the transaction was rolled
// back between two statements.
func (s *session) answerAfterExpiry(st *typedproto.Statement) typedproto.Answer {
	reason := s.expired
	s.expired = ""
	if st.Kind == typedproto.Rollback {
		return typedproto.Answer{}
	}
	if st.Kind != typedproto.Commit && reason != reasonWithdrawn { // the session of a withdrawn key ends here
		s.txStatus = request.TxFailed
	}
	return failure(typedproto.CodeAborted, reason)
}

// answerInFailedTransaction answers a statement within a failed transaction, in
// which only a commit or a rollback is accepted.
func (s *session) answerInFailedTransaction(st *typedproto.Statement) typedproto.Answer {
	switch st.Kind {
	case typedproto.Rollback:
		s.rollBack()
		return typedproto.Answer{}
	case typedproto.Commit:
		s.rollBack()
		return failure(typedproto.CodeAborted, "the transaction had failed")
	}
	return failure(typedproto.CodeMalformed, "the transaction failed: end it")
}

// failure returns an answer with an error code and its text.
func failure(code typedproto.Code, text string) typedproto.Answer {
	return typedproto.Answer{Code: code, Text: text}
}

func (s *session) applySetting(st *typedproto.Statement) typedproto.Answer {
	setting := st.Name + " " + st.Value
	next := make([]string, 0, len(s.settings)+1)
	for _, old := range s.settings {
		if !strings.HasPrefix(old, st.Name+" ") {
			next = append(next, old)
		}
	}
	if len(next) >= maxSettings {
		return failure(typedproto.CodeFailed, "too many settings")
	}
	s.settings = append(next, setting)
	s.gatewaySession.UseSettings(s.settings)
	return typedproto.Answer{}
}

func (s *session) prepare(st *typedproto.Statement) typedproto.Answer {
	if len(s.prepared) >= maxPrepared {
		return failure(typedproto.CodeFailed, "too many prepared statements")
	}
	if s.prepared == nil {
		s.prepared = map[string]prepared{}
	}
	s.prepared[st.Name] = prepared{writes: st.Writes, upstream: upstreamPrepare(st.Value, st.Writes)}
	return typedproto.Answer{}
}

// upstreamPrepare returns the upstream statement for a prepared statement. Its
// name is a digest of its content, because sessions share connections and a name
// must denote the same statement in all of them.
func upstreamPrepare(shape string, writes bool) request.Prepare {
	parse := typedproto.AppendPrepared(nil, shape, writes)
	sum := sha256.Sum256(parse)
	return request.Prepare{Name: "aw" + hex.EncodeToString(sum[:nameDigestBytes]), Parse: parse}
}

func (s *session) deallocate(st *typedproto.Statement) typedproto.Answer {
	if _, ok := s.prepared[st.Name]; !ok {
		return failure(typedproto.CodeNoStatement, st.Name)
	}
	delete(s.prepared, st.Name)
	return typedproto.Answer{}
}

// begin starts a transaction in the session. The transaction is opened at an
// instance together with its first statement, so that it holds no connection
// before that.
func (s *session) begin(st *typedproto.Statement) typedproto.Answer {
	if s.tx != nil {
		return failure(typedproto.CodeMalformed, "a transaction is open")
	}
	s.tx = &transaction{beginKind: st.Kind}
	s.txStatus = request.TxOpen
	return typedproto.Answer{}
}

// rollBack abandons the transaction at the gateway and clears its state.
func (s *session) rollBack() {
	s.gatewaySession.DiscardTransaction()
	s.tx = nil
	s.txStatus = request.TxIdle
}

// execute runs a read, a write or a prepared statement, either on its own or in
// the open transaction.
func (s *session) execute(ctx context.Context, st *typedproto.Statement) typedproto.Answer {
	w, writes, ok := s.buildWork(st)
	if !ok {
		return s.failTransaction(failure(typedproto.CodeNoStatement, st.Name))
	}
	a, err := s.runUnit(ctx, w)
	if errkind.Is(err, errkind.Unauthenticated) {
		s.recordRefusal(st, errkind.Of(err))
	}
	if s.tx != nil {
		s.tx.wrote = s.tx.wrote || writes
		s.tx.beginSent = true
	}
	if err != nil {
		// Only a write outside a transaction can leave an effect: a failed
		// transaction is rolled back, and a read changes nothing.
		return s.failTransaction(errorAnswer(err, s.tx == nil && writes, s.tx != nil))
	}
	if a.Code != typedproto.CodeNone {
		return s.failTransaction(a)
	}
	return a
}

// failTransaction puts the open transaction, if any, into the failed state after
// a statement failed with answer a, and returns a.
func (s *session) failTransaction(a typedproto.Answer) typedproto.Answer {
	if s.tx != nil {
		s.gatewaySession.DiscardTransaction()
		s.txStatus = request.TxFailed
	}
	return a
}

// finishTransaction executes a commit or a rollback.
func (s *session) finishTransaction(ctx context.Context, st *typedproto.Statement) typedproto.Answer {
	if s.tx == nil {
		return failure(typedproto.CodeMalformed, "no transaction is open")
	}
	if st.Kind == typedproto.Commit {
		return s.commit(ctx, st)
	}
	s.rollBack()
	return typedproto.Answer{}
}

func (s *session) commit(ctx context.Context, st *typedproto.Statement) typedproto.Answer {
	u := typedproto.Unit{Statement: *st, Writes: s.tx.wrote}
	kinds := []statement.Kind{statement.Commit}
	if !s.tx.beginSent {
		u.Opens = s.tx.beginKind
		kinds = []statement.Kind{statement.Begin, statement.Commit}
	}
	wrote := s.tx.wrote
	a, err := s.runUnit(ctx, newWork(&u, s.class(false), kinds...))
	if err != nil {
		a = errorAnswer(err, wrote, true)
	}
	s.rollBack() // the transaction has ended, whatever its outcome
	return a
}

// buildWork builds the unit of work of a read, a write or a prepared statement.
// writes reports whether the statement may write; ok is false if the prepared
// statement does not exist.
func (s *session) buildWork(st *typedproto.Statement) (w *gateway.Work, writes, ok bool) {
	u := typedproto.Unit{Statement: *st, Writes: st.Kind == typedproto.Write}
	var prepares []request.Prepare
	if st.Kind == typedproto.Execute {
		p, known := s.prepared[st.Name]
		if !known {
			return nil, false, false
		}
		u.Statement.Name, u.Writes = p.upstream.Name, p.writes
		prepares = []request.Prepare{p.upstream}
	}
	kinds := []statement.Kind{statement.Other}
	if s.tx != nil && !s.tx.beginSent {
		u.Opens = s.tx.beginKind
		kinds = []statement.Kind{statement.Begin, statement.Other}
	}
	w = newWork(&u, s.class(u.Writes), kinds...)
	w.Prepares = prepares
	return w, u.Writes, true
}

// class returns the class of a statement. All statements of a transaction that
// may write, including its reads, belong to the write class.
func (s *session) class(writes bool) string {
	if writes || s.tx != nil && s.tx.beginKind == typedproto.Begin {
		return s.writeClass
	}
	return s.readClass
}

func newWork(u *typedproto.Unit, class string, kinds ...statement.Kind) *gateway.Work {
	text := statement.Text{Tags: statement.Tags{Class: class}}
	for _, k := range kinds {
		text.Statements = append(text.Statements, statement.Statement{Kind: k})
	}
	return &gateway.Work{Messages: typedproto.AppendUnit(nil, u), Texts: []statement.Text{text}, CallerID: u.Statement.ID}
}

// collector is a request.Sink that collects the answer of a unit.
type collector struct{ buf []byte }

// Answer implements request.Sink.
func (c *collector) Answer(p []byte) error {
	c.buf = append(c.buf, p...)
	return nil
}

// runUnit passes a unit to the gateway and decodes its answer.
func (s *session) runUnit(ctx context.Context, w *gateway.Work) (typedproto.Answer, error) {
	var c collector
	if _, err := s.gatewaySession.Do(ctx, w, &c); err != nil {
		return typedproto.Answer{}, err
	}
	a, err := typedproto.ParseAnswer(c.buf)
	if err != nil {
		return a, errkind.Of(err).WithEffect(errkind.Unknown)
	}
	return a, nil
}
