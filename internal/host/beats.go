package host

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// beatTimeout bounds one heartbeat.
	beatTimeout = 400 * time.Millisecond
	// hurryTime is for how long heartbeats hurry after an order.
	hurryTime = time.Second
	// maxHeard bounds the announcements that wait for the next heartbeat.
	maxHeard = 10000
)

// beats sends the heartbeats of this host to the control leader and carries
// out what comes back.
type beats struct {
	host *Host
	log  logrus.FieldLogger
	conn peer.Caller
	now  chan struct{} // asks for a heartbeat at once

	mu       sync.Mutex
	sequence uint64
	stamp    failover.Stamp
	heard    map[table.InstanceID]dbedge.Announcement
	checks   []failover.Report // as a witness, for the next heartbeat
	sent     map[table.InstanceID]failover.Report
	told     toldVersions
	ordered  map[table.InstanceID]bool // a report is due although nothing changed
	hurryTil time.Time
	draining bool
	answered bool // a leader has answered since the start
	// answeredAt is when the latest answer came, on the clock of the host.
	answeredAt time.Duration
	leader     string // peer address
	next       int    // of the hosts to ask for the leader
}

func newBeats(h *Host) *beats {
	return &beats{
		host:    h,
		conn:    peer.Caller{Dial: h.dir.dial},
		log:     h.log,
		now:     make(chan struct{}, 1),
		heard:   map[table.InstanceID]dbedge.Announcement{},
		sent:    map[table.InstanceID]failover.Report{},
		ordered: map[table.InstanceID]bool{},
	}
}

