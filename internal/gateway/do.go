package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pg/synthetic"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// plan describes a unit of work before it is routed.
type plan struct {
	class            *config.Class
	group            table.GroupName
	requestID        string
	opensTransaction bool // begins a transaction and leaves it open
	commits          bool // contains a COMMIT
	changesSettings  bool
}

// Do runs one unit of work, sends its answer to sink and returns the
// transaction state after it. Every error is an *errkind.Error.
func (s *Session) Do(ctx context.Context, w *Work, sink request.Sink) (byte, error) {
	started := time.Now()
	if s.aborted {
		return s.doAborted(w, sink)
	}
	if s.tx == nil {
		if err := s.CheckKey(); err != nil {
			return request.TxIdle, err
		}
	}
	p, err := s.plan(w)
	if err != nil {
		return s.abortTransaction(), err
	}
	run := &run{session: s, work: w, plan: p, sink: countingSink{sink: sink}, started: started}
	res, err := run.execute(ctx)
	s.observe(run, err)
	if err != nil {
		run.logFailure(err)
		return s.abortTransaction(), err
	}
	s.recordResult(run, res)
	return res.TxStatus, nil
}

// abortTransaction updates the session after an error and returns the new
// transaction state. As in PostgreSQL, an error inside a transaction aborts the
// transaction.
func (s *Session) abortTransaction() byte {
	if s.tx == nil {
		return request.TxIdle
	}
	s.Close()
	s.pendingSettings = nil
	s.aborted = true
	return request.TxFailed
}

// Fail updates the session after an error that the listener detected, and
// returns the new transaction state.
func (s *Session) Fail() byte { return s.abortTransaction() }

// doAborted handles a unit inside an aborted transaction. It answers a COMMIT
// or ROLLBACK with ROLLBACK and refuses everything else.
func (s *Session) doAborted(w *Work, sink request.Sink) (byte, error) {
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			if st.Kind != statement.Commit && st.Kind != statement.Rollback {
				continue
			}
			s.aborted = false
			return request.TxIdle, sink.Answer(synthetic.Answer(w.Messages, "ROLLBACK"))
		}
	}
	return request.TxFailed, errkind.New(errkind.TxAborted, "end it with ROLLBACK")
}

// recordResult updates the token, the settings and the transaction of the
// session after a successful request.
func (s *Session) recordResult(r *run, res request.Result) {
	if res.HasMark {
		s.token.Raise(r.plan.group, res.Mark)
	}
	if r.plan.changesSettings || res.TxStatus == request.TxIdle {
		s.recordSettings(r.work, res.TxStatus)
	}
	if res.TxStatus == request.TxIdle {
		s.tx = nil
		s.RequestID = ""
		return
	}
	if s.tx == nil {
		s.tx = &transaction{
			class:    r.plan.class,
			group:    r.plan.group,
			instance: r.instance,
			owner:    r.owner,
			executor: r.executor,
			replica:  r.replica,

			requestID: r.plan.requestID,
		}
	}
}

// observe reports a finished request to the observer.
func (s *Session) observe(r *run, err error) {
	o := Observation{
		Service:  s.service,
		Class:    r.plan.class.Name,
		Rank:     r.plan.class.Rank,
		Access:   r.plan.class.Access,
		Replica:  r.replica,
		Took:     time.Since(r.started),
		Attempts: r.attempts,
	}
	if err != nil {
		o.Err = r.failureCause(err)
	}
	s.gateway.cfg.Observer.Request(o)
}

