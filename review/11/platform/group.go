package main

import (
	"fmt"
	"sync"
	"time"
)

// entry is a committed write in the log of an instance.
type entry struct {
	term, number uint64
	id           string // of the statement that wrote it
	item, data   string
}

const (
	rolePrimary = "primary"
	roleReplica = "replica"
	// receiveTime is how long an entry travels from the primary to a replica.
	receiveTime = time.Millisecond
	// applyTime is how much later a replica applies it.
	applyTime = 8 * time.Millisecond
	// reachTime is how long an old primary goes on after it can reach the new one.
	reachTime = time.Second
)

// group is a service: one primary and its replicas.
type group struct {
	name        string
	promoteTime time.Duration

	mu        sync.Mutex
	changed   *sync.Cond
	term      uint64
	instances []*instance
	acked     []entry // in the order of their acknowledgement
	promotes  []promotion
	// late holds the writes that a primary committed after the promotion of another
	// instance had taken effect.
	late      map[string]bool
	onPromote func(in *instance) // called once for the first call that begins a promotion
	rec       *record
}

// promotion is a call that the platform accepted, and what it led to.
type promotion struct {
	instance  string
	token     string
	effective bool
	lost      []entry // acknowledged and not in the log of the instance
}

func newGroup(name string, rec *record) *group {
	g := &group{name: name, promoteTime: 600 * time.Millisecond, term: 1, rec: rec, late: map[string]bool{}}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// replicate delivers to each replica that receives what it lacks. The caller holds the
// lock.
func (g *group) replicate() {
	for _, p := range g.instances {
		if !p.running || p.role != rolePrimary {
			continue
		}
		for _, r := range g.instances {
			g.deliver(p, r)
		}
	}
	g.changed.Broadcast()
}

// deliver copies the log of a primary to a replica that can receive from it.
func (g *group) deliver(p, r *instance) {
	if r == p || !r.running || r.deaf || r.held != 0 || r.role != roleReplica || r.follows > p.term {
		return
	}
	r.follows = p.term
	if n := commonPrefix(p.log, r.log); n < len(r.log) {
		r.log = r.log[:n:n]
		r.applied = min(r.applied, n)
	}
	r.log = append(r.log, p.log[len(r.log):]...)
	upTo, born := len(r.log), r.born
	time.AfterFunc(applyTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if r.born == born {
			r.applied = max(r.applied, min(upTo, len(r.log)))
		}
	})
}

func commonPrefix(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].term == b[n].term && a[n].id == b[n].id {
		n++
	}
	return n
}

// commit appends a write to the log of the primary and waits until a replica has
// received it. It returns false if the instance ends or loses the lead first. The
// caller holds the lock.
func (g *group) commit(in *instance, e entry) bool {
	e.term, e.number = in.term, uint64(len(in.log)+1)
	in.log = append(in.log, e)
	in.applied = len(in.log)
	g.late[e.id] = in.term < g.term
	term, born := in.term, in.born
	time.AfterFunc(receiveTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.replicate()
	})
	for in.running && in.born == born && in.role == rolePrimary && in.term == term {
		for _, r := range g.instances {
			if r != in && r.running && r.role == roleReplica && r.follows == term && commonPrefix(in.log, r.log) >= int(e.number) {
				return true
			}
		}
		g.changed.Wait()
	}
	return false
}

// promote handles the call of the platform. It reports whether the instance runs.
func (g *group) promote(id, token string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := g.find(id)
	if in == nil || !in.running {
		return false
	}
	g.rec.printf("platform: promote %s, token %s", id, token)
	g.promotes = append(g.promotes, promotion{instance: id, token: token})
	if in.role == rolePrimary && in.term == g.term {
		return true
	}
	if g.onPromote != nil {
		go g.onPromote(in)
		g.onPromote = nil
	}
	at, born := len(g.promotes)-1, in.born
	time.AfterFunc(g.promoteTime, func() { g.lead(in, born, at) })
	return true
}

// lead makes an instance the primary of the next term with what it has received.
func (g *group) lead(in *instance, born uint64, at int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !in.running || in.born != born || in.role == rolePrimary && in.term == g.term {
		return
	}
	g.term++
	old := g.instances
	in.role, in.term, in.follows, in.held, in.applied = rolePrimary, g.term, g.term, 0, len(in.log)
	p := &g.promotes[at]
	p.effective, p.lost = true, in.missing(g.acked)
	g.rec.printf("platform: %s leads term %d with %d entries; %d acknowledged commits are not in its log", in.id, g.term, len(in.log), len(p.lost))
	for _, e := range p.lost {
		g.rec.printf("platform: not in the log: %d.%d, written by %s", e.term, e.number, e.id)
	}
	for _, r := range old {
		if r != in {
			r.held = 0
		}
	}
	g.demoteOld(in)
	g.replicate()
}

// demoteOld makes the primaries of older terms that can reach the new one its replicas
// after a second.
func (g *group) demoteOld(p *instance) {
	term := p.term
	time.AfterFunc(reachTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range g.instances {
			if r.running && r.role == rolePrimary && r.term < term {
				r.role = roleReplica
				g.rec.printf("instance %s: follows term %d", r.id, term)
			}
		}
		g.replicate()
	})
}

func (g *group) find(id string) *instance {
	for _, in := range g.instances {
		if in.id == id {
			return in
		}
	}
	return nil
}

// state returns one line on each instance.
func (g *group) state() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := ""
	for _, in := range g.instances {
		out += fmt.Sprintf("%s %s running=%v term=%d log=%d held=%d deaf=%v; ", in.id, in.role, in.running, in.term, len(in.log), in.held, in.deaf)
	}
	return out
}
