// Package typed simulates groups of database instances that speak a protocol with
// typed statements. A primary acknowledges a write once a replica has received it
// (semi-synchronous replication), replicas apply it after a lag, replication can
// be paused, promotions take time, and faults can be injected. The package counts
// the statements that ran, so that tests can check the guarantees to callers. The
// released binary does not contain it.
package typed

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

// Codec encodes and decodes the protocol on the side of the instance. It is the
// counterpart of a typedproto.UpstreamCodec.
type Codec interface {
	ReadInstanceStartup(r *bufio.Reader) (typedproto.InstanceStartup, error)
	ReadInstanceStatement(r *bufio.Reader) (typedproto.Statement, *table.Mark, error)
	AppendAnswer(dst []byte, a *typedproto.Answer) []byte
	AppendRefusal(dst []byte, code typedproto.Code, text string) []byte
	AppendState(s typedproto.State) string
}

// commit is a log entry: the writes of a transaction and the term in which it
// committed.
type commit struct {
	term   table.Term
	writes []write
}

// write assigns data to an item. The id is that of the statement.
type write struct{ item, data, id string }

// Group is a simulated group: a primary and its replicas.
type Group struct {
	Name  table.GroupName
	codec Codec
	// Lag is the time between the receipt of an entry by a replica and its
	// visibility to reads there.
	Lag time.Duration
	// PromoteTime is the duration of a promotion.
	PromoteTime time.Duration
	// FollowTime is how long an old primary that reaches the new one goes on.
	FollowTime time.Duration
	// NoticeTime is how long a replica that reaches a new primary goes on with the old one.
	NoticeTime time.Duration

	mu        sync.Mutex
	changed   *sync.Cond
	term      table.Term
	instances map[table.InstanceID]*Instance
	runs      map[string]int // how often a statement ran, by its id
	// workspaces holds the workspaces on whose behalf a statement ran, by its id.
	workspaces map[string][]string
	// acknowledged holds the ids of acknowledged writes, lost those that an instance
	// lacked when it was promoted.
	acknowledged, lost []string
}

// NewGroup returns a group in term 1 without instances.
func NewGroup(name table.GroupName, codec Codec) *Group {
	g := &Group{
		Name: name, codec: codec, Lag: 2 * time.Millisecond, PromoteTime: 30 * time.Millisecond, FollowTime: time.Second,
		term: 1, instances: map[table.InstanceID]*Instance{}, runs: map[string]int{},
		workspaces: map[string][]string{},
	}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Instance is a simulated instance of a group.
type Instance struct {
	ID      table.InstanceID
	Address string
	group   *Group

	// The fields below are guarded by group.mu.
	role           table.Role
	term           table.Term // the term of which it is the primary or that it follows
	log            []commit
	applied        int        // the number of log entries that reads see
	held           table.Term // replication is paused for a promotion to this term; 0 if it is not
	running        bool
	maxOpen        int  // the highest number of connections open at once
	opened         int  // connections opened so far
	maxConns       int  // further connections are refused; 0 means no limit
	silent         bool // reads statements but sends no answer
	cutFromHosts   bool
	cutFromGroup   bool
	receiptDelay   time.Duration
	sentTo         int // the position up to which the log was sent with receiptDelay
	lostAnswers    int // the number of commits whose answer is to be lost
	busyRefusals   int // the number of statements to refuse with CodeBusy
	statementDelay time.Duration
	listener       net.Listener
	conns          map[net.Conn]struct{}
	goroutines     sync.WaitGroup
}

// Add starts an instance at an address. The first instance is the primary.
func (g *Group) Add(id table.InstanceID, address string) (*Instance, error) {
	in := &Instance{ID: id, group: g, term: 1, conns: map[net.Conn]struct{}{}}
	g.mu.Lock()
	if len(g.instances) == 0 {
		in.role = table.RolePrimary
	}
	g.mu.Unlock()
	in.Address = address
	if err := in.Start(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id] = in
	return in, nil
}

// Start starts the instance, for the first time or after Kill. If the group has begun
// a later term meanwhile, the instance becomes a replica of that term.
func (in *Instance) Start() error {
	l, err := net.Listen("tcp", in.Address)
	if err != nil {
		return err
	}
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	in.Address, in.listener, in.running, in.silent, in.held = l.Addr().String(), l, true, false, 0
	if in.term < g.term && !in.cutFromGroup {
		in.role, in.term = table.RoleReplica, g.term
		in.copyPrimaryLog()
	}
	g.reconnect()
	in.goroutines.Go(in.accept)
	return nil
}

// Kill stops the instance and closes its connections. The instance keeps its log.
func (in *Instance) Kill() {
	g := in.group
	g.mu.Lock()
	in.running = false
	_ = in.listener.Close()
	for c := range in.conns {
		_ = c.Close()
	}
	g.changed.Broadcast()
	g.mu.Unlock()
	in.goroutines.Wait()
}

// Silence sets whether the instance withholds its answers.
func (in *Instance) Silence(on bool) {
	in.update(func() { in.silent = on })
}

// LoseAnswers makes the next n commits take effect and closes their connections
// without an answer.
func (in *Instance) LoseAnswers(n int) { in.update(func() { in.lostAnswers = n }) }

// RefuseBusy makes the instance refuse the next n statements outside transactions
// as busy.
func (in *Instance) RefuseBusy(n int) { in.update(func() { in.busyRefusals = n }) }

// DelayStatements delays each statement by d.
func (in *Instance) DelayStatements(d time.Duration) { in.update(func() { in.statementDelay = d }) }

// update applies a change under the lock of the group and wakes all waiters.
func (in *Instance) update(change func()) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	change()
	in.group.changed.Broadcast()
}

