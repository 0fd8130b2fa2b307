package gateway

import (
	"context"
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
	// minBackoff and maxBackoff bound the pause before a request is tried
	// again.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// run follows one request until its answer or the end of its deadline.
type run struct {
	session  *Session
	work     *Work
	plan     *plan
	sink     countingSink
	started  time.Time
	deadline time.Time
	id       string // of the request, in the logs of all hosts
	attempts int
	decided  routing.Decision // of the latest attempt

	// Where the latest attempt went.
	instance table.InstanceID
	owner    table.HostID
	executor request.Executor
	replica  bool
}

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
	if err := r.findFloor(ctx, q); err != nil {
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
		if err == nil || !r.mayRetry(err) || r.session.gateway.isolated() {
			return res, err
		}
		if errkind.Of(err).Effect == errkind.NotRun {
			r.logRefusal(q, err, refused)
			refused = err
		}
		if !r.pause(ctx, changed) {
			return res, r.lastWord(refused, err)
		}
	}
}

// lastWord is the error at the end of the deadline. A read has no effect to be
// in doubt about: it is told why it was refused, if it was.
func (r *run) lastWord(refused, err error) error {
	if refused != nil && r.plan.class.Access == config.AccessRead {
		return refused
	}
	return err
}

// request is the unit as its owner will see it.
func (r *run) request() *request.Request {
	s, c := r.session, r.plan.class
	open := s.tx != nil
	return &request.Request{
		ID:              s.gateway.requestID(),
		Session:         s.id,
		Service:         s.service,
		Class:           c.Name,
		Caller:          s.caller,
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
		ChangesSettings: r.plan.sets,
		MayCommit:       !r.work.OnlyPrepares && (r.plan.commits || !open && !r.plan.begins),
	}
}

// digest identifies the content of a request with an id. A transaction has
// none: its statements ran one by one.
func (r *run) digest() string {
	if r.plan.requestID == "" || r.session.tx != nil {
		return ""
	}
	return digest(r.work)
}

// findFloor sets what a read must not be older than. A session that brought no
// token gets the primary's position at its first read of a group, for what its
// caller has seen elsewhere is not known.
func (r *run) findFloor(ctx context.Context, q *request.Request) error {
	s := r.session
	if s.gateway.cfg.UpstreamFloors {
		return r.sampleFloor(ctx, q)
	}
	if err := r.checkLost(q.Group); err != nil {
		return err
	}
	if err := s.token.CheckRoom(q.Group); err != nil {
		return err
	}
	if q.Access != config.AccessRead || q.Staleness == 0 {
		return nil
	}
	q.Floor, q.HasFloor = s.token.Floor(q.Group)
	if q.HasFloor || s.given {
		return nil
	}
	primary, err := s.gateway.PrimaryPosition(ctx, q.Group)
	if err != nil {
		return err
	}
	s.token.Raise(q.Group, primary.Mark)
	s.assumed[q.Group] = primary.Mark
	q.Floor, q.HasFloor = primary.Mark, true
	return nil
}

// checkLost tells the session, once, that writes it has seen were lost with an
// old term. A floor that was only assumed is asked for anew instead.
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
	assumed := s.assumed[group] == floor
	s.token.Forget(group)
	if assumed {
		return nil
	}
	return err
}

// attempt routes the request once and runs it where the decision says.
func (r *run) attempt(ctx context.Context, q *request.Request) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	g := r.session.gateway
	r.attempts++
	view := g.cfg.Directory.Groups().Lookup(q.Group)
	d := r.route(q, view)
	if r.attempts == 1 || d != r.decided {
		r.logDecision(q, view, d)
	}
	r.decided = d
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
	if err != nil && r.plan.begins && errkind.Of(err).Effect != errkind.NotRun {
		executor.EndSession(r.session.id) // it may have been opened all the same
	}
	r.noteOwner(err)
	r.noteRoom(q, err)
	r.learn(q, &res, err)
	return res, err
}

// hintInterval is how often the hints about an instance are renewed.
const hintInterval = 20 * time.Millisecond

// learn takes what the owner knew into the view of the group: that a replica
// was not fresh enough, or a hint when the last one is old.
func (r *run) learn(q *request.Request, res *request.Result, err error) {
	g := r.session.gateway
	bounced := errkind.Is(err, errkind.StalenessUnprovable)
	if r.outOfReach(err) {
		r.avoid(q)
		return
	}
	now := g.cfg.Clock()
	if !bounced && (!res.HasHint || !r.hintIsOld(q.Instance, now)) {
		return
	}
	hint := routing.Hint{
		At:        now,
		Age:       res.Hint.Age,
		AgeKnown:  res.Hint.AgeKnown,
		Mark:      res.Hint.Mark,
		QueueWait: res.Hint.QueueWait,
	}
	g.cfg.Directory.Groups().Update(q.Group, func(v *routing.GroupView) *routing.GroupView {
		switch {
		case v == nil:
			return nil
		case bounced:
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

// outOfReach reports whether an error says that a replica cannot be used now:
// its owner, or the instance, does not answer.
func (r *run) outOfReach(err error) bool {
	if err == nil || !r.replica {
		return false
	}
	switch errkind.Of(err).Kind {
	case errkind.UpstreamLost, errkind.NoOwner, errkind.OutcomeUnknown:
		return true
	}
	return false
}

// avoid keeps every read away from the replica of the latest attempt for a
// while.
func (r *run) avoid(q *request.Request) {
	g := r.session.gateway
	now := g.cfg.Clock()
	g.cfg.Directory.Groups().Update(q.Group, func(v *routing.GroupView) *routing.GroupView {
		if v == nil {
			return nil
		}
		return v.WithRejection(q.Instance, routing.Rejection{Hint: routing.Hint{At: now}, Staleness: anyStaleness})
	})
}

// anyStaleness is above the staleness of every class.
const anyStaleness = time.Duration(math.MaxInt64)

func (r *run) hintIsOld(id table.InstanceID, now time.Duration) bool {
	v := r.session.gateway.cfg.Directory.Groups().Lookup(r.plan.group)
	if v == nil {
		return false
	}
	c := v.Find(id)
	return c != nil && now-c.Hint.At > hintInterval
}

// mayRetry reports whether the request may be sent again: it has not run, or
// it is a read of which nothing was passed on yet and the retry budget allows
// it.
func (r *run) mayRetry(err error) bool {
	e := errkind.Of(err)
	if r.sink.bytes > 0 {
		return false
	}
	switch e.Kind {
	case errkind.NoPrimary, errkind.NoOwner, errkind.StalenessUnprovable, errkind.UpstreamLost, errkind.OutcomeUnknown, errkind.LeaseLost, errkind.UpstreamBusy:
	default:
		return false
	}
	if e.Effect == errkind.NotRun {
		// What was lost with an old term has left this host: work that must
		// not run twice is not sent again.
		return e.Kind != errkind.LeaseLost || r.plan.class.Repeatable
	}
	if r.work.OnlyPrepares {
		return true // nothing was to run
	}
	return r.plan.class.Access == config.AccessRead && r.plan.class.Repeatable && r.session.gateway.budget.withdraw()
}

// pause waits before the next attempt: a random part of a growing time, or
// until the tables changed. It reports whether time is left.
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
