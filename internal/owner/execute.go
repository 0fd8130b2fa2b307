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

// heldAnswerLimit bounds the answer of a write, in bytes, while the answer is
// held until the write is confirmed.
const heldAnswerLimit = 16 << 20

// execute runs one request: admission, connection, exchange, confirmation and
// answer. It adds a hint to the result.
func (in *instance) execute(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	res, err := in.admitAndRun(ctx, r, s)
	res.Hint, res.HasHint = in.hint(time.Now()), true
	return res, err
}

// admitAndRun waits for freshness and for a slot, then runs the request within
// its deadline.
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
	if err := in.checkRunnable(r); err != nil { // the lease may have expired during the wait for a slot
		return idle, err
	}
	in.activeRequests.Add(1)
	defer in.activeRequests.Add(-1)
	tx, err := in.begin(ctx, r)
	if err != nil {
		return idle, err
	}
	e := &execution{r: r, sink: s, tx: tx, ticket: t, reachedBefore: in.reached()}
	if r.RequestID != "" && r.MayCommit && r.Access == config.AccessWrite {
		return in.runClaimed(ctx, e)
	}
	return in.run(ctx, e)
}

// checkRunnable returns nil if the instance may run the request. It is called
// before anything is sent to the upstream.
func (in *instance) checkRunnable(r *request.Request) error {
	if !in.serving.Load() {
		return errkind.New(errkind.NoOwner, "%s is being taken over", in.id)
	}
	if r.Continues {
		return nil // the transaction was checked when it began
	}
	if r.Workspace != "" && in.cfg.HasKeys != nil && !in.cfg.HasKeys(r.Workspace) {
		return errkind.New(errkind.Unauthenticated, "workspace %s holds no key", r.Workspace)
	}
	if in.cfg.UpstreamFloors && in.isUnreachable() {
		return errkind.New(errkind.UpstreamLost, "%s does not answer", in.id).WithEffect(errkind.NotRun)
	}
	if in.handingOver.Load() {
		return errkind.New(errkind.NoOwner, "%s is being handed over", in.id)
	}
	if r.Access == config.AccessRead && r.Staleness > 0 {
		return in.checkRead(r)
	}
	term, primary := in.cfg.Authority.LogTerm(in.group, in.id)
	if !primary {
		return errkind.New(errkind.NoPrimary, "%s is not the primary of %s", in.id, in.group)
	}
	return in.mayAcknowledge(term, errkind.NotRun)
}

// isUnreachable reports whether the latest probe of the instance failed.
func (in *instance) isUnreachable() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.health.probed && !in.health.reachable
}

// checkRead returns nil if the instance may serve a read that states a
// staleness. Where instances check floors, any instance may, whether it is the
// primary or not: the floor was sampled at a primary under its lease within the
// staleness. Otherwise the primary may serve the read under its lease, and a
// replica if the age of its data is proven and it holds the floor.
func (in *instance) checkRead(r *request.Request) error {
	if in.cfg.UpstreamFloors && r.HasFloor {
		return nil
	}
	if term, primary := in.cfg.Authority.LogTerm(in.group, in.id); primary {
		return in.mayAcknowledge(term, errkind.NotRun)
	}
	if in.cfg.UpstreamFloors {
		return nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.age.lastReadAt = time.Now()
	return in.age.check(in.age.lastReadAt, r)
}

// awaitFresh is checkRunnable for a request that has not started: a read waits
// up to r.Wait for the replica to become fresh enough.
func (in *instance) awaitFresh(ctx context.Context, r *request.Request) error {
	until := time.Now().Add(r.Wait)
	if in.needsFloor(r) {
		return in.awaitFloor(ctx, r, until)
	}
	for {
		err := in.checkRunnable(r)
		if !errkind.Is(err, errkind.StalenessUnprovable) || time.Now().After(until) {
			return err
		}
		in.requestProbe()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(in.cfg.Timing.ReplicaPollInterval):
		}
	}
}

// hint returns the hint for later routing decisions.
func (in *instance) hint(now time.Time) request.Hint {
	waits := in.slots.queueWaits()
	in.mu.Lock()
	defer in.mu.Unlock()
	h := request.Hint{Mark: in.health.status.Mark, QueueWait: waits}
	if in.cfg.UpstreamFloors {
		h.AgeKnown = true // the instance itself checks the floor of each read
		h.Mark = in.floors.Held()
		return h
	}
	h.Age, h.AgeKnown = in.age.tracker.Age(sinceStart(now))
	return h
}

// mayAcknowledge returns nil while this host holds a valid lease in the term.
// Otherwise the error kind depends on the effect: NoPrimary for NotRun, else
// LeaseLost.
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

