package membership

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// member is another host as this one sees it.
type member struct {
	Update
	since time.Duration // of the state
	index int           // in Node.members
}

// table returns the entity of the host.
func (m *member) table() table.Host {
	return table.Host{
		ID: m.Host, Domain: m.Domain, PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation, State: m.State,
	}
}

// lost reports whether the host does not take part any more.
func (m *member) lost() bool { return m.State == table.HostDead || m.State == table.HostLeft }

// overrides reports whether u is news against what is known: a higher
// incarnation, or a worse state of the same one.
func (u Update) overrides(known Update) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

// domainCount counts the hosts of a failure domain that did not leave.
type domainCount struct {
	present int // alive or suspected
	dead    int
	backAt  time.Duration // when a host was within reach again after none was
}

// learn takes a piece of news and reports whether it is one about another host.
func (n *Node) learn(now time.Duration, u Update) bool {
	if u.Host == n.self.Host {
		n.refute(u)
		return false
	}
	m := n.byID[u.Host]
	if m == nil {
		if u.State == table.HostDead || u.State == table.HostLeft {
			return false
		}
		m = &member{index: len(n.members)}
		n.byID[u.Host] = m
		n.members = append(n.members, m)
		n.insertProbe(m)
	} else if !u.overrides(m.Update) {
		return false
	} else {
		n.count(m, -1)
	}
	wasLost := n.domainLost(u.Domain)
	changed := m.State != u.State || m.Incarnation == 0
	m.Update = u
	m.since = now
	n.count(m, 1)
	if wasLost && !n.domainLost(u.Domain) {
		n.domains[u.Domain].backAt = now
	}
	if u.State == table.HostSuspect {
		n.suspects[m.Host] = m
	} else {
		delete(n.suspects, m.Host)
	}
	if changed {
		n.events = append(n.events, Event{Host: m.table()})
	}
	return true
}

// refute answers news that this host is suspected, dead or of a higher
// incarnation.
func (n *Node) refute(u Update) {
	if u.Incarnation < n.self.Incarnation || u.State == table.HostAlive && u.Incarnation == n.self.Incarnation {
		return
	}
	if n.self.State == table.HostLeft {
		return
	}
	n.self.Incarnation = u.Incarnation + 1
	n.queue.add(n.self)
}

func (n *Node) count(m *member, by int) {
	c := n.domains[m.Domain]
	if c == nil {
		c = &domainCount{}
		n.domains[m.Domain] = c
	}
	switch m.State {
	case table.HostDead:
		c.dead += by
	case table.HostLeft:
	default:
		c.present += by
	}
	if c.present == 0 && c.dead == 0 {
		delete(n.domains, m.Domain)
	}
}

// forget drops a host for good.
func (n *Node) forget(m *member) {
	n.count(m, -1)
	delete(n.byID, m.Host)
	delete(n.suspects, m.Host)
	last := n.members[len(n.members)-1]
	n.members[m.index] = last
	last.index = m.index
	n.members = n.members[:len(n.members)-1]
}

// forgettable reports whether a host is lost for long. One whose failure domain
// is or was out of reach as a whole is given time to be found again.
func (n *Node) forgettable(now time.Duration, m *member) bool {
	since := m.since
	if c := n.domains[m.Domain]; c != nil {
		since = max(since, c.backAt)
	}
	return m.lost() && now >= since+n.cfg.ForgetAfter && !n.domainLost(m.Domain)
}

// domainLost reports whether no host of the failure domain is within reach.
func (n *Node) domainLost(d table.Domain) bool {
	c := n.domains[d]
	return c != nil && c.present == 0 && c.dead > 0
}
