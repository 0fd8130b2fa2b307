package host

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/access"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// directory holds what a host knows of the deployment: the control state, the
// tables that the leader distributes, and the lease of this host. Reads of
// documents and groups on the statement path take no lock.
type directory struct {
	self       table.HostID
	clock      func() time.Duration
	log        logrus.FieldLogger
	peerTiming peer.Timing
	// decode decodes a deployment. It is nil without an adapter, when each
	// service has its own document.
	decode func([]byte) (*config.Deployment, error)
	dial   peer.DialFunc

	groups        routing.Table
	view          atomic.Pointer[control.View]
	documents     atomic.Pointer[map[string]*config.Document]
	deployment    atomic.Pointer[config.Deployment]
	accessRules   atomic.Pointer[access.Rules]
	localExecutor request.Executor
	// onDeployment is called, without blocking, when a deployment comes into
	// force. It may be nil.
	onDeployment func()

	mu        sync.Mutex // guards the fields below and all updates of the fields above
	holder    lease.Holder
	tables    tables
	remotes   map[table.HostID]*remote
	leavingAt map[table.InstanceID]time.Duration
	changed   chan struct{}
}

// remote is the link to another host.
type remote struct {
	address  string
	executor *peer.Remote
	// unlistedAt is when the host was first missing from the tables, or zero.
	unlistedAt time.Duration
}

// leavingSince returns when this host first learned that an instance is leaving,
// or zero if the instance is not leaving.
func (d *directory) leavingSince(in *table.Instance) time.Duration {
	if !in.Leaving {
		delete(d.leavingAt, in.ID)
		return 0
	}
	at, known := d.leavingAt[in.ID]
	if !known {
		at = d.clock()
		d.leavingAt[in.ID] = at
	}
	return at
}

// unlistedLinkTTL is how long the link to a host that is missing from the tables
// is kept. The tables of a new leader may lack hosts that are alive.
const unlistedLinkTTL = time.Minute

func newDirectory(self table.HostID, clock func() time.Duration, log logrus.FieldLogger) *directory {
	d := &directory{
		self:       self,
		clock:      clock,
		log:        log,
		peerTiming: peer.DefaultTiming(),
		remotes:    map[table.HostID]*remote{},
		leavingAt:  map[table.InstanceID]time.Duration{},
		changed:    make(chan struct{}),
	}
	d.view.Store(control.NewView())
	d.documents.Store(&map[string]*config.Document{})
	return d
}

// Groups implements gateway.Directory.
func (d *directory) Groups() *routing.Table { return &d.groups }

// Agreed implements gateway.Directory.
func (d *directory) Agreed(group table.GroupName) (table.Group, bool) {
	g, ok := d.view.Load().Groups[group]
	return g, ok
}

// Executor implements gateway.Directory.
func (d *directory) Executor(host table.HostID) (request.Executor, bool) {
	if host == d.self {
		return d.localExecutor, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.remotes[host]
	if !ok {
		return nil, false
	}
	return r.executor, true
}

// Responsive implements gateway.Directory.
func (d *directory) Responsive(host table.HostID) bool {
	if host == d.self {
		return true
	}
	d.mu.Lock()
	r, ok := d.remotes[host]
	d.mu.Unlock()
	return ok && r.executor.Responsive()
}

// Changed implements gateway.Directory.
func (d *directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Term implements owner.Authority.
func (d *directory) Term(group table.GroupName, instance table.InstanceID) (table.Term, bool) {
	g, ok := d.view.Load().Groups[group]
	if !ok {
		return 0, false
	}
	return g.Term, g.Phase == table.PhaseStable && g.Primary == instance
}

// LogTerm implements owner.Authority.
func (d *directory) LogTerm(group table.GroupName, instance table.InstanceID) (table.Term, bool) {
	g := d.view.Load().Groups[group]
	return g.EffectiveLogTerm(), g.Phase == table.PhaseStable && g.Primary == instance
}

// MayAcknowledge implements owner.Authority. It returns nil if the lease of this
// host is valid, this host owns the instance, and the instance is the primary of
// term. The lock prevents a renewal between reading the state and reading the
// lease: otherwise a host that was suspended in between could accept an old term
// under a new lease.
func (d *directory) MayAcknowledge(group table.GroupName, instance table.InstanceID, term table.Term) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	agreed, primary := d.LogTerm(group, instance)
	if !primary || agreed != term {
		return errkind.New(errkind.NoPrimary, "term %d of %s is over or not yet served, %d is agreed", term, group, agreed)
	}
	if o := d.view.Load().Owners[instance]; o.Host != d.self {
		return errkind.New(errkind.NoOwner, "%s is owned by %s", instance, o.Host)
	}
	if !d.holder.Valid(d.clock()) {
		return errkind.New(errkind.NoPrimary, "the lease of this host ran out")
	}
	return nil
}

// WriteOutcome implements owner.Authority.
func (d *directory) WriteOutcome(group table.GroupName, m table.Mark) owner.WriteOutcome {
	g, ok := d.view.Load().Groups[group]
	if !ok || g.Phase != table.PhaseStable || g.EffectiveLogTerm() <= m.Term {
		return owner.OutcomePending
	}
	switch g.History.Survives(m) {
	case table.SurvivedYes:
		return owner.OutcomeKept
	case table.SurvivedNo:
		return owner.OutcomeLost
	default:
		return owner.OutcomePending
	}
}

func (d *directory) leaseValid() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Valid(d.clock())
}

