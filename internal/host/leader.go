package host

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthweir/amaranthweir/internal/bootclock"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// lastMessages is how long the last messages of the agreement have to go out.
const lastMessages = 30 * time.Millisecond

// proposeTimeout bounds one command of the leader's systems.
const proposeTimeout = 2 * time.Second

// leader is the control part of a control host: the agreement, and while this
// host leads, the systems that decide on owners and primaries. One lock guards
// the systems; what takes time runs outside of it and comes back as an input.
type leader struct {
	host      *Host
	log       logrus.FieldLogger
	server    *control.Server
	sender    *lateTransport
	addresses map[table.HostID]string
	wake      chan struct{}
	propose   func(c control.Command) // proposeToLog, except in tests

	mu        sync.Mutex
	leading   bool
	grantor   *lease.Grantor
	failover  *failover.System
	ownership *ownership.System
	fed       *control.View // the control state that the systems have
	hosts     map[table.HostID]table.Host
	instances map[table.InstanceID]table.Instance
	// gone is the start of each instance that went for good: what it said before
	// may still arrive.
	gone     map[table.InstanceID]uint64
	versions hostVersions
	waits    map[table.GroupName]string
	version  tablesVersion
	recent   tableLog
	stepPace pace
	deltas   deltas
	whole    *tables // handed out last
	ctx      context.Context
}

// lateTransport is a transport that is set once the host runs.
type lateTransport struct {
	mu     sync.Mutex
	sender *peer.Sender
}

// Send implements control.Transport.
func (t *lateTransport) Send(to table.HostID, msg []byte) {
	t.mu.Lock()
	s := t.sender
	t.mu.Unlock()
	if s != nil {
		s.Send(to, msg)
	}
}

func newLeader(h *Host) (*leader, error) {
	l := &leader{
		host:      h,
		log:       h.log,
		sender:    &lateTransport{},
		addresses: map[table.HostID]string{},
		wake:      make(chan struct{}, 1),
		grantor:   lease.NewGrantor(h.timing.Lease),
		ownership: ownership.New(ownership.DefaultConfig()),
		fed:       control.NewView(),
		hosts:     map[table.HostID]table.Host{},
		instances: map[table.InstanceID]table.Instance{},
		gone:      map[table.InstanceID]uint64{},
		versions:  newHostVersions(),
		waits:     map[table.GroupName]string{},
	}
	l.failover = failover.New(h.timing, l.grantor)
	l.propose = l.proposeToLog
	var voters []table.HostID
	open := h.settings.Control.Open
	for _, v := range h.settings.Control.Voters {
		voters = append(voters, v.Host)
		l.addresses[v.Host] = v.PeerAddress
	}
	server, err := control.NewServer(control.ServerConfig{
		Host:       h.settings.Host,
		DataFolder: h.settings.Control.DataFolder,
		Voters:     voters,
		Transport:  l.sender,
		Log:        h.log,
		Open:       open,
		AllowFounding:      h.settings.Control.Found,
		Now:        bootclock.Now,
	})
	l.server = server
	return l, err
}

// address returns the peer address of a control host. Where hosts that the
// settings do not list may join, their names are their IP addresses.
func (l *leader) address(id table.HostID) string {
	if known, ok := l.addresses[id]; ok || !l.host.settings.Control.Open || id == "" {
		return known
	}
	_, port, err := net.SplitHostPort(l.host.settings.PeerAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(string(id), port)
}

// run takes part in the agreement and decides while this host leads.
func (l *leader) run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	// The last messages of the agreement hand the leadership over: they go out
	// after ctx has ended.
	sending, stopSending := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSending()
	l.sender.mu.Lock()
	l.sender.sender = peer.NewSender(sending, l.address, l.host.dir.peers, l.host.dir.dial)
	l.sender.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.server.Run(ctx) })
	group.Go(func() error { return l.host.followControl(ctx, l.server) })
	group.Go(func() error { return l.decide(ctx) })
	err := group.Wait()
	time.Sleep(lastMessages)
	return err
}

// decide runs the systems at intervals and after each change.
func (l *leader) decide(ctx context.Context) error {
	tick := time.NewTicker(l.host.timing.HurryInterval)
	defer tick.Stop()
	for {
		changed := l.server.Changed()
		l.mu.Lock()
		l.step(l.host.clock())
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-changed:
		case <-l.wake:
		}
	}
}

