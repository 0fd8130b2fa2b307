package host

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Backend serves the HTTP interface and the calls of a platform on a host. It
// implements api.Backend.
type Backend struct {
	host *Host
}

// Announce implements api.Backend.
func (b *Backend) Announce(_ context.Context, a dbedge.Announcement) (dbedge.AnnounceReply, error) {
	reply := dbedge.AnnounceReply{IntervalMillis: dbedge.AnnounceInterval.Milliseconds()}
	if err := b.checkAnnouncement(a); err != nil {
		b.RefuseAnnouncement(string(a.Instance), err)
		return dbedge.AnnounceReply{}, err
	}
	b.host.metrics.CountAnnouncement(nil)
	b.host.heartbeats.queueAnnouncement(a)
	return reply, nil
}

// RefuseAnnouncement logs and counts an announcement that was refused.
func (b *Backend) RefuseAnnouncement(id string, err error) {
	b.host.metrics.CountAnnouncement(err)
	if len(id) > dbedge.MaxNameBytes {
		id = id[:dbedge.MaxNameBytes]
	}
	b.host.log.WithError(err).WithField("instance", id).Warn("announcement refused")
}

// checkAnnouncement rejects an announcement that contradicts the control state.
// The announcement of an old primary is rejected but still forwarded, because
// the leader must fence that primary.
func (b *Backend) checkAnnouncement(a dbedge.Announcement) error {
	if b.host.adapter != nil {
		return b.checkPlatformAnnouncement(a)
	}
	if !b.host.dir.groupInForce(a.Group) {
		return errkind.New(errkind.BadRequest, "no document in force has the group %s", a.Group)
	}
	for _, in := range b.host.dir.currentTables().Instances {
		if in.ID == a.Instance && in.Group != a.Group {
			return errkind.New(errkind.BadRequest, "instance %s belongs to the group %s", a.Instance, in.Group)
		}
	}
	g, ok := b.host.dir.Agreed(a.Group)
	if ok && a.Role == table.RolePrimary.String() && a.Term < g.Term {
		b.host.heartbeats.queueAnnouncement(a)
		return errkind.New(errkind.BadRequest, "term %d of %s is over, %d is agreed", a.Term, a.Group, g.Term)
	}
	return nil
}

// checkPlatformAnnouncement rejects an announcement whose group is not in the
// deployment in force. The leader detects stale announcements by their numbers.
func (b *Backend) checkPlatformAnnouncement(a dbedge.Announcement) error {
	if a.Gone {
		return nil
	}
	deployment := b.host.dir.deployment.Load()
	if deployment == nil {
		return nil // no deployment is known yet; the leader waits for it too
	}
	if _, known := deployment.Connections(a.Group); !known {
		return errkind.New(errkind.BadRequest, "the deployment has no group %s", a.Group)
	}
	return nil
}

// groupInForce reports whether a document in force names the group.
func (d *directory) groupInForce(group table.GroupName) bool {
	for _, doc := range *d.documents.Load() {
		for _, g := range doc.Groups {
			if g.Name == group {
				return true
			}
		}
	}
	return false
}

// Apply implements api.Backend. Any host accepts a document and forwards it to
// the leader, which proposes it to the replicated log.
func (b *Backend) Apply(ctx context.Context, doc *config.Document, src []byte) (api.ApplyReply, error) {
	digest := config.DocumentDigest(src)
	before := b.host.dir.view.Load().Documents[doc.Service].Version
	in := applyRequest{Service: doc.Service, Version: doc.Version, Digest: digest, Body: src, Operator: api.OperatorOf(ctx)}
	var out applyReply
	if err := b.host.askLeader(ctx, methodApply, in, &out); err != nil {
		return api.ApplyReply{}, err
	}
	inForce := api.DocumentVersion{Version: out.Version, Digest: out.Digest}
	b.host.log.WithFields(logrus.Fields{
		"service": doc.Service, "version": doc.Version, "digest": digest, "accepted": out.Accepted,
		"operator": api.OperatorOf(ctx),
	}).Info("audit: apply")
	if !out.Accepted {
		return api.ApplyReply{}, api.NewConflict(doc.Service, inForce)
	}
	result := api.Accepted
	if before >= doc.Version {
		result = api.Unchanged
	}
	return api.ApplyReply{Service: doc.Service, DocumentVersion: inForce, Result: result}, nil
}