// begin returns the session's open transaction, or a new one on a connection
// from the pool.
func (in *instance) begin(ctx context.Context, r *request.Request) (*transaction, error) {
	in.mu.Lock()
	tx := in.transactions[r.Session]
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
		if err := in.gate.enter(ctx, func() error { return in.checkRunnable(r) }); err != nil {
			return nil, err
		}
	}
	conn, err := in.pool.GetFor(ctx, r.Workspace)
	if err != nil {
		if writes {
			in.gate.leave()
		}
		return nil, err
	}
	return &transaction{conn: conn, writes: writes, inUse: true, term: term}, nil
}

// execution is one request running on its connection.
type execution struct {
	r      *request.Request
	sink   request.Sink
	tx     *transaction
	ticket *ticket
	// reachedBefore is a position that the primary had reached before the
	// request was sent. The writes of the request lie after it.
	reachedBefore table.Mark
	answer        []byte // held until the write is confirmed
}

// run does the exchange, returns the connection to the pool or keeps it for the
// open transaction, and confirms a write before it sends the held answer.
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
		QueryMark:       confirm,
		BufferAnswer:    confirm,
		BufferLimit:     heldAnswerLimit,
		WriteAnswer:     in.answerHandler(e, confirm),
	}
	sentAt := time.Now()
	out, err := in.exchange(ctx, e, x)
	if err == nil && showsSpeed(e.r) {
		in.slots.observe(e.ticket, time.Since(sentAt))
	}
	if errkind.Is(err, errkind.UpstreamLost) || errkind.Is(err, errkind.NoPrimary) {
		in.requestProbe() // the instance may be unreachable or no longer primary
	}
	if errkind.Is(err, errkind.UpstreamBusy) {
		in.slots.pauseOvercommit()
	}
	if err == nil || out.ConnReusable {
		in.lastAnswerAt.Store(int64(sinceStart(time.Now())))
	}
	in.recordFloor(e, out, err)
	in.finish(ctx, e, out, err)
	e.ticket.release()
	if err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	if !confirm {
		return request.Result{TxStatus: out.TxStatus}, nil
	}
	return in.acknowledge(ctx, e, out)
}

// showsSpeed reports whether the time of r depends on the instance alone. A write
// may wait for a replica, and a statement of an open transaction for a lock.
func showsSpeed(r *request.Request) bool {
	return r.Access == config.AccessRead && !r.Continues
}

// acknowledge confirms a write and sends its answer.
func (in *instance) acknowledge(ctx context.Context, e *execution, out pool.Outcome) (request.Result, error) {
	res := request.Result{TxStatus: out.TxStatus}
	if out.UpstreamReadOnly && out.Tag == "" && !e.r.Continues {
		res.TxStatus = request.TxIdle
		return res, errkind.New(errkind.LeaseLost, "%s takes no writes any more", in.id).WithEffect(errkind.NotRun)
	}
	if !hasCommitted(out) {
		return res, e.sink.Answer(e.answer)
	}
	if out.NoWrites {
		if err := in.mayAcknowledge(e.tx.term, errkind.Unknown); err != nil {
			return res, err
		}
		return res, e.sink.Answer(e.answer)
	}
	if out.HasMark && out.Mark.Term == e.tx.term {
		in.recordReached(out.Mark)
	}
	if err := in.confirm(ctx, e, out); err != nil {
		return res, err
	}
	res.Mark, res.HasMark = out.Mark, true
	return res, e.sink.Answer(e.answer)
}

// hasCommitted reports whether the request committed something that its answer
// acknowledges.
func hasCommitted(out pool.Outcome) bool {
	return out.TxStatus == request.TxIdle && (!out.Failed || out.Tag != "")
}

// exchange runs x on the connection of the request. After an error the
// connection is discarded, which cancels any statement that is still running on
// it.
func (in *instance) exchange(ctx context.Context, e *execution, x *pool.Exchange) (pool.Outcome, error) {
	return e.tx.conn.Run(ctx, e.r.Deadline, x)
}

// answerHandler returns the function that receives the answer. With hold, the
// answer is kept until the write is confirmed. Otherwise it is sent to the
// sink, and for reads of current data only under a valid lease.
func (in *instance) answerHandler(e *execution, hold bool) func([]byte) error {
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

// finish returns the connection to the pool, keeps it for an open transaction,
// or resets it if its state is in doubt. If ctx is done, the caller no longer
// waits and EndSession may have been called before the transaction was
// registered, so no transaction is kept then.
func (in *instance) finish(ctx context.Context, e *execution, out pool.Outcome, err error) {
	in.mu.Lock()
	tx := e.tx
	tx.inUse = false
	tx.sessionEnded = tx.sessionEnded || ctx.Err() != nil && out.TxStatus != request.TxIdle
	open := err == nil && !tx.sessionEnded && out.TxStatus != request.TxIdle
	if open {
		in.transactions[e.r.Session] = tx
	} else {
		delete(in.transactions, e.r.Session)
	}
	in.mu.Unlock()
	if tx.writes && !open {
		in.gate.leave()
	}
	switch {
	case open:
	case err != nil && !out.ConnReusable || tx.sessionEnded:
		in.resetOrDiscard(tx.conn)
	default:
		in.pool.Put(tx.conn)
	}
}
