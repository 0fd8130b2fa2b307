package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// minBackoff and maxBackoff bound the delay before a request is retried.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// run executes one request until it is answered or its deadline passes.
type run struct {
	session      *Session
	work         *Work
	plan         *plan
	sink         countingSink
	started      time.Time
	deadline     time.Time
	id           string // names the request in the logs of all hosts
	attempts     int
	lastDecision routing.Decision
	refusal      error // the latest refusal that the deadline did not cause
	mayHaveRun   bool  // an instance may have run the request

	// The target of the latest attempt.
	instance table.InstanceID
	owner    table.HostID
	executor request.Executor
	replica  bool
}

// execute runs the request until it is answered, fails for good or reaches its
// deadline. A request in an open transaction is sent once, to the instance of
// the transaction.
func (r *run) execute(ctx context.Context) (request.Result, error) {
	r.deadline = r.started.Add(r.plan.class.Deadline)
	ctx, stop := context.WithDeadline(ctx, r.deadline)
	defer stop()
	q := r.request()
	r.id = q.ID
	if tx := r.session.tx; tx != nil {
		r.attempts = 1
		r.instance, r.owner, r.executor, r.replica = tx.instance, tx.owner, tx.executor, tx.replica
		q.Instance = tx.instance
		res, err := tx.executor.Execute(ctx, q, &r.sink)
		if err != nil && r.maySettle(q, err) {
			return r.settle(ctx, q, err)
		}
		return res, err
	}
	return r.executeWithinQuota(ctx, q)
}

// executeUntilDone executes a request that belongs to no open transaction until it
// is answered, fails for good or reaches its deadline.
func (r *run) executeUntilDone(ctx context.Context, q *request.Request) (request.Result, error) {
	if err := r.setFloor(ctx, q); err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	r.session.gateway.budget.deposit()
	var refused error
	for {
		changed := r.session.gateway.cfg.Directory.Changed()
		res, err := r.attempt(ctx, q)
		if err != nil && r.maySettle(q, err) {
			return r.settle(ctx, q, err)
		}
		if err == nil || !r.mayRetry(err) || r.shouldLeaveToOthers(q) {
			return res, r.finalError(ctx, refused, err)
		}
		if errkind.Of(err).Effect == errkind.NotRun {
			r.logRefusal(q, err, refused)
			refused = err
			if !r.isDeadlinePassed(err) {
				r.refusal = err
			}
		}
		if !r.pause(ctx, changed) {
			return res, r.deadlineError(refused, err)
		}
	}
}

// maxIsolatedAttempts bounds the attempts of a read on an isolated host, so that
// the caller still has time for another host.
const maxIsolatedAttempts = 4

// shouldLeaveToOthers reports whether the request is given up after a failed
// attempt because this host is isolated and another host may be able to serve it.
// A read that any instance may serve is first tried on the instances that still
// answer.
func (r *run) shouldLeaveToOthers(q *request.Request) bool {
	if !r.session.gateway.isolated() {
		return false
	}
	return !isBoundedRead(q) || r.lastDecision.Refused() || r.attempts >= maxIsolatedAttempts
}

// deadlineError returns the error of a request whose deadline passed. A read
// has no effect, so its outcome is never in doubt: if an attempt was refused,
// the error is the reason of that refusal.
func (r *run) deadlineError(refused, err error) error {
	if refused != nil && r.plan.class.Access == config.AccessRead {
		return refused
	}
	return err
}

// finalError returns the error of a request that is not tried again after err,
// which may be nil.
func (r *run) finalError(ctx context.Context, refused, err error) error {
	if err == nil || ctx.Err() == nil || r.sink.bytes > 0 {
		return err
	}
	return r.deadlineError(refused, err)
}

// failureCause returns the error that explains in the log and in the metrics
// why the request failed with err. If err only says that the deadline passed
// before the request ran, that is the last refusal.
func (r *run) failureCause(err error) *errkind.Error {
	e := errkind.Of(err)
	if r.refusal == nil || e.Effect != errkind.NotRun || !r.isDeadlinePassed(err) {
		return e
	}
	return errkind.Of(r.refusal)
}

// isDeadlinePassed reports whether err only says that the deadline passed.
func (r *run) isDeadlinePassed(err error) bool {
	if time.Now().Before(r.deadline) {
		return false
	}
	return errkind.Is(err, errkind.DeadlineUnreachable) || errors.Is(err, context.DeadlineExceeded)
}

