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
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// directory is what a host knows of the deployment: the agreed control state,
// the tables that the leader hands out, and its own lease. Readers on the
// statement path take no lock for documents and groups.
type directory struct {
	self  table.HostID
	clock func() time.Duration
	log   logrus.FieldLogger
	peers peer.Timing
	// decode reads a deployment; nil where services have documents.
	decode func([]byte) (*config.Deployment, error)
	dial   peer.DialFunc

	groups     routing.Table
	view       atomic.Pointer[control.View]
	documents  atomic.Pointer[map[string]*config.Document]
	deployment atomic.Pointer[config.Deployment]
	local      request.Executor

	mu      sync.Mutex // guards what follows, and each change of the above
	holder  lease.Holder
	tables  tables
	remotes map[table.HostID]*remote
	leaving map[table.InstanceID]time.Duration
	changed chan struct{}
}

// remote is the way to another host.
type remote struct {
	address  string
	executor *peer.Remote
	// unlisted is since when the host is missing from the tables, or zero.
	unlisted time.Duration
}

// leavingSince returns when this host first heard that an instance leaves.
func (d *directory) leavingSince(in *table.Instance) time.Duration {
	if !in.Leaving {
		delete(d.leaving, in.ID)
		return 0
	}
	at, known := d.leaving[in.ID]
	if !known {
		at = d.clock()
		d.leaving[in.ID] = at
	}
	return at
}

// unlistedLife is how long the link to a host that is missing from the tables
// is kept. The tables of a new leader may lack hosts that live.
const unlistedLife = time.Minute

func newDirectory(self table.HostID, clock func() time.Duration, log logrus.FieldLogger) *directory {
	d := &directory{
		self:    self,
		clock:   clock,
		log:     log,
		peers:   peer.DefaultTiming(),
		remotes: map[table.HostID]*remote{},
		leaving: map[table.InstanceID]time.Duration{},
		changed: make(chan struct{}),
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
		return d.local, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.remotes[host]
	if !ok {
		return nil, false
	}
	return r.executor, true
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
	return g.DataTerm(), g.Phase == table.PhaseStable && g.Primary == instance
}

// MayAcknowledge implements owner.Authority: the lease of this host is valid,
// this host owns the instance, and the instance is the primary of term. The
// state is read before the lease, with no renewal in between: a host that was
// frozen between the two must not judge an old term by a new lease.
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
	if !ok || g.Phase != table.PhaseStable || g.DataTerm() <= m.Term {
		return owner.OutcomePending
	}
	switch g.History.Survives(m) {
	case table.SurvivedYes:
		return owner.FateKept
	case table.SurvivedNo:
		return owner.FateLost
	default:
		return owner.OutcomePending
	}
}

func (d *directory) leaseValid() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Valid(d.clock())
}

// renewed takes a lease that was asked for at sentAt. The control state that
// came with it has been applied.
func (d *directory) renewed(sentAt, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Renew(sentAt, duration)
}

// releaseLease gives the lease up: nothing is acknowledged from now on.
func (d *directory) releaseLease() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Release(d.clock())
}

// setView takes a later control state. An older one is ignored.
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
	d.rebuild(func(in *table.Instance) bool {
		return old.Groups[in.Group] != v.Groups[in.Group] || old.Owners[in.ID] != v.Owners[in.ID]
	})
}

// setTables takes the tables of the leader, or what changed in them.
func (d *directory) setTables(t tables) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, connects := d.tables.with(t)
	if !connects {
		return // the next heartbeat says what this host has
	}
	d.tables = next
	d.dialNew()
	d.rebuild(d.touchedBy(&t))
}

// touchedBy returns which instances, by themselves or by their owners, the
// tables that were handed out say something about.
func (d *directory) touchedBy(t *tables) func(in *table.Instance) bool {
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

// dialNew keeps a way to each host in the tables.
func (d *directory) dialNew() {
	seen := map[table.HostID]bool{}
	for _, h := range d.tables.Hosts {
		if h.ID == d.self {
			continue
		}
		seen[h.ID] = true
		r := d.remotes[h.ID]
		if r != nil && r.address == h.PeerAddress {
			r.unlisted = 0
			continue
		}
		if r != nil {
			r.executor.Close()
		}
		d.remotes[h.ID] = &remote{address: h.PeerAddress, executor: peer.NewRemote(h.PeerAddress, d.peers, d.dial)}
	}
	now := d.clock()
	for id, r := range d.remotes {
		switch {
		case seen[id]:
		case r.unlisted == 0:
			r.unlisted = now
		case now-r.unlisted > unlistedLife:
			r.executor.Close()
			delete(d.remotes, id)
		}
	}
}

// rebuild publishes the views that routing reads of the groups with a touched
// instance, and wakes who waits for a change.
func (d *directory) rebuild(touched func(in *table.Instance) bool) {
	view := d.view.Load()
	states := make(map[table.HostID]table.HostState, len(d.tables.Hosts))
	for _, h := range d.tables.Hosts {
		states[h.ID] = h.State
	}
	members := map[table.GroupName][]table.Instance{}
	for i := range d.tables.Instances {
		if in := &d.tables.Instances[i]; touched(in) {
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
			return old.Rebuild(next)
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