// plan determines the class, group and request id of a unit, and returns an
// error for units that cannot be served.
func (s *Session) plan(w *Work) (*plan, error) {
	doc := s.gateway.cfg.Directory.Document(s.service)
	if doc == nil {
		return nil, s.gateway.notFound(errkind.UnknownClass, "service %s", s.service)
	}
	tags := firstTags(w.Texts)
	p := &plan{requestID: tags.RequestID}
	if p.requestID == "" {
		p.requestID = s.RequestID
	}
	if err := p.scanStatements(w); err != nil {
		return nil, err
	}
	if s.tx != nil {
		p.class, p.group = s.tx.class, s.tx.group
		if s.tx.requestID != "" {
			p.requestID = s.tx.requestID
		}
		return p, checkAccess(p.class, w)
	}
	name := tags.Class
	if name == "" {
		name = s.class
	}
	class, err := s.gateway.findClass(doc, name)
	if err != nil {
		return nil, err
	}
	key := tags.Key
	if key == "" {
		key = s.Key
	}
	p.class = class
	if p.requestID != "" && p.commits {
		return nil, errkind.New(errkind.NotSupported, "a request id with a whole transaction in one message")
	}
	if p.group, err = chooseGroup(class, key); err != nil {
		return nil, err
	}
	return p, checkAccess(class, w)
}

// firstTags returns the tags of the first text that has any.
func firstTags(texts []statement.Text) statement.Tags {
	for _, t := range texts {
		if t.Tags != (statement.Tags{}) {
			return t.Tags
		}
	}
	return statement.Tags{}
}

// scanStatements sets the flags of the plan from the statements of a unit. It
// returns an error for statements that are not supported.
func (p *plan) scanStatements(w *Work) error {
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			switch st.Kind {
			case statement.Unsupported:
				return errkind.New(errkind.NotSupported, "%s", st.Verb)
			case statement.Begin:
				p.opensTransaction = true
			case statement.Commit:
				p.opensTransaction, p.commits = false, true
			case statement.Rollback:
				p.opensTransaction = false
			case statement.Set:
				p.changesSettings = true
			case statement.Reset:
				return errkind.New(errkind.NotSupported, "%s together with other statements", st.Verb)
			}
		}
	}
	return nil
}

// writeVerbs are refused in a class with read access.
var writeVerbs = map[string]bool{
	"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "TRUNCATE": true,
	"CREATE": true, "ALTER": true, "DROP": true, "CALL": true, "DO": true,
}

// checkAccess returns an error if the unit contains a write statement and its
// class has only read access.
func checkAccess(c *config.Class, w *Work) error {
	if c.Access == config.AccessWrite {
		return nil
	}
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			if writeVerbs[st.Verb] {
				return errkind.New(errkind.BadRequest, "class %s only reads: %s", c.Name, st.Verb)
			}
		}
	}
	return nil
}

// countingSink counts the bytes of the answer that were passed to the sink.
// Once part of an answer has been sent, the request cannot be retried.
type countingSink struct {
	sink  request.Sink
	bytes int
}

// Answer implements request.Sink.
func (c *countingSink) Answer(p []byte) error {
	c.bytes += len(p)
	return c.sink.Answer(p)
}

// logFailure logs why a request ended with an error, what is known about its
// effect, and the kind of the caller's answer if that is another one.
func (r *run) logFailure(err error) {
	answer, cause := errkind.Of(err), r.failureCause(err)
	fields := logrus.Fields{
		"request": r.id, "caller_id": r.work.CallerID, "service": r.session.service, "class": r.plan.class.Name,
		"group": r.plan.group, "instance": r.instance, "owner": r.owner, "attempt": r.attempts,
		"kind": cause.Kind.String(), "effect": answer.Effect.String(), "took_ms": time.Since(r.started).Milliseconds(),
	}
	if answer.Kind != cause.Kind {
		fields["answer"] = answer.Kind.String()
	}
	r.session.gateway.cfg.Log.WithFields(fields).WithError(cause).Info("request failed")
}

// logRefusal logs why an attempt was refused. Consecutive refusals with the
// same cause are logged once.
func (r *run) logRefusal(q *request.Request, err, previous error) {
	if previous != nil && previous.Error() == err.Error() {
		return
	}
	r.session.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": q.ID, "instance": r.instance, "owner": r.owner, "attempt": r.attempts,
		"kind": errkind.Of(err).Kind.String(),
	}).WithError(err).Info("attempt refused")
}
