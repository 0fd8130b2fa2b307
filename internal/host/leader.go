package host

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthweir/amaranthweir/internal/bootclock"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/system/controlload"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// finalSendDelay is the delay at shutdown in which the last consensus messages
// are sent.
const finalSendDelay = 30 * time.Millisecond

// proposeTimeout limits one proposal of the leader's systems.
const proposeTimeout = 2 * time.Second

const (
	// questionsPerSecond is how many questions for the leader a control host
	// answers without advice to come back later. They take it a few percent of a
	// processor.
	questionsPerSecond = 250
	// maxRetryAfter bounds the time for which a host waits before it asks again.
	maxRetryAfter = time.Second
)

// leader is the control component of a control host: the replicated log and,
// while this host leads, the systems that decide on owners and primaries. One
// lock guards the systems. Slow operations run without the lock, and their
// results are passed to the systems as inputs.
type leader struct {
	host      *Host
	log       logrus.FieldLogger
	server    *control.Server
	transport *deferredTransport
	addresses map[table.HostID]string
	wake      chan struct{}
	propose   func(c control.Command) // proposeToLog, except in tests

	mu          sync.Mutex
	leading     bool
	grantor     *lease.Grantor
	failover    *failover.System
	ownership   *ownership.System
	appliedAt   time.Duration // when appliedView was passed to the systems
	appliedView *control.View // the control state last passed to the systems
	hosts       map[table.HostID]table.Host
	instances   map[table.InstanceID]table.Instance
	// leftInstances holds Instance.Born of each instance that has left, because
	// announcements from that start may still arrive.
	leftInstances map[table.InstanceID]uint64
	departures    map[table.InstanceID]table.Instance // of leftInstances, when they left
	claims        map[table.InstanceID]addressClaim   // of this leadership
	continuations map[table.InstanceID]continuation   // of this leadership
	// earlierStarts holds the entry that a later start of the instance replaced in this
	// leadership.
	earlierStarts map[table.InstanceID]table.Instance
	notes         []table.Instance // queued for proposeNotes
	// uncommitted holds the instances that the control state does not hold yet. Hosts
	// do not learn of them: a write that an owner acknowledges because one of them
	// holds it would depend on an instance that the next leader may not know.
	uncommitted           map[table.InstanceID]bool
	documentVersions      hostVersions
	waits                 map[table.GroupName]string
	tablesVersion         tablesVersion
	changeLog             tableLog
	stepLimiter           dutyCycle
	deltas                deltaCache
	published             publishedTables
	tablesIntervalPerHost time.Duration
	appointments          controlload.Appointments
	nudges                peer.ControlClient
	nudging               map[table.HostID]bool // hosts that are being nudged; true if once more
	ctx                   context.Context
}

// deferredTransport is a transport whose sender is set once the host runs. It
// drops messages before that.
type deferredTransport struct {
	mu     sync.Mutex
	sender *peer.Sender
}

// Send implements control.Transport.
func (t *deferredTransport) Send(to table.HostID, msg []byte) {
	t.mu.Lock()
	s := t.sender
	t.mu.Unlock()
	if s != nil {
		s.Send(to, msg)
	}
}

func newLeader(h *Host) (*leader, error) {
	l := &leader{
		host:                  h,
		log:                   h.log,
		transport:             &deferredTransport{},
		addresses:             map[table.HostID]string{},
		wake:                  make(chan struct{}, 1),
		grantor:               lease.NewGrantor(h.timing.Lease),
		ownership:             ownership.New(ownership.DefaultConfig()),
		appliedView:           control.NewView(),
		hosts:                 map[table.HostID]table.Host{},
		instances:             map[table.InstanceID]table.Instance{},
		leftInstances:         map[table.InstanceID]uint64{},
		documentVersions:      newHostVersions(),
		waits:                 map[table.GroupName]string{},
		nudges:                peer.ControlClient{Dial: h.dir.dial},
		tablesIntervalPerHost: tablesIntervalPerHost,
		nudging:               map[table.HostID]bool{},
		appointments:          controlload.Appointments{Rate: questionsPerSecond, Most: maxRetryAfter},
	}
	l.failover = failover.New(h.timing, l.grantor)
	l.propose = l.proposeToLog
	var voters []table.HostID
	open := h.settings.Control.Open
	for _, v := range h.settings.Control.Voters {
		voters = append(voters, v.Host)
		l.addresses[v.Host] = v.PeerAddress
	}
	var contacts func() []table.HostID
	if open {
		contacts = l.contacts
	}
	server, err := control.NewServer(control.ServerConfig{
		Contacts:      contacts,
		Host:          h.settings.Host,
		DataFolder:    h.settings.Control.DataFolder,
		DiskBytes:     h.settings.Control.DiskBytes,
		Voters:        voters,
		Transport:     l.transport,
		Log:           h.log,
		Open:          open,
		AllowFounding: h.settings.Control.AllowFounding,
		Tolerance:     h.settings.Control.Tolerance,
		Now:           bootclock.Now,
	})
	l.server = server
	return l, err
}