// askLeader sends a control call to the leader. It retries until ctx ends while
// no leader is known or the call fails with a repeatable error. A call whose
// reply is lost may be sent again, so the call must be idempotent.
func (h *Host) askLeader(ctx context.Context, method string, in, out any) error {
	return h.retryLeader(ctx, func(address string) error {
		return h.calls.Call(ctx, address, method, in, out)
	})
}

// readSearchTimeout is how long a read looks for a leader. A read that finds none is
// answered within one second, together with the last attempt, which ends after
// heartbeatSilence: operators wait no longer.
const readSearchTimeout = 500 * time.Millisecond

// readFromLeader is askLeader for a call that changes nothing. It leaves a host that is
// silent, which may lead no more, but not one whose large reply is arriving.
func (h *Host) readFromLeader(ctx context.Context, method string, out any) error {
	search, stop := context.WithTimeout(ctx, readSearchTimeout)
	defer stop()
	return h.retryLeader(search, func(address string) error {
		return h.reads.Call(ctx, address, method, struct{}{}, out)
	})
}

// retryLeader calls the leader as askLeader says. It begins no attempt after ctx has
// ended.
func (h *Host) retryLeader(ctx context.Context, call func(address string) error) error {
	var err error
	for {
		err = errkind.New(errkind.NotLeader, "no leader is known")
		if address := h.heartbeats.targetAddress(); address != "" {
			err = call(address)
		}
		if err == nil || !errkind.Of(err).Kind.Answer().Repeat {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaderRetryDelay):
		}
	}
}

// leaderRetryDelay is the delay between attempts of a call to the leader.
const leaderRetryDelay = 50 * time.Millisecond

// controlLeader returns the leader component of a control host, whether or not
// the host leads now. On other hosts it returns an error.
func (h *Host) controlLeader() (*leader, error) {
	if h.control == nil {
		return nil, errkind.New(errkind.NotLeader, "not a control host")
	}
	return h.control, nil
}

// handleApply handles methodApply calls.
func (h *Host) handleApply(ctx context.Context, body []byte) (any, error) {
	var in applyRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badMessage(err)
	}
	l, err := h.controlLeader()
	if err != nil {
		return nil, err
	}
	return l.proposeDocument(ctx, &in)
}

// handleNudge handles methodNudge calls.
func (h *Host) handleNudge(_ context.Context, body []byte) (any, error) {
	var in nudge
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badMessage(err)
	}
	h.heartbeats.requestHeartbeatTo(in.Leader)
	return struct{}{}, nil
}