// soon asks for a step at once.
func (l *leader) soon() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// step brings the systems up to date and carries out what they decide.
func (l *leader) step(now time.Duration) {
	if !l.refresh(now) {
		return
	}
	defer func() { l.stepPace.ran(now, l.host.clock()) }()
	for _, c := range l.grantor.Sweep(now) {
		l.leaseChanged(now, c)
	}
	for _, a := range l.failover.Step(now) {
		l.actFailover(now, a)
	}
	for _, a := range l.ownership.Step(now) {
		l.actOwnership(a)
	}
}

// refresh notes whether this host leads at now and feeds the systems with the
// agreed state. It reports whether it leads.
func (l *leader) refresh(now time.Duration) bool {
	_, self, valid := l.server.Leader()
	if !self || !valid || !l.server.CaughtUp() {
		if l.leading && !self {
			l.stepDown()
		}
		return false
	}
	until := now + 1 // the lease was valid just now; nothing later is claimed
	if !l.leading {
		l.lead(now, until)
	}
	l.grantor.Extend(until)
	l.feed(now, l.server.View())
	return true
}

// recall adds the instances that were recorded to those of the tables of an
// earlier leader, and tells the systems of all of them: a primary that is cut
// off does not announce itself to this leader, and must be looked at all the
// same. They count as seen now: probes show soon whether they live.
func (l *leader) recall(now time.Duration, view *control.View) {
	for id, in := range view.Instances {
		if _, known := l.instances[id]; !known {
			l.instances[id] = in
		}
	}
	for id, in := range l.instances {
		in.SeenAt = now
		l.instances[id] = in
		l.failover.Announced(in)
		if in.Left {
			l.failover.Left(now, id)
		}
	}
}

func (l *leader) stepDown() {
	l.leading = false
	l.grantor.StepDown()
	l.failover.StepDown()
	l.ownership.StepDown()
	l.log.Info("leadership ended")
}

// lead begins a time in office. The tables start from what this host knew as a
// follower, so that no host loses sight of the others.
func (l *leader) lead(now, until time.Duration) {
	l.leading = true
	number := l.server.Term()
	l.version = tablesVersion{Leadership: number, Number: 1}
	l.recent = tableLog{forgotten: l.version.Number}
	l.versions = newHostVersions()
	t := l.host.dir.currentTables()
	l.hosts = map[table.HostID]table.Host{}
	for _, h := range t.Hosts {
		l.hosts[h.ID] = h
	}
	l.instances = map[table.InstanceID]table.Instance{}
	for _, in := range t.Instances {
		l.instances[in.ID] = in
	}
	view := l.server.View()
	l.recall(now, view)
	owners := map[table.HostID]struct{}{}
	for _, o := range view.Owners {
		owners[o.Host] = struct{}{}
	}
	l.feed(now, view)
	l.grantor.Lead(now, until, slices.Collect(maps.Keys(owners)))
	l.failover.Lead(now, number)
	l.ownership.Lead(now)
	for _, in := range l.instances {
		l.ownership.Announced(in)
	}
	l.log.WithField("revision", view.Revision).Info("leadership begins")
	for id := range l.hosts {
		go l.nudge(id)
	}
}

// feed gives the systems what changed in the agreed state.
func (l *leader) feed(now time.Duration, view *control.View) {
	if view == l.fed {
		return
	}
	old := l.fed
	l.fed = view
	for _, g := range view.Groups {
		if old.Groups[g.Name] != g {
			l.failover.SetGroup(g)
		}
	}
	for id, o := range view.Owners {
		if old.Owners[id] == o {
			continue
		}
		l.ownership.Assigned(now, o)
		l.failover.SetOwner(l.instances[id].Group, o)
	}
	if old.Deployment.Version != view.Deployment.Version {
		l.expectDeployment(view.Deployment)
	}
	for service, doc := range view.Documents {
		if old.Documents[service].Version != doc.Version {
			l.expect(service, doc)
		}
	}
}