// peerAddress returns the peer address of a control host, or an empty string if
// it is not known. If hosts that the settings do not list may join, their names
// are their IP addresses.
func (l *leader) peerAddress(id table.HostID) string {
	if known, ok := l.addresses[id]; ok || !l.host.settings.Control.Open || id == "" {
		return known
	}
	_, port, err := net.SplitHostPort(l.host.settings.PeerAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(string(id), port)
}

// contacts returns the hosts that may be control hosts according to the present
// settings and tables. Hosts that may join are named by their IP addresses.
func (l *leader) contacts() []table.HostID {
	var hosts []table.HostID
	for _, address := range l.host.hostsToAsk() {
		if ip, _, err := net.SplitHostPort(address); err == nil {
			hosts = append(hosts, table.HostID(ip))
		}
	}
	return hosts
}

// isControlAddress reports whether an address is that of a member of the control
// hosts, as far as this host knows.
func (l *leader) isControlAddress(a net.Addr) bool {
	ip, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return false
	}
	for _, id := range l.server.Members().All() {
		if known, _, err := net.SplitHostPort(l.peerAddress(id.Host)); err == nil && known == ip {
			return true
		}
	}
	return false
}

// run takes part in consensus and runs the systems while this host leads.
func (l *leader) run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	// The last consensus messages transfer the leadership. They are sent after
	// ctx has ended.
	sending, stopSending := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSending()
	l.transport.mu.Lock()
	l.transport.sender = peer.NewSender(sending, l.peerAddress, l.host.dir.peerTiming, l.host.dir.dial)
	l.transport.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.server.Run(ctx) })
	group.Go(func() error { return l.host.followControl(ctx, l.server) })
	group.Go(func() error { return l.decide(ctx) })
	err := group.Wait()
	time.Sleep(finalSendDelay)
	return err
}

// decide runs a step at intervals, after each change of the control state and on
// request, until ctx ends.
func (l *leader) decide(ctx context.Context) error {
	tick := time.NewTicker(l.host.timing.FastHeartbeatInterval)
	defer tick.Stop()
	for {
		changed := l.server.Changed()
		l.mu.Lock()
		l.step(l.host.clock())
		pause := l.stepLimiter.idleUntil - l.host.clock()
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-changed:
		case <-l.wake:
		}
		time.Sleep(min(pause, l.host.timing.FastHeartbeatInterval)) // leaves time for heartbeats
	}
}

// requestStep requests an immediate step.
func (l *leader) requestStep() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// step updates the systems and executes their actions.
func (l *leader) step(now time.Duration) {
	if !l.refresh(now) {
		return
	}
	defer func() { l.stepLimiter.recordRun(now, l.host.clock()) }()
	for _, c := range l.grantor.Sweep(now) {
		l.handleLeaseChange(now, c)
	}
	for _, a := range l.failover.Step(now) {
		l.executeFailoverAction(now, a)
	}
	for _, a := range l.ownership.Step(now) {
		l.executeOwnershipAction(a)
	}
}

// refresh starts or ends the leadership of this host as needed and passes the
// control state to the systems. It reports whether this host leads at now.
func (l *leader) refresh(now time.Duration) bool {
	_, self, valid := l.server.Leader()
	if !self || !valid || !l.server.CaughtUp() {
		if l.leading && !self {
			l.stepDown()
		}
		return false
	}
	until := now + 1 // the lease is valid now; its end is not known
	if !l.leading {
		l.startLeading(now, until)
	}
	l.grantor.Extend(until)
	if view := l.server.View(); view != l.appliedView && now-l.appliedAt >= l.viewInterval() {
		l.updateSystems(now, view)
	}
	return true
}

const (
	// fewHosts is the number of hosts up to which each control state is passed on at
	// once.
	fewHosts = 32
	// viewIntervalPerHost is the least time, for each further host, between two
	// control states that are passed on. The heartbeats in between share the encoded
	// changes.
	viewIntervalPerHost = 100 * time.Microsecond
	// maxViewInterval bounds that time.
	maxViewInterval = 50 * time.Millisecond
)

// viewInterval returns the least time between two control states that the leader
// passes to its systems and to the hosts.
func (l *leader) viewInterval() time.Duration {
	return min(time.Duration(max(0, len(l.hosts)-fewHosts))*viewIntervalPerHost, maxViewInterval)
}

