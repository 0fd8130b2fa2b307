package host

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/metrics"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/system/quota"
)

// methodQuota is the control call by which an entry host reports what it holds of
// the quotas of workspaces and gets more.
const methodQuota = "quota"

const (
	// quotaCallTimeout limits one quota call.
	quotaCallTimeout = 400 * time.Millisecond
	// quotaRetryDelay is the pause after a quota call that failed.
	quotaRetryDelay = 50 * time.Millisecond
	// maxQuotaWait is how long a request waits for the leader. An election
	// usually takes less time.
	maxQuotaWait = time.Second
	// maxIsolatedQuotaWait is maxQuotaWait on a host that no leader answers, whose
	// callers should try another host.
	maxIsolatedQuotaWait = 250 * time.Millisecond
)

// quotaHolder keeps the operations of workspaces that were granted to this host.
// It implements gateway.Quota.
type quotaHolder struct {
	host *Host
	conn peer.ControlClient
	wake chan struct{}

	mu         sync.Mutex
	holder     *quota.Holder
	deployment *config.Deployment // whose limits the holder has
	answered   chan struct{}      // closed at the next answer of a leader
}

func newQuotaHolder(h *Host) *quotaHolder {
	return &quotaHolder{
		host:     h,
		conn:     peer.ControlClient{Dial: h.dir.dial},
		wake:     make(chan struct{}, 1),
		holder:   quota.NewHolder(h.settings.Host, h.incarnation),
		answered: make(chan struct{}),
	}
}

// Take implements gateway.Quota.
func (q *quotaHolder) Take(ctx context.Context, workspace string) (quota.Permit, error) {
	q.mu.Lock()
	now := q.host.clock()
	q.adoptLimits(now)
	permit, verdict := q.holder.Take(now, workspace)
	if verdict != quota.Wait {
		err := q.refusal(now, workspace, verdict)
		q.mu.Unlock()
		return permit, err
	}
	q.holder.AddWaiting(workspace, 1)
	answered := q.answered
	q.mu.Unlock()
	return q.await(ctx, workspace, answered)
}

// await waits until an answer of the leader decides about a request.
func (q *quotaHolder) await(ctx context.Context, workspace string, answered chan struct{}) (quota.Permit, error) {
	limit := maxQuotaWait
	if q.host.isIsolated() {
		limit = maxIsolatedQuotaWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		q.requestCall()
		var failure error
		select {
		case <-answered:
		case <-timer.C:
			failure = errkind.New(errkind.NotLeader, "no leader has granted an operation to workspace %s", workspace).WithEffect(errkind.NotRun)
		case <-ctx.Done():
			failure = errkind.Wrap(ctx.Err(), errkind.NotLeader, "no leader has granted an operation to workspace %s", workspace).WithEffect(errkind.NotRun)
		}
		q.mu.Lock()
		now := q.host.clock()
		permit, verdict := q.holder.TakeAgain(now, workspace)
		if verdict == quota.Wait && failure == nil {
			answered = q.answered
			q.mu.Unlock()
			continue
		}
		q.holder.AddWaiting(workspace, -1)
		err := q.refusal(now, workspace, verdict)
		q.mu.Unlock()
		if verdict == quota.Wait {
			err = failure
		}
		return permit, err
	}
}

// refusal returns the error for a refused request, with a time to come back that
// differs between requests, or nil. The caller must hold the lock.
func (q *quotaHolder) refusal(now time.Duration, workspace string, verdict quota.Verdict) error {
	if verdict != quota.Refused {
		return nil
	}
	after := q.holder.RetryAfter(now, workspace)
	after += rand.N(after + time.Millisecond)
	return errkind.New(errkind.QuotaExceeded, "workspace %s, try again in %d ms", workspace, after.Milliseconds())
}

// Return implements gateway.Quota.
func (q *quotaHolder) Return(p quota.Permit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Return(q.host.clock(), p)
}

// Finish implements gateway.Quota.
func (q *quotaHolder) Finish(p quota.Permit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Finish(q.host.clock(), p)
}

// use returns the operations taken and refused at this host by workspace.
func (q *quotaHolder) use() []metrics.QuotaUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []metrics.QuotaUse
	for _, t := range q.holder.Totals() {
		out = append(out, metrics.QuotaUse{Workspace: t.Workspace, Taken: t.Taken, Refused: t.Refused})
	}
	return out
}