// expect tells how large the groups of a service are when whole.
func (l *leader) expect(service string, in control.Document) {
	doc, err := config.ParseDocument(service, in.Body)
	if err != nil {
		l.log.WithError(err).WithField("service", service).Error("a document in force cannot be read")
		return
	}
	for _, g := range doc.Groups {
		l.failover.Expect(g.Name, g.Instances)
	}
}

// expectDeployment tells how large the groups of a deployment are at least.
func (l *leader) expectDeployment(in control.Deployment) {
	for _, doc := range l.host.dir.decodeDeployment(in) {
		for _, g := range doc.Groups {
			l.failover.Expect(g.Name, g.Instances)
		}
	}
}

// leaseChanged takes a host that became late or lost its lease.
func (l *leader) leaseChanged(now time.Duration, c lease.Change) {
	l.log.WithFields(logrus.Fields{"host": c.Host, "expired": c.State == lease.Expired}).Warn("heartbeats are missing")
	l.ownership.LeaseChanged(now, c.Host, c.State)
	l.failover.LeaseChanged(c.Host)
	h, ok := l.hosts[c.Host]
	if !ok {
		return
	}
	h.State = table.HostSuspect
	if c.State == lease.Expired {
		h.State = table.HostDead
		l.failover.RemoveHost(c.Host)
	}
	l.hosts[c.Host] = h
	l.hostChanged(c.Host)
}

// heartbeat takes the heartbeat of a host and answers it.
func (l *leader) heartbeat(hb *heartbeat) heartbeatReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.clock()
	if !l.refresh(now) {
		id, _, _ := l.server.Leader()
		return heartbeatReply{Leader: l.address(id)}
	}
	reply := heartbeatReply{Leads: true}
	beat := lease.Beat{Incarnation: hb.Incarnation, Sequence: hb.Sequence}
	overtaken := l.grantor.Overtaken(hb.Host, beat)
	if hb.Release {
		l.grantor.Release(hb.Host, beat)
	} else if !l.ownership.Barred(hb.Host) {
		if d, ok := l.grantor.Grant(now, hb.Host, beat); ok {
			reply.Lease = d
			l.hostSeen(now, hb)
		}
	}
	for _, a := range hb.Announcements {
		l.announced(now, a)
	}
	if !overtaken {
		l.logWitnesses(hb)
		l.failover.Reported(now, hb.Host, hb.Reports)
	}
	for _, r := range hb.Released {
		l.ownership.Released(hb.Host, r.Instance, r.Epoch)
	}
	if l.stepPace.due(now) {
		l.step(now)
	}
	l.answer(now, hb, &reply)
	return reply
}

// logWitnesses logs what hosts found that were asked to look at a primary.
func (l *leader) logWitnesses(hb *heartbeat) {
	for _, r := range hb.Reports {
		if r.Witness {
			l.log.WithFields(logrus.Fields{
				"host": hb.Host, "instance": r.Instance, "group": r.Group, "reachable": r.Reachable,
			}).Info("witness")
		}
	}
}

// answer fills in what the host does not have yet.
func (l *leader) answer(now time.Duration, hb *heartbeat, reply *heartbeatReply) {
	reply.Stamp = l.failover.Stamp(now)
	reply.Orders = l.failover.Orders(hb.Host)
	reply.HandOvers = l.ownership.HandOvers(hb.Host)
	l.versions.told(hb.Host, hb.Documents)
	if hb.Revision < l.fed.Revision {
		delta, err := l.deltas.encode(l.fed, hb.Revision)
		if err != nil {
			l.log.WithError(err).Error("encoding the control state")
			reply.Lease = 0
			return
		}
		reply.Control = delta
	}
	if hb.Tables != l.version {
		reply.Tables = l.tables(hb.Tables)
	}
}

func (l *leader) hostSeen(now time.Duration, hb *heartbeat) {
	next := table.Host{
		ID:          hb.Host,
		Domain:      hb.Domain,
		PeerAddress: hb.PeerAddress,
		Incarnation: hb.Incarnation,
		State:       table.HostAlive,
		Control:     hb.Control,
		Draining:    hb.Draining,
	}
	if !hb.NoInstances {
		l.ownership.HostSeen(now, next)
	}
	l.failover.AddHost(hb.Host)
	if old, known := l.hosts[hb.Host]; known && old == next {
		return
	}
	l.hosts[hb.Host] = next
	l.hostChanged(hb.Host)
}