// Group returns the name of the group of the instance.
func (in *Instance) Group() table.GroupName { return in.group.Name }

// IsRunning reports whether the instance is running.
func (in *Instance) IsRunning() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.running
}

// Role returns the role that the instance reports. After a failover two instances
// may report that they are the primary.
func (in *Instance) Role() table.Role {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.role
}

// ErrNotRunning is returned for the promotion of an instance that is not running.
var ErrNotRunning = errors.New("typed: the instance is not running")

// Promote starts the promotion of an instance to the primary of the next term. The
// promotion completes after PromoteTime. For the current primary it does nothing.
func (g *Group) Promote(id table.InstanceID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := g.instances[id]
	if in == nil || !in.running {
		return ErrNotRunning
	}
	if in.role == table.RolePrimary && in.term == g.term {
		return nil
	}
	time.AfterFunc(g.PromoteTime, func() { g.completePromotion(in) })
	return nil
}

// SetPromoteTime sets the duration of promotions that start from now on.
func (g *Group) SetPromoteTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.PromoteTime = d
}

// SetTimes sets PromoteTime for promotions that start from now on, and NoticeTime.
func (g *Group) SetTimes(promote, notice time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.PromoteTime, g.NoticeTime = promote, notice
}

// completePromotion begins the next term with in as its primary and the log that in
// has received. Replicas discard entries that this log does not contain.
func (g *Group) completePromotion(in *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !in.running || in.role == table.RolePrimary && in.term == g.term {
		return
	}
	g.term++
	in.role, in.term, in.held, in.applied = table.RolePrimary, g.term, 0, len(in.log)
	g.lost = append(g.lost, in.missing(g.acknowledged)...)
	for _, other := range g.instances {
		if other.role == table.RoleReplica && !other.running {
			other.follow(in)
		}
	}
	g.reconnect()
	g.changed.Broadcast()
}

// copyPrimaryLog replaces the log of a replica with that of the primary of its term.
// The caller must hold the lock of the group.
func (in *Instance) copyPrimaryLog() {
	for _, p := range in.group.instances {
		if p.role == table.RolePrimary && p.term == in.term {
			in.log = append([]commit(nil), p.log...)
			in.applied = len(in.log)
		}
	}
}

// Primary returns the primary of the latest term, or nil.
func (g *Group) Primary() *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

// RunCount returns how often the statement with that id ran, whether or not it was
// committed.
func (g *Group) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id]
}

// Workspaces returns the workspaces on whose behalf the statement ran, one for
// each run.
func (g *Group) Workspaces(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.workspaces[id])
}

// AllWorkspaces returns the workspaces on whose behalf any statement ran.
func (g *Group) AllWorkspaces() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for _, names := range g.workspaces {
		all = append(all, names...)
	}
	return all
}

// MaxOpen returns the highest number of connections that were open at once.
func (in *Instance) MaxOpen() int {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.maxOpen
}

// LimitConnections makes the instance refuse connections beyond n.
func (in *Instance) LimitConnections(n int) { in.update(func() { in.maxConns = n }) }

// Opened returns how many connections were opened so far.
func (in *Instance) Opened() int {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.opened
}

// CommitCount returns how often the log of the primary contains the write with
// that id.
func (g *Group) CommitCount(id string) int {
	p := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range p.log {
		for _, w := range c.writes {
			if w.id == id {
				n++
			}
		}
	}
	return n
}

// Close stops all instances.
func (g *Group) Close() {
	g.mu.Lock()
	var running []*Instance
	for _, in := range g.instances {
		if in.running {
			running = append(running, in)
		}
	}
	g.mu.Unlock()
	for _, in := range running {
		in.Kill()
	}
}