// renewLease renews the lease of this host, counted from sentAt, when the
// heartbeat was sent. The caller has applied the control state in the same reply.
func (d *directory) renewLease(sentAt, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Renew(sentAt, duration)
}

// releaseLease releases the lease of this host. No write is acknowledged
// afterwards.
func (d *directory) releaseLease() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Release(d.clock())
}

// setView installs a later control state. A state that is not later is ignored.
func (d *directory) setView(v *control.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	if v.Revision <= old.Revision {
		return
	}
	if d.decode != nil {
		d.adoptDeployment(old, v)
	} else {
		d.documents.Store(parseDocuments(d.log, *d.documents.Load(), old, v))
	}
	d.view.Store(v)
	d.rebuildGroupViews(func(in *table.Instance) bool {
		return old.Groups[in.Group] != v.Groups[in.Group] || old.Owners[in.ID] != v.Owners[in.ID]
	})
}

// setTables installs full tables from the leader or merges changed entries.
func (d *directory) setTables(t tables) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, merged := d.tables.merge(t)
	if !merged {
		return // the next heartbeat tells the leader which version this host has
	}
	d.tables = next
	d.updateRemotes()
	d.rebuildGroupViews(d.affectedBy(&t))
}

// affectedBy returns a predicate for the instances that the received tables
// affect: the entry of the instance or that of its owner is in them.
func (d *directory) affectedBy(t *tables) func(in *table.Instance) bool {
	if t.Since == (tablesVersion{}) {
		return func(*table.Instance) bool { return true }
	}
	hosts := make(map[table.HostID]struct{}, len(t.Hosts))
	for _, h := range t.Hosts {
		hosts[h.ID] = struct{}{}
	}
	instances := make(map[table.InstanceID]struct{}, len(t.Instances))
	for _, in := range t.Instances {
		instances[in.ID] = struct{}{}
	}
	owners := d.view.Load().Owners
	return func(in *table.Instance) bool {
		_, named := instances[in.ID]
		_, owned := hosts[owners[in.ID].Host]
		return named || owned
	}
}

func (d *directory) currentTables() tables {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables
}

// updateRemotes opens links to new hosts and to hosts whose address changed. It
// closes the links to hosts that have long been missing from the tables.
func (d *directory) updateRemotes() {
	seen := map[table.HostID]bool{}
	for _, h := range d.tables.Hosts {
		if h.ID == d.self {
			continue
		}
		seen[h.ID] = true
		r := d.remotes[h.ID]
		if r != nil && r.address == h.PeerAddress {
			r.unlistedAt = 0
			continue
		}
		if r != nil {
			r.executor.Close()
		}
		d.remotes[h.ID] = &remote{address: h.PeerAddress, executor: peer.NewRemote(h.PeerAddress, d.peerTiming, d.dial)}
	}
	now := d.clock()
	for id, r := range d.remotes {
		switch {
		case seen[id]:
		case r.unlistedAt == 0:
			r.unlistedAt = now
		case now-r.unlistedAt > unlistedLinkTTL:
			r.executor.Close()
			delete(d.remotes, id)
		}
	}
}

// rebuildGroupViews publishes new routing views of the groups that have an
// affected instance and wakes the goroutines that wait for a change.
func (d *directory) rebuildGroupViews(affected func(in *table.Instance) bool) {
	view := d.view.Load()
	states := make(map[table.HostID]table.HostState, len(d.tables.Hosts))
	for _, h := range d.tables.Hosts {
		states[h.ID] = h.State
	}
	members := map[table.GroupName][]table.Instance{}
	for i := range d.tables.Instances {
		if in := &d.tables.Instances[i]; affected(in) {
			members[in.Group] = nil
		}
	}
	for _, in := range d.tables.Instances {
		if others, ok := members[in.Group]; ok {
			members[in.Group] = append(others, in)
		}
	}
	for name, instances := range members {
		next := d.groupView(view, states, name, instances)
		d.groups.Update(name, func(old *routing.GroupView) *routing.GroupView {
			return old.CopyHintsTo(next)
		})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) groupView(view *control.View, states map[table.HostID]table.HostState, name table.GroupName, instances []table.Instance) *routing.GroupView {
	agreed := view.Groups[name]
	v := &routing.GroupView{Name: name, Term: agreed.Term}
	if agreed.Phase == table.PhaseStable {
		v.Primary = agreed.Primary
	}
	for _, in := range instances {
		role := table.RoleReplica
		if in.ID == v.Primary {
			role = table.RolePrimary
		}
		owner := view.Owners[in.ID].Host
		v.Candidates = append(v.Candidates, routing.Candidate{
			Instance:   in.ID,
			Owner:      owner,
			Domain:     in.Domain,
			Role:       role,
			Leaving:    in.Leaving,
			LeavingAt:  d.leavingSince(&in),
			OwnerState: states[owner],
		})
	}
	return v
}
