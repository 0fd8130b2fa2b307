// Package typed is a stand-in for groups of database instances that speak a
// protocol with typed statements: a primary that acknowledges a write once a
// replica has it, replicas that apply it later, pauses, promotions that take
// their time, and faults. It records what ran, so that tests can check what
// callers were promised. It is no part of the binary.
package typed

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Codec is the other side of a stmt.UpstreamCodec.
type Codec interface {
	ReadInstanceStartup(r *bufio.Reader) (table.GroupName, table.InstanceID, error)
	ReadInstanceStatement(r *bufio.Reader) (stmt.Statement, *table.Mark, error)
	AppendAnswer(dst []byte, a *stmt.Answer) []byte
	AppendRefusal(dst []byte, code stmt.Code, text string) []byte
	AppendState(s stmt.State) string
}

// commit is one entry of the log: the writes of a transaction.
type commit struct {
	term   table.Term
	writes []write
}

// write is one write and the statement that made it.
type write struct{ item, data, id string }

// Group is a primary and its replicas.
type Group struct {
	Name  table.GroupName
	codec Codec
	// Lag is how much later a replica applies what it received.
	Lag time.Duration
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration

	mu        sync.Mutex
	changed   *sync.Cond
	term      table.Term
	instances map[table.InstanceID]*Instance
	runs      map[string]int // statements that ran, by id
}

// NewGroup returns a group without instances.
func NewGroup(name table.GroupName, codec Codec) *Group {
	g := &Group{
		Name: name, codec: codec, Lag: 2 * time.Millisecond, PromoteTime: 30 * time.Millisecond,
		term: 1, instances: map[table.InstanceID]*Instance{}, runs: map[string]int{},
	}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Instance is one instance of a group.
type Instance struct {
	ID      table.InstanceID
	Address string
	group   *Group

	// Guarded by the lock of the group.
	role        table.Role
	term        table.Term // in which it leads, or that it follows
	log         []commit
	applied     int // entries that reads see
	held        table.Term
	up          bool
	silent      bool // takes everything in and answers nothing
	loseAnswers int  // the next writes run and their connection is closed
	busy        int  // the next statements are refused as busy
	slow        time.Duration
	listener    net.Listener
	conns       map[net.Conn]struct{}
	work        sync.WaitGroup
}

// Add starts an instance at an address. The first one is the primary.
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

// Start listens again, as after a crash: an instance that is not the primary
// of the latest term any more is a replica.
func (in *Instance) Start() error {
	l, err := net.Listen("tcp", in.Address)
	if err != nil {
		return err
	}
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	in.Address, in.listener, in.up, in.silent, in.held = l.Addr().String(), l, true, false, 0
	if in.term < g.term {
		in.role, in.term = table.RoleReplica, g.term
		in.follow()
	}
	in.work.Go(in.accept)
	return nil
}

// Kill ends the instance with all its connections.
func (in *Instance) Kill() {
	g := in.group
	g.mu.Lock()
	in.up = false
	_ = in.listener.Close()
	for c := range in.conns {
		_ = c.Close()
	}
	g.changed.Broadcast()
	g.mu.Unlock()
	in.work.Wait()
}

// Faults of an instance, from now on.

// Silence makes the instance answer nothing.
func (in *Instance) Silence(on bool) {
	in.set(func() { in.silent = on })
}

// LoseAnswers makes the next n writes run without an answer.
func (in *Instance) LoseAnswers(n int) { in.set(func() { in.loseAnswers = n }) }

// RefuseBusy makes the instance refuse the next n statements.
func (in *Instance) RefuseBusy(n int) { in.set(func() { in.busy = n }) }

// Slow makes each statement take longer.
func (in *Instance) Slow(d time.Duration) { in.set(func() { in.slow = d }) }

func (in *Instance) set(change func()) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	change()
	in.group.changed.Broadcast()
}

// Up reports whether the instance runs.
func (in *Instance) Up() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.up
}

// Role returns the role as the instance sees itself.
func (in *Instance) Role() table.Role {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.role
}

// ErrDown is returned for a promotion of an instance that does not run.
var ErrDown = errors.New("typed: the instance does not run")

// Promote makes an instance the primary of the next term, after a while. For
// the present primary it changes nothing.
func (g *Group) Promote(id table.InstanceID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := g.instances[id]
	if in == nil || !in.up {
		return ErrDown
	}
	if in.role == table.RolePrimary && in.term == g.term {
		return nil
	}
	time.AfterFunc(g.PromoteTime, func() { g.lead(in) })
	return nil
}

// SetPromoteTime changes how long promotions take.
func (g *Group) SetPromoteTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.PromoteTime = d
}

// lead begins the next term under an instance: with what it received, and
// nothing more.
func (g *Group) lead(in *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !in.up || in.role == table.RolePrimary && in.term == g.term {
		return
	}
	g.term++
	in.role, in.term, in.held, in.applied = table.RolePrimary, g.term, 0, len(in.log)
	for _, other := range g.instances {
		if other != in && other.role == table.RoleReplica {
			other.term, other.held = g.term, 0
			other.follow()
		}
	}
	g.changed.Broadcast()
}

// follow makes the log of a replica that of the primary of its term.
func (in *Instance) follow() {
	for _, p := range in.group.instances {
		if p.role == table.RolePrimary && p.term == in.term {
			in.log = append([]commit(nil), p.log...)
			in.applied = len(in.log)
		}
	}
}

// Primary returns the primary of the latest term.
func (g *Group) Primary() *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, in := range g.instances {
		if in.role == table.RolePrimary && in.term == g.term {
			return in
		}
	}
	return nil
}

// RunCount returns how often the statement with that id ran.
func (g *Group) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id]
}

// CommitCount returns how often the write with that id stands in the log of the
// primary.
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

// Close ends all instances.
func (g *Group) Close() {
	g.mu.Lock()
	var all []*Instance
	for _, in := range g.instances {
		if in.up {
			all = append(all, in)
		}
	}
	g.mu.Unlock()
	for _, in := range all {
		in.Kill()
	}
}