// Status implements api.Backend.
func (b *Backend) Status(ctx context.Context) (api.Status, error) {
	h := b.host
	view := h.dir.view.Load()
	st := api.Status{
		Host:            h.settings.Host,
		Domain:          h.settings.Domain,
		Ready:           b.Ready(ctx) == nil,
		ControlRevision: view.Revision,
	}
	var report leaderReport
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	if err := h.readFromLeader(ctx, methodStatus, &report); err != nil {
		h.log.WithError(err).Info("status request to the leader failed")
	}
	st.Leader = report.Leader
	st.Workspaces = report.Workspaces
	t := h.dir.currentTables()
	for _, in := range t.Hosts {
		st.Hosts = append(st.Hosts, api.HostStatus{
			Host: in.ID, Domain: in.Domain, PeerAddress: in.PeerAddress,
			State: api.StateName(in.State), Control: in.Control, Draining: in.Draining,
		})
	}
	slices.SortFunc(st.Hosts, func(a, b api.HostStatus) int { return cmp.Compare(a.Host, b.Host) })
	st.Documents = documentStatus(view.Documents, report.Versions)
	for _, g := range view.Groups {
		st.Groups = append(st.Groups, api.GroupStatus{
			Group: g.Name, Term: g.Term, Phase: api.PhaseName(g.Phase), Primary: g.Primary,
			Candidate: g.Candidate, WaitsFor: report.Waits[g.Name],
		})
	}
	slices.SortFunc(st.Groups, func(a, b api.GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	for _, in := range t.Instances {
		o := view.Owners[in.ID]
		if m, known := report.Marks[in.ID]; known {
			in.Mark = m
		}
		st.Instances = append(st.Instances, api.InstanceStatus{
			Instance: in.ID, Group: in.Group, Domain: in.Domain, Address: in.Address, Role: in.Role.String(),
			Term: in.Mark.Term, Position: in.Mark.Position, Slots: in.Slots, Connections: in.Connections,
			Leaving: in.Leaving, Owner: o.Host, Epoch: o.Epoch, AgeMillis: report.Ages[in.ID].Milliseconds(),
		})
	}
	slices.SortFunc(st.Instances, func(a, b api.InstanceStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	return st, nil
}

// SwitchOver implements api.Backend.
func (b *Backend) SwitchOver(ctx context.Context, s api.SwitchOver) error {
	b.host.log.WithFields(logrus.Fields{"group": s.Group, "to": s.To, "operator": api.OperatorOf(ctx)}).Info("audit: switch-over")
	return b.host.askLeader(ctx, methodSwitchOver, s, &struct{}{})
}

// handleSwitchOver handles methodSwitchOver calls.
func (h *Host) handleSwitchOver(_ context.Context, body []byte) (any, error) {
	var in api.SwitchOver
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badMessage(err)
	}
	l, err := h.controlLeader()
	if err != nil {
		return nil, err
	}
	return struct{}{}, l.switchOver(in.Group, in.To)
}

// Explain implements api.Backend.
func (b *Backend) Explain(_ context.Context, q api.ExplainQuery) (api.Explanation, error) {
	x, err := b.host.gateway.Explain(q.Service, q.Class, q.Key)
	if err != nil {
		return api.Explanation{}, err
	}
	return explanation(q, x), nil
}

// explanation converts a routing explanation to its form in the HTTP interface.
func explanation(q api.ExplainQuery, x *gateway.Explanation) api.Explanation {
	access := "read"
	if x.Class.Access == config.AccessWrite {
		access = "write"
	}
	out := api.Explanation{
		Service: q.Service,
		Class:   x.Class.Name,
		Key:     q.Key,
		Rank:    x.Class.Rank.String(),
		Access:  access,
		Group:   x.Group,
		Chosen:  x.Decision.Instance,
		Owner:   x.Decision.Owner,
		Reason:  x.Decision.Reason.String(),
	}
	if x.Decision.Refused() {
		out.Refusal = x.Decision.Refuse.String()
	}
	for _, c := range x.Candidates {
		candidate := api.Candidate{
			Instance: c.Instance, Owner: c.Owner, Role: c.Role.String(),
			Term: c.Hint.Mark.Term, Position: c.Hint.Mark.Position,
			Usable: c.Owner != "" && !c.Leaving, Reason: "", Avoided: c.IsAvoided(),
		}
		if c.Hint.At > 0 {
			wait := c.Hint.QueueWait[x.Class.Rank].Seconds() * 1e3
			age := (x.At - c.Hint.At).Milliseconds()
			candidate.QueueWaitMillis, candidate.HintAgeMillis = &wait, &age
		}
		if c.Hint.AgeKnown {
			age := c.Hint.Age.Milliseconds()
			candidate.ProvenAgeMillis = &age
		}
		out.Candidates = append(out.Candidates, candidate)
	}
	return out
}

// Ready implements api.Backend. It returns nil while the load balancer may send
// callers to this host. Without an adapter, that is from the time the host has
// caught up with the control state until it shuts down. With an adapter,
// checkReadiness decides until the shutdown.
func (b *Backend) Ready(context.Context) error {
	select {
	case <-b.host.stopping:
		return errkind.New(errkind.ShuttingDown, "")
	default:
	}
	if b.host.adapter != nil {
		return b.host.checkReadiness()
	}
	if !b.host.heartbeats.caughtUp() {
		return errkind.New(errkind.NotLeader, "the control state was not heard of yet")
	}
	return nil
}
