package membership

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// member is the state of another host as this host sees it.
type member struct {
	Update
	since time.Duration // time of the latest update
	index int           // index in Node.members
}

// host returns the table entry of the host.
func (m *member) host() table.Host {
	return table.Host{
		ID: m.Host, Domain: m.Domain, PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation, State: m.State,
	}
}

// isInactive reports whether the host is dead or has left.
func (m *member) isInactive() bool { return m.State == table.HostDead || m.State == table.HostLeft }

// overrides reports whether u supersedes the known update: it has a higher
// incarnation, or a worse state in the same incarnation.
func (u Update) overrides(known Update) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

// domainCount counts the hosts of a failure domain that have not left.
type domainCount struct {
	reachable   int // alive or suspected
	dead        int
	reachableAt time.Duration // when the domain last became reachable again
}

// applyUpdate applies an update and reports whether it changed what is known of
// another host.
func (n *Node) applyUpdate(now time.Duration, u Update) bool {
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
		n.adjustDomainCount(m, -1)
	}
	wasUnreachable := n.isDomainUnreachable(u.Domain)
	changed := m.State != u.State || m.Incarnation == 0
	m.Update = u
	m.since = now
	n.adjustDomainCount(m, 1)
	if wasUnreachable && !n.isDomainUnreachable(u.Domain) {
		n.domains[u.Domain].reachableAt = now
	}
	if u.State == table.HostSuspect {
		n.suspects[m.Host] = m
	} else {
		delete(n.suspects, m.Host)
	}
	if changed {
		n.events = append(n.events, Event{Host: m.host()})
	}
	return true
}

// refute raises the incarnation of this host when an update says that it is
// suspected, dead or has left, or has a higher incarnation.
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

// adjustDomainCount adds delta to the count of the failure domain and the state
// of m.
func (n *Node) adjustDomainCount(m *member, delta int) {
	c := n.domains[m.Domain]
	if c == nil {
		c = &domainCount{}
		n.domains[m.Domain] = c
	}
	switch m.State {
	case table.HostDead:
		c.dead += delta
	case table.HostLeft:
	default:
		c.reachable += delta
	}
	if c.reachable == 0 && c.dead == 0 {
		delete(n.domains, m.Domain)
	}
}

// removeMember deletes all state of a host.
func (n *Node) removeMember(m *member) {
	n.adjustDomainCount(m, -1)
	delete(n.byID, m.Host)
	delete(n.suspects, m.Host)
	last := n.members[len(n.members)-1]
	n.members[m.index] = last
	last.index = m.index
	n.members = n.members[:len(n.members)-1]
}

// canForget reports whether a host has been inactive for ForgetAfter. While its
// whole failure domain is unreachable, it is kept, and ForgetAfter starts again
// when the domain becomes reachable.
func (n *Node) canForget(now time.Duration, m *member) bool {
	since := m.since
	if c := n.domains[m.Domain]; c != nil {
		since = max(since, c.reachableAt)
	}
	return m.isInactive() && now >= since+n.cfg.ForgetAfter && !n.isDomainUnreachable(m.Domain)
}

// isDomainUnreachable reports whether all hosts of the failure domain that have
// not left are dead.
func (n *Node) isDomainUnreachable(d table.Domain) bool {
	c := n.domains[d]
	return c != nil && c.reachable == 0 && c.dead > 0
}
