package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

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
	case stmt.Commit, stmt.Rollback:
		return s.finishTransaction(ctx, st)
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
		if !strings.HasPrefix(old, st.Name+" ") {
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
	s.gate.DiscardTransaction()
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
		s.gate.DiscardTransaction()
		s.status = request.TxFailed
	}
	return a
}

// finishTransaction carries out a commit or a rollback.
func (s *session) finishTransaction(ctx context.Context, st *stmt.Statement) stmt.Answer {
	if s.tx == nil {
		return failed(stmt.CodeMalformed, "no transaction is open")
	}
	if st.Kind == stmt.Commit {
		return s.commit(ctx, st)
	}
	s.rollBack()
	return stmt.Answer{}
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
	return &gateway.Work{Messages: stmt.AppendUnit(nil, u), Texts: []statement.Text{text}, CallerID: u.Statement.ID}
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