// restoreInstances adds the instances recorded in the control state to those in
// the tables of the previous leader and announces all of them to the failover
// system. A primary that is cut off does not announce itself to this leader but
// must be checked too. All instances count as seen now; probes soon show whether
// they are alive.
func (l *leader) restoreInstances(now time.Duration, view *control.View) {
	for id, in := range view.Instances {
		if _, known := l.instances[id]; !known {
			l.instances[id] = in
		}
	}
	l.removeInvalidInstances()
	for id, in := range l.instances {
		in.SeenAt = now
		l.instances[id] = in
		l.failover.HandleAnnouncement(in)
		if in.Left {
			l.failover.HandleInstanceLeft(now, id)
		}
	}
}

// stepDown ends the leadership of this host.
func (l *leader) stepDown() {
	l.leading = false
	l.grantor.StepDown()
	l.failover.StepDown()
	l.ownership.StepDown()
	l.host.metrics.ClearWaits()
	l.log.Info("leadership ended")
}

// startLeading starts a leadership. Its tables start from those that this host
// received as a follower, so that no host loses the entries of others.
func (l *leader) startLeading(now, until time.Duration) {
	l.leading = true
	leadership := l.server.Term()
	l.tablesVersion = tablesVersion{Leadership: leadership, Number: 1}
	l.changeLog = tableLog{truncatedThrough: l.tablesVersion.Number}
	l.documentVersions = newHostVersions()
	t := l.host.dir.currentTables()
	l.hosts = map[table.HostID]table.Host{}
	for _, h := range t.Hosts {
		l.hosts[h.ID] = h
	}
	l.instances = map[table.InstanceID]table.Instance{}
	l.claims, l.continuations, l.earlierStarts, l.notes = nil, nil, nil, nil
	l.uncommitted = map[table.InstanceID]bool{}
	for _, in := range t.Instances {
		l.instances[in.ID] = in
	}
	view := l.server.View()
	l.restoreInstances(now, view)
	owners := map[table.HostID]struct{}{}
	for _, o := range view.Owners {
		owners[o.Host] = struct{}{}
	}
	l.updateSystems(now, view)
	l.grantor.Lead(now, until, slices.Collect(maps.Keys(owners)))
	l.failover.Lead(now, leadership)
	l.ownership.Lead(now)
	for _, in := range l.instances {
		l.ownership.HandleAnnouncement(in)
	}
	l.log.WithField("revision", view.Revision).Info("leadership begins")
	go l.nudgeAll(owners, slices.Collect(maps.Keys(l.hosts)))
}

// updateSystems passes the changes of the control state to the systems.
func (l *leader) updateSystems(now time.Duration, view *control.View) {
	if view == l.appliedView {
		return
	}
	old := l.appliedView
	l.appliedView, l.appliedAt = view, now
	for _, g := range view.Groups {
		if old.Groups[g.Name] != g {
			l.failover.SetGroup(g)
		}
	}
	for id := range l.uncommitted {
		if _, committed := view.Instances[id]; committed {
			delete(l.uncommitted, id)
			l.recordInstanceChange(id)
		}
	}
	for id, o := range view.Owners {
		if old.Owners[id] == o {
			continue
		}
		l.ownership.SetOwner(now, o)
		l.failover.SetOwner(l.instances[id].Group, o)
	}
	if old.Deployment.Version != view.Deployment.Version {
		l.expectDeploymentGroups(view.Deployment)
	}
	for service, doc := range view.Documents {
		if old.Documents[service].Version != doc.Version {
			l.expectDocumentGroups(service, doc)
		}
	}
}

// expectDocumentGroups tells the failover system how many instances the groups
// of a document have.
func (l *leader) expectDocumentGroups(service string, in control.Document) {
	doc, err := config.ParseDocument(service, in.Body)
	if err != nil {
		l.log.WithError(err).WithField("service", service).Error("cannot parse the document in force")
		return
	}
	for _, g := range doc.Groups {
		l.failover.SetGroupSize(g.Name, g.Instances)
	}
}

// expectDeploymentGroups tells the failover system the minimum number of
// instances of each group of a deployment.
func (l *leader) expectDeploymentGroups(in control.Deployment) {
	for _, doc := range l.host.dir.deploymentDocuments(in) {
		for _, g := range doc.Groups {
			l.failover.SetGroupSize(g.Name, g.Instances)
		}
	}
}

// handleLeaseChange handles a host that became late or whose lease expired.
func (l *leader) handleLeaseChange(now time.Duration, c lease.Change) {
	l.log.WithFields(logrus.Fields{"host": c.Host, "expired": c.State == lease.Expired}).Warn("heartbeats are missing")
	l.ownership.HandleLeaseChange(now, c.Host, c.State)
	l.failover.HandleLeaseChange(c.Host)
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
	l.recordHostChange(c.Host)
}