// request returns the request that is sent to the owner.
func (r *run) request() *request.Request {
	s, c := r.session, r.plan.class
	open := s.tx != nil
	return &request.Request{
		ID:              s.gateway.requestID(),
		Session:         s.id,
		Service:         s.service,
		Class:           c.Name,
		Caller:          s.caller,
		Workspace:       s.workspace,
		Rank:            c.Rank,
		Access:          c.Access,
		Group:           r.plan.group,
		Continues:       open,
		Deadline:        r.deadline,
		Staleness:       c.Staleness,
		RequestID:       r.plan.requestID,
		AckReplicas:     c.AckReplicas,
		Settings:        s.settings,
		Digest:          r.digest(),
		Prepares:        r.work.Prepares,
		Messages:        r.work.Messages,
		ChangesSettings: r.plan.changesSettings,
		Reroutable:      r.isReroutable(),
		MayCommit:       !r.work.OnlyPrepares && (r.plan.commits || !open && !r.plan.opensTransaction),
	}
}

// isReroutable reports whether the request is a read outside a transaction that any
// instance with its floor may serve, and that may run again.
func (r *run) isReroutable() bool {
	c := r.plan.class
	return c.Access == config.AccessRead && c.Staleness > 0 && c.Repeatable &&
		r.session.tx == nil && !r.plan.opensTransaction
}

// digest returns the digest of a request with an id. It is empty for a request
// in an open transaction, whose statements ran one by one.
func (r *run) digest() string {
	if r.plan.requestID == "" || r.session.tx != nil {
		return ""
	}
	return digest(r.work)
}

// setFloor sets the floor of a read. What the caller has seen through other
// sessions is unknown unless the caller presented a token. Without a token, the
// floor at the first read of a group is therefore the current position of the
// primary.
func (r *run) setFloor(ctx context.Context, q *request.Request) error {
	s := r.session
	if s.gateway.cfg.UpstreamFloors {
		return r.sampleFloor(ctx, q)
	}
	if err := r.checkLost(q.Group); err != nil {
		return err
	}
	if err := s.token.CheckCapacity(q.Group); err != nil {
		return err
	}
	if q.Access != config.AccessRead || q.Staleness == 0 {
		return nil
	}
	q.Floor, q.HasFloor = s.token.Floor(q.Group)
	if q.HasFloor || s.tokenGiven {
		return nil
	}
	primary, err := s.gateway.PrimaryPosition(ctx, q.Group)
	if err != nil {
		return err
	}
	s.token.Raise(q.Group, primary.Mark)
	s.sampledFloors[q.Group] = primary.Mark
	q.Floor, q.HasFloor = primary.Mark, true
	return nil
}

// checkLost returns an error, once, when writes that the session has seen were
// lost with an old term. If the floor of the session was only sampled and never
// seen, it is dropped without an error and will be sampled again.
func (r *run) checkLost(group table.GroupName) error {
	s := r.session
	agreed, ok := s.gateway.cfg.Directory.Agreed(group)
	if !ok {
		return nil
	}
	err := s.token.CheckLost(group, &agreed)
	if err == nil {
		return nil
	}
	floor, _ := s.token.Floor(group)
	sampled := s.sampledFloors[group] == floor
	s.token.DropFloor(group)
	if sampled {
		return nil
	}
	return err
}

// attempt routes the request once and runs it on the chosen instance.
func (r *run) attempt(ctx context.Context, q *request.Request) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	g := r.session.gateway
	if !r.session.IsAdmitted() { // the key was withdrawn while the request waited
		return idle, errkind.New(errkind.Unauthenticated, "%s", r.session.describeKey())
	}
	r.attempts++
	view := g.cfg.Directory.Groups().Lookup(q.Group)
	d := r.route(q, view)
	if r.attempts == 1 || d != r.lastDecision {
		r.logDecision(q, view, d)
	}
	r.lastDecision = d
	if d.Trial {
		g.cfg.Directory.Groups().Update(q.Group, func(v *routing.GroupView) *routing.GroupView {
			if v == nil {
				return nil
			}
			return v.WithTrial(d.Instance, g.cfg.Clock())
		})
	}
	if d.Refused() {
		return idle, errkind.New(d.Refuse, "group %s: %s", q.Group, d.Reason).WithEffect(errkind.NotRun)
	}
	executor, ok := g.cfg.Directory.Executor(d.Owner)
	if !ok {
		return idle, errkind.New(errkind.NoOwner, "host %s is not known", d.Owner)
	}
	q.Instance, q.Wait = d.Instance, d.Wait
	r.instance, r.owner, r.executor = d.Instance, d.Owner, executor
	r.replica = view.Primary != d.Instance
	res, err := executor.Execute(ctx, q, &r.sink)
	r.mayHaveRun = r.mayHaveRun || mayHaveRun(err)
	if err != nil && r.plan.opensTransaction && errkind.Of(err).Effect != errkind.NotRun {
		executor.EndSession(r.session.id) // the transaction may have been opened despite the error
	}
	r.recordOwnerResult(q, err)
	r.recordOverload(q, err)
	r.updateView(q, &res, err)
	return res, err
}

