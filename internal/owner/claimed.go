package owner

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pg/synthetic"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// runClaimed runs a request with an id at most once: its claim is committed
// together with its effect. A repeat gets the first outcome.
func (in *instance) runClaimed(ctx context.Context, e *execution) (request.Result, error) {
	out, err := in.claimed(ctx, e)
	in.end(ctx, e, out, err)
	e.ticket.release()
	if err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	return in.acknowledge(ctx, e, out)
}

// claimed does all exchanges of a claimed request. On return without an error
// the connection is outside of a transaction and e.answer holds the answer.
func (in *instance) claimed(ctx context.Context, e *execution) (pool.Outcome, error) {
	c, err := newClaim(e.tx.conn, e.r)
	if err != nil {
		return pool.Outcome{}, err
	}
	found, err := in.take(ctx, e, c)
	if err != nil {
		return pool.Outcome{}, notRun(err) // nothing was committed
	}
	if found != "" {
		return in.repeatOutcome(ctx, e, found)
	}
	if e.r.Continues {
		return in.exchange(ctx, e, in.claimedExchange(e, e.r.Messages, true))
	}
	return in.runInClaim(ctx, e, c)
}

// take claims the request, in a transaction of its own or in the caller's.
func (in *instance) take(ctx context.Context, e *execution, c *claim) (found string, err error) {
	if e.r.Continues {
		return c.takeAtCommit(ctx, outcome(e.r.Digest, "COMMIT"))
	}
	if err := c.conn.ApplySettings(ctx, e.r.Settings); err != nil {
		return "", err
	}
	return c.take(ctx, outcome(e.r.Digest, ""))
}

// claimedExchange is one exchange whose answer is kept back.
func (in *instance) claimedExchange(e *execution, messages []byte, askMark bool) *pool.Exchange {
	return &pool.Exchange{
		KeepSettings: true,
		Prepares:     e.r.Prepares,
		Messages:     messages,
		AskMark:      askMark,
		Hold:         true,
		HoldLimit:    heldAnswerLimit,
		WriteAnswer:         in.passer(e, true),
	}
}

// runInClaim runs the messages in the transaction of the claim, notes their
// tag and commits. Until the COMMIT is sent nothing can have its effect.
func (in *instance) runInClaim(ctx context.Context, e *execution, c *claim) (pool.Outcome, error) {
	out, err := in.exchange(ctx, e, in.claimedExchange(e, e.r.Messages, false))
	if err != nil {
		return out, notRun(err)
	}
	if out.Failed || out.TxStatus != request.TxOpen {
		if err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
			return out, notRun(err)
		}
		return pool.Outcome{TxStatus: request.TxIdle, Failed: true}, nil // the answer is the upstream's error
	}
	answer := e.answer
	e.answer = nil
	commit, err := (&pgproto3.Query{
		String: "UPDATE " + claimTable + " SET value = " + quote(outcome(e.r.Digest, out.Tag)) +
			" WHERE key = " + c.key() + "; COMMIT",
	}).Encode(nil)
	if err != nil {
		return out, notRun(err)
	}
	done, err := in.exchange(ctx, e, in.claimedExchange(e, commit, true))
	e.answer = answer
	if err != nil {
		return done, err
	}
	if done.Failed || done.Tag != "COMMIT" {
		return done, errkind.New(errkind.UpstreamLost, "the upstream did not commit").WithEffect(errkind.NotRun)
	}
	return done, nil
}

// notRun states that nothing was committed, whatever happened.
func notRun(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return errkind.Wrap(err, errkind.NoPrimary, "claim of the request id: %s", pgErr.Message).WithEffect(errkind.NotRun)
	}
	return errkind.Of(err).WithEffect(errkind.NotRun)
}

// repeatOutcome answers a repeat with the first outcome. The first attempt may
// not have been confirmed yet, so the answer waits for that too.
func (in *instance) repeatOutcome(ctx context.Context, e *execution, found string) (pool.Outcome, error) {
	tag, err := firstOutcome(found, e.r.Digest)
	if err != nil {
		return pool.Outcome{}, err
	}
	out, err := e.tx.conn.Run(ctx, e.r.Deadline, &pool.Exchange{
		KeepSettings: true,
		AskMark:      true,
		Messages:     emptyQuery,
		Hold:         true,
		HoldLimit:    heldAnswerLimit,
		WriteAnswer:         func([]byte) error { return nil },
	})
	if err != nil {
		return out, err
	}
	out.Tag = tag
	e.answer = synthetic.Answer(e.r.Messages, tag)
	return out, nil
}

// emptyQuery is the encoded query without a statement.
var emptyQuery = func() []byte {
	buf, err := (&pgproto3.Query{}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return buf
}()

// settleRequest finds the outcome of an earlier attempt. It holds no slot: it
// is short and ends a wait.
func (in *instance) settleRequest(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	conn, err := in.pool.Get(ctx)
	if err != nil {
		return idle, errkind.Of(err).WithEffect(errkind.Unknown)
	}
	term, _ := in.cfg.Authority.LogTerm(in.group, in.id)
	e := &execution{r: r, sink: s, tx: &transaction{conn: conn, term: term}, low: in.reached()}
	c, err := newClaim(conn, r)
	if err != nil {
		in.pool.Put(conn)
		return request.Result{TxStatus: request.TxIdle}, err
	}
	out, err := in.shutOut(ctx, e, c)
	if err != nil {
		in.pool.Discard(conn)
		return idle, errkind.Of(err).WithEffect(errkind.Unknown)
	}
	in.pool.Put(conn)
	if err := in.confirm(ctx, e, out); err != nil {
		return idle, errkind.Of(err).WithEffect(errkind.Unknown)
	}
	if out.Tag == void {
		return idle, errkind.New(errkind.UpstreamLost, "the request was shut out").WithEffect(errkind.NotRun)
	}
	return request.Result{TxStatus: request.TxIdle, Mark: out.Mark, HasMark: true}, s.Answer(e.answer)
}

// shutOut claims the attempt as void, unless it has run: then e.answer holds
// its outcome.
func (in *instance) shutOut(ctx context.Context, e *execution, c *claim) (pool.Outcome, error) {
	found, err := c.take(ctx, void)
	if err != nil {
		return pool.Outcome{}, err
	}
	if found != "" {
		return in.repeatOutcome(ctx, e, found)
	}
	commit, err := (&pgproto3.Query{String: "COMMIT"}).Encode(nil)
	if err != nil {
		return pool.Outcome{}, err
	}
	out, err := e.tx.conn.Run(ctx, e.r.Deadline, in.claimedExchange(e, commit, true))
	if err == nil && out.Tag != "COMMIT" {
		err = errkind.New(errkind.OutcomeUnknown, "the claim was not committed")
	}
	out.Tag = void
	return out, err
}