// answerHeartbeat handles the heartbeat of a host unless the host has given up
// waiting for the answer meanwhile.
func (l *leader) answerHeartbeat(ctx context.Context, hb *heartbeat) (heartbeatReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return heartbeatReply{}, errkind.Wrap(err, errkind.Cancelled, "").WithEffect(errkind.NotRun)
	}
	return l.handleHeartbeat(hb), nil
}

// handleHeartbeat applies the heartbeat of a host and returns the reply. The caller
// holds l.mu.
func (l *leader) handleHeartbeat(hb *heartbeat) heartbeatReply {
	now := l.host.clock()
	if !l.refresh(now) {
		return l.referToLeader(now)
	}
	reply := heartbeatReply{Leads: true}
	heartbeatID := lease.HeartbeatID{Incarnation: hb.Incarnation, Sequence: hb.Sequence}
	stale := l.grantor.IsStale(hb.Host, heartbeatID)
	if hb.Release {
		l.grantor.Release(hb.Host, heartbeatID)
	} else if !l.ownership.LeaseBlocked(hb.Host) {
		if d, ok := l.grantor.Grant(now, hb.Host, heartbeatID); ok {
			reply.Lease = d
			l.recordHost(now, hb)
		}
	}
	for _, a := range hb.Announcements {
		l.handleAnnouncement(now, a)
	}
	l.proposeNotes()
	if !stale {
		l.logWitnesses(hb)
		l.failover.HandleReports(now, hb.Host, hb.Reports)
	}
	for _, r := range hb.Released {
		l.ownership.HandleRelease(hb.Host, r.Instance, r.Epoch)
	}
	if l.stepLimiter.due(now) {
		l.step(now)
	}
	l.fillReply(now, hb, &reply)
	return reply
}

// referToLeader returns the reply of a host that does not lead: the address of the
// leader, or when to ask again while it knows none.
func (l *leader) referToLeader(now time.Duration) heartbeatReply {
	id, _, _ := l.server.Leader()
	reply := heartbeatReply{Leader: l.peerAddress(id)}
	if reply.Leader == "" {
		reply.RetryAfter = l.appointments.Ask(now, rand.Float64())
	}
	return reply
}

// logWitnesses logs the witness reports of a heartbeat: probes of instances that
// the host does not own, which the leader asked for.
func (l *leader) logWitnesses(hb *heartbeat) {
	for _, r := range hb.Reports {
		if r.Witness {
			l.log.WithFields(logrus.Fields{
				"host": hb.Host, "instance": r.Instance, "group": r.Group, "reachable": r.Reachable,
			}).Info("witness")
		}
	}
}

// fillReply records the document versions of the host and adds to the reply the
// orders and the changes of control state and tables that the host lacks. It
// withdraws the lease if the control state cannot be encoded.
func (l *leader) fillReply(now time.Duration, hb *heartbeat, reply *heartbeatReply) {
	reply.Stamp = l.failover.Stamp(now)
	reply.Orders = l.failover.Orders(hb.Host)
	reply.HandOvers = l.ownership.HandOvers(hb.Host)
	l.documentVersions.update(hb.Host, hb.Documents)
	if hb.Revision < l.appliedView.Revision {
		delta, err := l.deltas.encode(l.appliedView, hb.Revision)
		if err != nil {
			l.log.WithError(err).Error("encoding the control state delta failed")
			reply.Lease = 0
			return
		}
		l.addControl(hb, reply, delta)
	}
	if hb.Tables != l.tablesVersion {
		l.addTables(hb, reply)
	}
}

// addControl adds a delta of the control state to the reply, compressed if it is
// large and the host can read that.
func (l *leader) addControl(hb *heartbeat, reply *heartbeatReply, delta []byte) {
	if !hb.UnpacksControl || len(delta) < minPackedDelta {
		reply.Control = delta
		return
	}
	packed, err := l.deltas.pack(hb.Revision, delta)
	if err != nil {
		l.log.WithError(err).Error("packing the control state delta failed")
		reply.Control = delta
		return
	}
	reply.PackedControl = packed
}

// recordHost updates the entry of a host from its heartbeat.
func (l *leader) recordHost(now time.Duration, hb *heartbeat) {
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
		l.ownership.HandleHeartbeat(now, next)
	}
	l.failover.AddHost(hb.Host)
	if old, known := l.hosts[hb.Host]; known && old == next {
		return
	}
	l.hosts[hb.Host] = next
	l.recordHostChange(hb.Host)
}