// hintInterval is the minimum age of an instance's hint before it is replaced.
const hintInterval = 20 * time.Millisecond

// updateView updates the routing view of the group with what the owner
// reported: a rejection when the replica was not fresh enough or cannot be
// reached, or a new hint when the current one is stale.
func (r *run) updateView(q *request.Request, res *request.Result, err error) {
	g := r.session.gateway
	rejected := errkind.Is(err, errkind.StalenessUnprovable)
	if r.isReplicaUnreachable(err) {
		r.avoidReplica(q)
		return
	}
	now := g.cfg.Clock()
	if !rejected && (!res.HasHint || !r.isHintStale(q.Instance, now)) {
		return
	}
	hint := routing.Hint{
		At:        now,
		Age:       res.Hint.Age,
		AgeKnown:  res.Hint.AgeKnown,
		Mark:      res.Hint.Mark,
		QueueWait: res.Hint.QueueWait,
	}
	if err == nil && q.HasFloor && r.replica && hint.Mark.Less(q.Floor) {
		hint.Mark = q.Floor // the replica served the read, so it holds the floor
	}
	g.cfg.Directory.Groups().Update(q.Group, func(v *routing.GroupView) *routing.GroupView {
		switch {
		case v == nil:
			return nil
		case rejected:
			return v.WithRejection(q.Instance, routing.Rejection{
				Hint: hint, Staleness: q.Staleness, Floor: q.Floor, HasFloor: q.HasFloor,
			})
		case err == nil && q.Access == config.AccessRead:
			return v.WithServed(q.Instance, hint)
		default:
			return v.WithHint(q.Instance, hint)
		}
	})
}

// isReplicaUnreachable reports whether err means that the replica of the latest
// attempt cannot be used now, because its owner or the instance itself does not
// answer.
func (r *run) isReplicaUnreachable(err error) bool {
	if err == nil || !r.replica {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.UpstreamLost, errkind.NoOwner, errkind.OutcomeUnknown:
		return true
	}
	return false
}

// avoidReplica routes all reads, whatever their staleness, away from the replica
// of the latest attempt for a limited time that grows with each failure in a
// row.
func (r *run) avoidReplica(q *request.Request) {
	g := r.session.gateway
	now := g.cfg.Clock()
	g.cfg.Directory.Groups().Update(q.Group, func(v *routing.GroupView) *routing.GroupView {
		if v == nil {
			return nil
		}
		return v.WithRejection(q.Instance, routing.Rejection{
			Hint: routing.Hint{At: now}, Staleness: unboundedStaleness, Unreachable: true,
		})
	})
}

// unboundedStaleness is greater than the staleness of any class.
const unboundedStaleness = time.Duration(math.MaxInt64)

// isHintStale reports whether the hint of an instance is older than
// hintInterval, or may end the avoidance of the instance.
func (r *run) isHintStale(id table.InstanceID, now time.Duration) bool {
	v := r.session.gateway.cfg.Directory.Groups().Lookup(r.plan.group)
	if v == nil {
		return false
	}
	c := v.Find(id)
	return c != nil && (c.IsAvoided() || now-c.Hint.At > hintInterval)
}

// mayRetry reports whether the request may be sent again. A request may be
// retried if it has not run, or if it is a repeatable read of which no part of
// the answer has been sent and the retry budget allows the retry.
func (r *run) mayRetry(err error) bool {
	e := errkind.Of(err)
	if r.sink.bytes > 0 {
		return false
	}
	switch e.Kind {
	case errkind.Unauthenticated: // of an owner that has not heard of the workspace yet
		return e.Effect == errkind.NotRun && r.session.IsAdmitted()
	case errkind.NoPrimary, errkind.NoOwner, errkind.StalenessUnprovable, errkind.UpstreamLost, errkind.OutcomeUnknown, errkind.LeaseLost, errkind.UpstreamBusy:
	default:
		return false
	}
	if e.Effect == errkind.NotRun {
		// A request that was lost with an old term had already been sent to an
		// instance, where it may have run before its effect was lost. Work that
		// must not run twice is not sent again.
		return e.Kind != errkind.LeaseLost || r.plan.class.Repeatable
	}
	if r.work.OnlyPrepares {
		return true // preparing a statement has no effect
	}
	return r.plan.class.Access == config.AccessRead && r.plan.class.Repeatable && r.session.gateway.budget.withdraw()
}

// pause waits before the next attempt: for minBackoff plus a random time whose
// bound grows exponentially, or until the tables change. It reports whether the
// deadline has not passed yet.
func (r *run) pause(ctx context.Context, changed <-chan struct{}) bool {
	limit := min(maxBackoff, minBackoff<<min(r.attempts, 10))
	timer := time.NewTimer(minBackoff + rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
