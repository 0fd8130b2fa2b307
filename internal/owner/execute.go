package owner

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// heldAnswerLimit bounds the answer of a write that is kept back until the
// write is confirmed, in bytes.
const heldAnswerLimit = 16 << 20

// execute runs one request: admission, connection, exchange, confirmation,
// answer.
func (in *instance) execute(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	res, err := in.admitAndRun(ctx, r, s)
	res.Hint, res.HasHint = in.hint(time.Now()), true
	return res, err
}

func (in *instance) admitAndRun(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	ctx, stop := context.WithDeadline(ctx, r.Deadline)
	defer stop()
	idle := request.Result{TxStatus: request.TxIdle}
	if err := in.awaitFresh(ctx, r); err != nil {
		return idle, err
	}
	if r.Settle {
		return in.settleRequest(ctx, r, s)
	}
	t, err := in.slots.acquire(ctx, r)
	if err != nil {
		return idle, err
	}
	defer t.release()
	if err := in.mayRun(r); err != nil { // the wait may have been long
		return idle, err
	}
	in.working.Add(1)
	defer in.working.Add(-1)
	tx, err := in.begin(ctx, r)
	if err != nil {
		return idle, err
	}
	e := &execution{r: r, sink: s, tx: tx, ticket: t, low: in.reached()}
	if r.RequestID != "" && r.MayCommit && r.Access == config.AccessWrite {
		return in.runClaimed(ctx, e)
	}
	return in.run(ctx, e)
}

// mayRun checks what must hold before a byte goes to the upstream.
func (in *instance) mayRun(r *request.Request) error {
	if !in.serving.Load() {
		return errkind.New(errkind.NoOwner, "%s is being taken over", in.id)
	}
	if r.Continues {
		return nil // the transaction was checked when it began
	}
	if in.cfg.UpstreamFloors && in.outOfReach() {
		return errkind.New(errkind.UpstreamLost, "%s does not answer", in.id).WithEffect(errkind.NotRun)
	}
	if in.ending.Load() {
		return errkind.New(errkind.NoOwner, "%s is being handed over", in.id)
	}
	if r.Access == config.AccessRead && r.Staleness > 0 {
		return in.mayRead(r)
	}
	term, primary := in.cfg.Authority.LogTerm(in.group, in.id)
	if !primary {
		return errkind.New(errkind.NoPrimary, "%s is not the primary of %s", in.id, in.group)
	}
	return in.mayAcknowledge(term, errkind.NotRun)
}

// outOfReach reports whether the latest probe of the instance failed.
func (in *instance) outOfReach() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.health.probed && !in.health.reachable
}

// mayRead checks a read that states a staleness. The primary may serve it
// under its lease; a replica when its age is proven and it holds the floor.
func (in *instance) mayRead(r *request.Request) error {
	if term, primary := in.cfg.Authority.LogTerm(in.group, in.id); primary {
		return in.mayAcknowledge(term, errkind.NotRun)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cfg.UpstreamFloors {
		return nil
	}
	in.age.readAt = time.Now()
	return in.age.check(in.age.readAt, r)
}

// awaitFresh is mayRun for a request that has not begun: a read may wait as
// long as it says for the replica to become fresh enough.
func (in *instance) awaitFresh(ctx context.Context, r *request.Request) error {
	until := time.Now().Add(r.Wait)
	for {
		err := in.mayRun(r)
		if !errkind.Is(err, errkind.StalenessUnprovable) || time.Now().After(until) {
			return err
		}
		in.hurry()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(in.cfg.Timing.ReplicaPoll):
		}
	}
}

// hint is what helps the next routing decision.
func (in *instance) hint(now time.Time) request.Hint {
	waits := in.slots.waits()
	in.mu.Lock()
	defer in.mu.Unlock()
	h := request.Hint{Mark: in.health.status.Mark, QueueWait: waits}
	if in.cfg.UpstreamFloors {
		h.AgeKnown = true // the instance itself checks what it is asked for
		return h
	}
	h.Age, h.AgeKnown = in.age.tracker.Age(since(now))
	return h
}

