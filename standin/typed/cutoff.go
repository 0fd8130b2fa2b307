package typed

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// CutFromHosts sets whether no host reaches the instance. Statements that arrive over
// open connections meanwhile run when the cut ends.
func (in *Instance) CutFromHosts(on bool) { in.update(func() { in.cutFromHosts = on }) }

// CutFromGroup sets whether the instance and the others of its group do not reach each
// other. When the cut ends, replicas receive what they missed, and an old primary follows
// the present one after Group.FollowTime.
func (in *Instance) CutFromGroup(on bool) {
	in.update(func() {
		in.cutFromGroup = on
		in.group.reconnect()
	})
}

// IsCutFromHosts reports whether no host reaches the instance.
func (in *Instance) IsCutFromHosts() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return in.cutFromHosts
}

// DelayReceipt sets how long an entry of the log takes from the primary to the instance.
func (in *Instance) DelayReceipt(d time.Duration) { in.update(func() { in.receiptDelay = d }) }

// linked reports whether two instances reach each other. The caller must hold the lock of
// the group.
func (in *Instance) linked(other *Instance) bool {
	return in.running && other.running && !in.cutFromGroup && !other.cutFromGroup
}

// awaitHosts waits while no host reaches the instance. The caller must hold the lock of the
// group.
func (in *Instance) awaitHosts() {
	for in.cutFromHosts && in.running {
		in.group.changed.Wait()
	}
}

// primary returns the primary of the latest term, or nil. The caller must hold the lock.
func (g *Group) primary() *Instance {
	for _, in := range g.instances {
		if in.role == table.RolePrimary && in.term == g.term {
			return in
		}
	}
	return nil
}

// reconnect makes the instances that reach the primary follow it. The caller must hold the
// lock.
func (g *Group) reconnect() {
	p := g.primary()
	if p == nil {
		return
	}
	for _, in := range g.instances {
		if in == p || !in.linked(p) {
			continue
		}
		if in.role == table.RolePrimary {
			g.followLater(in, p, g.FollowTime)
			continue
		}
		if in.term < g.term {
			g.followLater(in, p, g.NoticeTime)
		} else if in.held == 0 {
			in.receive(p, len(p.log))
		}
	}
}

// followLater makes an instance of an earlier term a replica of p after a time, if it
// reaches p then.
func (g *Group) followLater(in, p *Instance, after time.Duration) {
	if after == 0 {
		in.follow(p)
		return
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if in.term < g.term && g.primary() == p && in.linked(p) {
			in.follow(p)
			g.changed.Broadcast()
		}
	})
}

// follow makes the instance a replica of p, with the log of p unless it is held in a later
// term. The caller must hold the lock of the group.
func (in *Instance) follow(p *Instance) {
	in.role, in.term = table.RoleReplica, p.term
	if in.held > p.term {
		in.log = in.log[:commonLength(in.log, p.log)]
	} else {
		in.held = 0
		in.log = slices.Clone(p.log)
	}
	in.applied, in.sentTo = len(in.log), len(in.log)
}

// commonLength returns the number of entries at which two logs begin in the same way.
func commonLength(a, b []commit) int {
	n := 0
	for n < min(len(a), len(b)) && a[n].term == b[n].term && a[n].writes[0].id == b[n].writes[0].id {
		n++
	}
	return n
}

// sendLater delivers the log of p up to its present end after the delay of the instance.
// The caller must hold the lock of the group.
func (in *Instance) sendLater(p *Instance) {
	upTo, term := len(p.log), p.term
	if in.sentTo >= upTo {
		return
	}
	in.sentTo = upTo
	time.AfterFunc(in.receiptDelay, func() {
		g := in.group
		g.mu.Lock()
		defer g.mu.Unlock()
		if in.receivesFrom(p) && p.term == term && len(in.log) < upTo {
			in.receive(p, upTo)
		} else {
			in.sentTo = len(in.log)
		}
		g.changed.Broadcast()
	})
}

// Acknowledge records that the caller of the write with that id was told of its success.
func (g *Group) Acknowledge(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged = append(g.acknowledged, id)
}

// Lost returns the acknowledged writes that the log of a promoted instance lacked when it
// was promoted, and those that the log of the present primary lacks.
func (g *Group) Lost() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := slices.Clone(g.lost)
	if p := g.primary(); p != nil {
		lost = append(lost, p.missing(g.acknowledged)...)
	}
	slices.Sort(lost)
	return slices.Compact(lost)
}

// missing returns the ids of writes that the log of the instance lacks. The caller must
// hold the lock of the group.
func (in *Instance) missing(ids []string) []string {
	held := map[string]bool{}
	for _, c := range in.log {
		for _, w := range c.writes {
			held[w.id] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return held[id] })
}
