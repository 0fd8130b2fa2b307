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

// runClaimed runs a request with an id at most once: the claim is committed
// together with the effect of the request. A repeated request receives the
// outcome of the first attempt that ran.
func (in *instance) runClaimed(ctx context.Context, e *execution) (request.Result, error) {
	out, err := in.executeClaimed(ctx, e)
	in.finish(ctx, e, out, err)
	e.ticket.release()
	if err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	return in.acknowledge(ctx, e, out)
}

// executeClaimed runs all exchanges of a claimed request. If it returns no
// error, the connection is outside a transaction and e.answer holds the answer.
func (in *instance) executeClaimed(ctx context.Context, e *execution) (pool.Outcome, error) {
	c, err := newClaim(e.tx.conn, e.r)
	if err != nil {
		return pool.Outcome{}, err
	}
	found, err := in.acquireClaim(ctx, e, c)
	if err != nil {
		return pool.Outcome{}, notRun(err) // nothing has been committed
	}
	if found != "" {
		return in.replayOutcome(ctx, e, found)
	}
	if e.r.Continues {
		return in.exchange(ctx, e, in.heldExchange(e, e.r.Messages, true))
	}
	return in.runInClaim(ctx, e, c)
}

// acquireClaim claims the request, either in a new transaction or in the
// caller's own.
func (in *instance) acquireClaim(ctx context.Context, e *execution, c *claim) (found string, err error) {
	if e.r.Continues {
		return c.acquireAtCommit(ctx, encodeOutcome(e.r.Digest, "COMMIT"))
	}
	if err := c.conn.ApplySettings(ctx, e.r.Settings); err != nil {
		return "", err
	}
	return c.acquire(ctx, encodeOutcome(e.r.Digest, ""))
}

// heldExchange returns an exchange whose answer is held until it is confirmed.
func (in *instance) heldExchange(e *execution, messages []byte, askMark bool) *pool.Exchange {
	return &pool.Exchange{
		KeepSettings: true,
		Prepares:     e.r.Prepares,
		Messages:     messages,
		QueryMark:    askMark,
		BufferAnswer: true,
		BufferLimit:  heldAnswerLimit,
		WriteAnswer:  in.answerHandler(e, true),
	}
}

// runInClaim runs the messages in the transaction of the claim, records their
// command tag and commits. Nothing can take effect before the COMMIT is sent.
func (in *instance) runInClaim(ctx context.Context, e *execution, c *claim) (pool.Outcome, error) {
	out, err := in.exchange(ctx, e, in.heldExchange(e, e.r.Messages, false))
	if err != nil {
		return out, notRun(err)
	}
	if out.Failed || out.TxStatus != request.TxOpen {
		if err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
			return out, notRun(err)
		}
		return pool.Outcome{TxStatus: request.TxIdle, Failed: true}, nil // the answer is the error of the upstream
	}
	answer := e.answer
	e.answer = nil
	commit, err := (&pgproto3.Query{
		String: "UPDATE " + claimTable + " SET value = " + quote(encodeOutcome(e.r.Digest, out.Tag)) +
			" WHERE key = " + c.keyLiteral() + "; COMMIT",
	}).Encode(nil)
	if err != nil {
		return out, notRun(err)
	}
	done, err := in.exchange(ctx, e, in.heldExchange(e, commit, true))
	e.answer = answer
	if err != nil {
		return done, err
	}
	if done.Failed || done.Tag != "COMMIT" {
		return done, errkind.New(errkind.UpstreamLost, "the upstream did not commit").WithEffect(errkind.NotRun)
	}
	return done, nil
}

// notRun returns err with the effect NotRun. It is used where nothing was
// committed, whatever the cause of the error.
func notRun(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return errkind.Wrap(err, errkind.NoPrimary, "claim of the request id: %s", pgErr.Message).WithEffect(errkind.NotRun)
	}
	return errkind.Of(err).WithEffect(errkind.NotRun)
}

// replayOutcome answers a repeated request with the outcome of the first
// attempt. That attempt may not be confirmed yet, so the mark that
// replayOutcome returns has to be confirmed before the answer is sent.
func (in *instance) replayOutcome(ctx context.Context, e *execution, found string) (pool.Outcome, error) {
	tag, err := decodeOutcome(found, e.r.Digest)
	if err != nil {
		return pool.Outcome{}, err
	}
	out, err := e.tx.conn.Run(ctx, e.r.Deadline, &pool.Exchange{
		KeepSettings: true,
		QueryMark:    true,
		Messages:     emptyQuery,
		BufferAnswer: true,
		BufferLimit:  heldAnswerLimit,
		WriteAnswer:  func([]byte) error { return nil },
	})
	if err != nil {
		return out, err
	}
	out.Tag = tag
	e.answer = synthetic.Answer(e.r.Messages, tag)
	return out, nil
}

// emptyQuery is an encoded Query message without a statement.
var emptyQuery = func() []byte {
	buf, err := (&pgproto3.Query{}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return buf
}()

// settleRequest determines the outcome of an earlier attempt. It takes no slot,
// because it is short and a caller is already waiting for its result.
func (in *instance) settleRequest(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	conn, err := in.pool.GetFor(ctx, r.Workspace)
	if err != nil {
		return idle, errkind.Of(err).WithEffect(errkind.Unknown)
	}
	term, _ := in.cfg.Authority.LogTerm(in.group, in.id)
	e := &execution{r: r, sink: s, tx: &transaction{conn: conn, term: term}, reachedBefore: in.reached()}
	c, err := newClaim(conn, r)
	if err != nil {
		in.pool.Put(conn)
		return request.Result{TxStatus: request.TxIdle}, err
	}
	out, err := in.voidAttempt(ctx, e, c)
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

// voidAttempt claims the attempt as void. If the attempt has already run,
// e.answer holds its outcome instead.
func (in *instance) voidAttempt(ctx context.Context, e *execution, c *claim) (pool.Outcome, error) {
	found, err := c.acquire(ctx, void)
	if err != nil {
		return pool.Outcome{}, err
	}
	if found != "" {
		return in.replayOutcome(ctx, e, found)
	}
	commit, err := (&pgproto3.Query{String: "COMMIT"}).Encode(nil)
	if err != nil {
		return pool.Outcome{}, err
	}
	out, err := e.tx.conn.Run(ctx, e.r.Deadline, in.heldExchange(e, commit, true))
	if err == nil && out.Tag != "COMMIT" {
		err = errkind.New(errkind.OutcomeUnknown, "the claim was not committed")
	}
	out.Tag = void
	return out, err
}