// run sends heartbeats until ctx ends.
func (b *beats) run(ctx context.Context) error {
	defer b.conn.Close()
	for {
		b.beat(ctx, false)
		b.host.metrics.Lease(b.host.dir.leaseValid())
		timer := time.NewTimer(b.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-b.now:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (b *beats) interval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.hurryTil) || b.leader == "" {
		return b.host.timing.FastHeartbeatInterval
	}
	return b.host.timing.Lease.Heartbeat
}

// soon asks for a heartbeat at once.
func (b *beats) soon() {
	select {
	case b.now <- struct{}{}:
	default:
	}
}

// nudged sends the next heartbeat at once to the leader that asked for it. One
// that no longer leads says who does.
func (b *beats) nudged(leader string) {
	b.mu.Lock()
	if leader != "" {
		b.leader = leader
	}
	b.mu.Unlock()
	b.soon()
}

// announce takes an announcement to be passed on.
func (b *beats) announce(a dbedge.Announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.heard[a.Instance]; known || len(b.heard) < maxHeard {
		b.heard[a.Instance] = a
	}
}

// latestStamp returns the latest stamp of the control leader.
func (b *beats) latestStamp() failover.Stamp {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stamp
}

// beat sends one heartbeat and takes its answer. It reports whether the leader
// answered.
func (b *beats) beat(ctx context.Context, release bool) bool {
	ctx, stop := context.WithTimeout(ctx, beatTimeout)
	defer stop()
	address := b.target()
	if address == "" {
		return false
	}
	hb := b.compose(release)
	sentAt := b.host.clock()
	var reply heartbeatReply
	err := b.conn.Call(ctx, address, methodHeartbeat, hb, &reply)
	if err != nil || !reply.Leads {
		b.lost(hb, reply.Leader, err)
		return false
	}
	b.take(ctx, sentAt, hb, &reply)
	return true
}

// target returns the peer address that the next heartbeat goes to: the leader,
// or while none is known one host after the other.
func (b *beats) target() string {
	if l := b.host.leader; l != nil {
		if id, self, _ := l.server.Leader(); self {
			return b.host.settings.PeerAddress
		} else if id != "" {
			return l.address(id)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leader != "" {
		return b.leader
	}
	join := b.host.hostsToAsk()
	if len(join) == 0 {
		return ""
	}
	b.next++
	return join[b.next%len(join)]
}

// compose makes the next heartbeat.
func (b *beats) compose(release bool) *heartbeat {
	reports := b.host.owner.Reports(time.Now())
	view := b.host.dir.view.Load()
	t := b.host.dir.currentTables()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	hb := &heartbeat{
		Host:        b.host.settings.Host,
		Domain:      b.host.settings.Domain,
		PeerAddress: b.host.settings.PeerAddress,
		Incarnation: b.host.incarnation,
		Sequence:    b.sequence,
		Control:     b.host.leader != nil,
		Draining:    b.draining,
		NoInstances: b.host.settings.CallerAddress == "",
		Release:     release,
		Revision:    view.Revision,
		Documents:   b.told.next(view),
		Released:    b.host.owner.Released(),
		Tables:      t.Version,
		Reports:     b.checks,
	}
	b.checks = nil
	hurry := time.Now().Before(b.hurryTil)
	for _, r := range reports {
		if old, ok := b.sent[r.Instance]; ok && !hurry && !b.ordered[r.Instance] && !differs(old, r) {
			continue
		}
		b.sent[r.Instance] = r
		hb.Reports = append(hb.Reports, r)
	}
	clear(b.ordered)
	for _, a := range b.heard {
		hb.Announcements = append(hb.Announcements, a)
	}
	clear(b.heard)
	return hb
}

// differs reports whether the leader must hear of r after it heard old.
func differs(old, r failover.Report) bool {
	return old.Reachable != r.Reachable || old.Role != r.Role || old.Leaving != r.Leaving ||
		old.Mark.Term != r.Mark.Term || old.SeenTerm != r.SeenTerm || old.Quiesced != r.Quiesced || old.Held != r.Held
}

// lost notes a heartbeat that the leader did not take: its content goes with
// the next one.
func (b *beats) lost(hb *heartbeat, leader string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil && b.leader != "" {
		b.log.WithError(err).WithField("leader", b.leader).Info("heartbeat failed")
	}
	b.leader = leader
	b.told = toldVersions{}
	clear(b.sent)
	for _, a := range hb.Announcements {
		if _, newer := b.heard[a.Instance]; !newer {
			b.heard[a.Instance] = a
		}
	}
}

// take applies the answer to a heartbeat: the control state first, then the
// lease, so that the lease never covers an older state.
func (b *beats) take(ctx context.Context, sentAt time.Duration, hb *heartbeat, reply *heartbeatReply) {
	if len(reply.Control) > 0 {
		if err := b.applyControl(reply.Control); err != nil {
			b.log.WithError(err).Error("control state")
			return
		}
	}
	if reply.Tables != nil {
		b.host.dir.setTables(*reply.Tables)
	}
	if reply.Lease > 0 {
		b.host.dir.renewed(sentAt, reply.Lease)
	}
	b.mu.Lock()
	if reply.Stamp.Leadership != b.stamp.Leadership {
		clear(b.sent)
	}
	b.stamp = reply.Stamp
	b.told.answered(reply.Stamp.Leadership, hb.Documents)
	b.answered = true
	b.answeredAt = b.host.clock()
	if len(reply.Orders) > 0 {
		b.hurryTil = time.Now().Add(hurryTime)
	}
	b.mu.Unlock()
	b.host.reconcile(ctx)
	for _, o := range reply.Orders {
		b.obey(ctx, o)
	}
	for _, o := range reply.HandOvers {
		b.host.owner.HandOver(o.Instance, o.Epoch)
	}
}

func (b *beats) applyControl(delta []byte) error {
	v, err := b.host.dir.view.Load().ApplyDelta(delta)
	if err != nil {
		return err
	}
	b.host.dir.setView(v)
	return nil
}

// obey carries out one order of the leader.
func (b *beats) obey(ctx context.Context, o failover.Order) {
	if o.Kind == failover.OrderCheck {
		go b.check(context.WithoutCancel(ctx), o)
		return
	}
	b.mu.Lock()
	b.ordered[o.Instance] = true
	b.mu.Unlock()
	b.host.owner.Obey(o)
}

// check probes an instance that this host does not own.
func (b *beats) check(ctx context.Context, o failover.Order) {
	stamp := b.latestStamp()
	ctx, stop := context.WithTimeout(ctx, b.host.timing.ProbeTimeout)
	defer stop()
	st, err := b.host.edge.Probe(ctx, dbedge.Target{Group: o.Group, Instance: o.Instance, Address: o.Address})
	r := failover.Report{
		Group:     o.Group,
		Instance:  o.Instance,
		Witness:   true,
		Reachable: err == nil || errors.Is(err, dbedge.ErrBusy),
		Role:      st.Role,
		Mark:      st.Mark,
		TermStart: st.TermStart,
		After:     stamp,
	}
	b.mu.Lock()
	b.checks = append(b.checks, r)
	b.mu.Unlock()
	b.soon()
}

// drain makes the leader move the ownerships of this host away.
func (b *beats) drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.soon()
}

// followControl applies the state of a control host's own server as soon as
// it changes.
func (h *Host) followControl(ctx context.Context, s *control.Server) error {
	for {
		changed := s.Changed()
		if s.CaughtUp() {
			h.dir.setView(s.View())
			h.reconcile(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// takeHeartbeat answers the heartbeat of a host.
func (h *Host) takeHeartbeat(ctx context.Context, body []byte) (any, error) {
	var hb heartbeat
	if err := json.Unmarshal(body, &hb); err != nil {
		return nil, badMessage(err)
	}
	if err := peer.VerifyHost(ctx, hb.Host); err != nil {
		h.log.WithError(err).WithField("host", hb.Host).Warn("heartbeat refused")
		return nil, err
	}
	if h.leader == nil {
		return heartbeatReply{Leader: h.beats.leaderAddress()}, nil
	}
	return h.leader.heartbeat(&hb), nil
}

// unansweredFor returns for how long no leader has answered.
func (b *beats) unansweredFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.host.clock() - b.answeredAt
}

// caughtUp reports whether the control state of a leader was applied since the
// start of this host.
func (b *beats) caughtUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answered
}

func (b *beats) leaderAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader
}