// adoptLimits passes the limits of the deployment in force to the holder. The
// caller must hold the lock.
func (q *quotaHolder) adoptLimits(now time.Duration) {
	if d := q.host.dir.deployment.Load(); d != q.deployment {
		q.deployment = d
		q.holder.SetLimits(now, quota.LimitsOf(d))
	}
}

// requestCall makes the host consider at once whether to call the leader.
func (q *quotaHolder) requestCall() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run calls the leader whenever the holder asks for it, until ctx ends.
func (q *quotaHolder) run(ctx context.Context) error {
	defer q.conn.Close()
	for {
		now := q.host.clock()
		next := q.nextCall(now)
		if next <= now {
			if !q.call(ctx) && !sleep(ctx, quotaRetryDelay) {
				return nil
			}
			continue
		}
		timer := time.NewTimer(next - now)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sleep waits for d. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (q *quotaHolder) nextCall(now time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.adoptLimits(now)
	return q.holder.NextCall(now)
}

// call reports to the leader and applies the answer. It reports whether a leader
// answered. The answer to a call that took too long is never applied.
func (q *quotaHolder) call(ctx context.Context) bool {
	address := q.host.heartbeats.targetAddress()
	if address == "" {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, quotaCallTimeout)
	defer stop()
	q.mu.Lock()
	sentAt := q.host.clock()
	report := q.holder.Compose(sentAt)
	q.mu.Unlock()
	var answer quota.Answer
	if err := q.conn.Call(ctx, address, methodQuota, report, &answer); err != nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Apply(sentAt, q.host.clock(), report, &answer)
	close(q.answered)
	q.answered = make(chan struct{})
	return true
}

// quotaGranter grants the operations of workspaces while this control host leads.
type quotaGranter struct {
	host *Host

	mu         sync.Mutex
	granter    *quota.Granter
	deployment *config.Deployment // whose limits the granter has
}

func newQuotaGranter(h *Host) *quotaGranter {
	return &quotaGranter{host: h, granter: quota.NewGranter(&h.settings.Quota)}
}

// handle handles methodQuota calls.
func (g *quotaGranter) handle(ctx context.Context, body []byte) (any, error) {
	var report quota.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, badMessage(err)
	}
	if err := peer.VerifyHost(ctx, report.Host); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.host.clock()
	if !g.lead(now) {
		return nil, errkind.New(errkind.NotLeader, "")
	}
	answer := g.granter.Handle(now, &report)
	for _, c := range g.granter.TakeChanges() {
		g.logChange(c)
	}
	return answer, nil
}

// lead reports whether this host leads at now, with a granter of that leadership
// and the limits in force. The caller must hold the lock.
func (g *quotaGranter) lead(now time.Duration) bool {
	server := g.host.control.server
	term := server.Term()
	if _, self, valid := server.Leader(); !self || !valid || !server.CaughtUp() || server.Term() != term {
		return false
	}
	if g.granter.Leadership() != term {
		g.granter.Lead(now, term)
		g.deployment = nil
	}
	if d := g.host.dir.deployment.Load(); d != nil && d != g.deployment {
		g.deployment = d
		g.granter.SetLimits(now, d.Version, quota.LimitsOf(d))
	}
	return true
}

// statuses returns the status of each workspace with a limit, sorted by name. It is
// empty if this host does not lead.
func (g *quotaGranter) statuses() []api.WorkspaceStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.host.clock()
	if !g.lead(now) {
		return nil
	}
	var out []api.WorkspaceStatus
	for _, s := range g.granter.Statuses(now) {
		out = append(out, api.WorkspaceStatus{
			Workspace: s.Workspace, RatePerSecond: s.Limit.RatePerSecond, Burst: s.Limit.Burst,
			UsedInWindow: s.Used, Available: s.Available, AtHosts: s.AtHosts, Limited: s.Limited,
		})
	}
	slices.SortFunc(out, func(a, b api.WorkspaceStatus) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// logChange logs that a workspace reached its limit or is under it again.
func (g *quotaGranter) logChange(c quota.Change) {
	entry := g.host.log.WithFields(logrus.Fields{
		"workspace": c.Workspace, "rate_per_second": c.Limit.RatePerSecond, "burst": c.Limit.Burst,
		"version": c.Version, "used_in_window": c.Used,
	})
	if c.Limited {
		entry.Warn("workspace is limited")
		return
	}
	entry.Info("workspace is no longer limited")
}