func (in *instance) mayAcknowledge(term table.Term, effect errkind.Effect) error {
	err := in.cfg.Authority.MayAcknowledge(in.group, in.id, term)
	if err == nil {
		return nil
	}
	if effect == errkind.NotRun {
		return errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	return errkind.Wrap(err, errkind.LeaseLost, "%v", err)
}

// begin finds the connection of the session's transaction, or lends one.
func (in *instance) begin(ctx context.Context, r *request.Request) (*transaction, error) {
	in.mu.Lock()
	tx := in.held[r.Session]
	if tx != nil && (tx.inUse || !r.Continues) {
		in.mu.Unlock()
		return nil, errkind.New(errkind.Internal, "session %v has a transaction in use", r.Session).WithEffect(errkind.NotRun)
	}
	if tx != nil {
		tx.inUse = true
		in.mu.Unlock()
		return tx, nil
	}
	in.mu.Unlock()
	if r.Continues {
		return nil, errkind.New(errkind.UpstreamLost, "the transaction was rolled back").WithEffect(errkind.NotRun)
	}
	term, _ := in.cfg.Authority.LogTerm(in.group, in.id)
	writes := r.Access == config.AccessWrite
	if writes {
		if err := in.gate.enter(ctx, func() error { return in.mayRun(r) }); err != nil {
			return nil, err
		}
	}
	conn, err := in.pool.Get(ctx)
	if err != nil {
		if writes {
			in.gate.leave()
		}
		return nil, err
	}
	return &transaction{conn: conn, writes: writes, inUse: true, term: term}, nil
}

// execution is one request on its connection.
type execution struct {
	r      *request.Request
	sink   request.Sink
	tx     *transaction
	ticket *ticket
	// low is a position that the primary had reached before the request was
	// sent: what it writes lies beyond.
	low    table.Mark
	answer []byte // what is kept back until the write is confirmed
}

// run does the exchange, gives the connection back or keeps it for the
// transaction, and confirms before it passes on a held answer.
func (in *instance) run(ctx context.Context, e *execution) (request.Result, error) {
	confirm := e.r.Access == config.AccessWrite && e.r.MayCommit
	x := &pool.Exchange{
		Settings:        e.r.Settings,
		KeepSettings:    e.r.Continues,
		Prepares:        e.r.Prepares,
		Messages:        e.r.Messages,
		ChangesSettings: e.r.ChangesSettings,
		Floor:           e.r.Floor,
		HasFloor:        e.r.HasFloor && in.cfg.UpstreamFloors,
		AskMark:         confirm,
		Hold:            confirm,
		HoldLimit:       heldAnswerLimit,
		WriteAnswer:            in.passer(e, confirm),
	}
	out, err := in.exchange(ctx, e, x)
	if errkind.Is(err, errkind.UpstreamLost) || errkind.Is(err, errkind.NoPrimary) {
		in.hurry() // it may be gone, or be primary no more
	}
	if errkind.Is(err, errkind.UpstreamBusy) {
		in.slots.refused()
	}
	if err == nil || out.Clean {
		in.heardAt.Store(int64(since(time.Now())))
	}
	in.end(ctx, e, out, err)
	e.ticket.release()
	if err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	if !confirm {
		return request.Result{TxStatus: out.TxStatus}, nil
	}
	return in.acknowledge(ctx, e, out)
}

// acknowledge confirms a write and passes its answer on.
func (in *instance) acknowledge(ctx context.Context, e *execution, out pool.Outcome) (request.Result, error) {
	res := request.Result{TxStatus: out.TxStatus}
	if out.UpstreamReadOnly && out.Tag == "" && !e.r.Continues {
		res.TxStatus = request.TxIdle
		return res, errkind.New(errkind.LeaseLost, "%s takes no writes any more", in.id).WithEffect(errkind.NotRun)
	}
	if !counts(out) {
		return res, e.sink.Answer(e.answer)
	}
	if out.OnlyRead {
		if err := in.mayAcknowledge(e.tx.term, errkind.Unknown); err != nil {
			return res, err
		}
		return res, e.sink.Answer(e.answer)
	}
	if out.HasMark && out.Mark.Term == e.tx.term {
		in.noteReached(out.Mark)
	}
	if err := in.confirm(ctx, e, out); err != nil {
		return res, err
	}
	res.Mark, res.HasMark = out.Mark, true
	return res, e.sink.Answer(e.answer)
}

// counts reports whether something was committed that the answer acknowledges.
func counts(out pool.Outcome) bool {
	return out.TxStatus == request.TxIdle && (!out.Failed || out.Tag != "")
}

// exchange runs x. After an error the connection is discarded, which cancels
// what still runs on it.
func (in *instance) exchange(ctx context.Context, e *execution, x *pool.Exchange) (pool.Outcome, error) {
	return e.tx.conn.Run(ctx, e.r.Deadline, x)
}

// passer returns what takes the answer: kept back for a write to confirm, else
// passed on, under the lease where the data must be current.
func (in *instance) passer(e *execution, hold bool) func([]byte) error {
	if hold {
		return func(p []byte) error {
			e.answer = append(e.answer, p...)
			return nil
		}
	}
	current := e.r.Access == config.AccessRead && e.r.Staleness == 0
	return func(p []byte) error {
		if current {
			term, _ := in.cfg.Authority.LogTerm(in.group, in.id)
			if err := in.mayAcknowledge(term, errkind.Unknown); err != nil {
				return err
			}
		}
		return e.sink.Answer(p)
	}
}

// end gives the connection back, keeps it for an open transaction, or closes
// it when anything about it is in doubt. Once ctx has ended the caller waits no
// more, and the end of its session may have come already: nothing is kept then.
func (in *instance) end(ctx context.Context, e *execution, out pool.Outcome, err error) {
	in.mu.Lock()
	tx := e.tx
	tx.inUse = false
	tx.doomed = tx.doomed || ctx.Err() != nil && out.TxStatus != request.TxIdle
	open := err == nil && !tx.doomed && out.TxStatus != request.TxIdle
	if open {
		in.held[e.r.Session] = tx
	} else {
		delete(in.held, e.r.Session)
	}
	in.mu.Unlock()
	if tx.writes && !open {
		in.gate.leave()
	}
	switch {
	case open:
	case err != nil && !out.Clean || tx.doomed:
		in.giveUp(tx.conn)
	default:
		in.pool.Put(tx.conn)
	}
}
