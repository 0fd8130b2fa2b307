package soak

import (
	"net"
	"strings"

	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

const (
	// processIP is the address on which the processes listen.
	processIP = "127.0.0.1"
	// linkIP is the address on which the links to instances and hosts listen, with
	// the port of the process. It has the length of processIP, so that a link can
	// replace one by the other in a message.
	linkIP = "127.0.0.2"
)

// network holds the links between the processes and from the callers to the hosts.
//
// A host advertises the address on which it listens, and so does an instance. The
// links replace these addresses by their own in the messages that pass them, so that
// others connect through a link. Only the connections to a host that leads the control
// hosts may be direct, because this host enters its own address.
type network struct {
	links map[string]*link
}

func newNetwork() *network { return &network{links: map[string]*link{}} }

// peerAddress is the address under which host from knows control host to.
func (n *network) peerAddress(from, to deploy.Host) string {
	return n.links[peerLink(from.Name, to.Name)].address()
}

// callerAddress is the address at which callers connect to a host.
func (n *network) callerAddress(host string) string { return n.links[callerLink(host)].address() }

// connect creates the links of a deployment that is not started yet.
func (n *network) connect(c *deploy.Cluster, size Size) error {
	peers, instances := map[string]string{}, map[string]string{}
	for _, h := range c.Hosts {
		peers[h.PeerAddress] = outside(h.PeerAddress)
	}
	for _, u := range c.Upstreams {
		instances[u.Address] = outside(u.Address)
		if err := n.open(instanceLink(u.Name), outside(u.Address), u.Address, nil); err != nil {
			return err
		}
	}
	for _, h := range c.Hosts {
		if err := n.connectHost(c, h, size, peers, instances); err != nil {
			return err
		}
		c.AnnounceAddresses = append(c.AnnounceAddresses, n.links[announceLink(h.Name)].address())
	}
	return nil
}

func (n *network) connectHost(c *deploy.Cluster, h deploy.Host, size Size, peers, instances map[string]string) error {
	if err := n.open(callerLink(h.Name), anyPort, h.CallerAddress, nil); err != nil {
		return err
	}
	if err := n.open(announceLink(h.Name), anyPort, h.HTTPAddress, instances); err != nil {
		return err
	}
	if err := n.open(inboundLink(h.Name), outside(h.PeerAddress), h.PeerAddress, peers); err != nil {
		return err
	}
	for _, to := range c.Hosts[:size.ControlHosts] {
		if to.Name == h.Name {
			continue
		}
		if err := n.open(peerLink(h.Name, to.Name), anyPort, to.PeerAddress, peers); err != nil {
			return err
		}
	}
	return nil
}

// anyPort lets the system choose the port of a link.
const anyPort = processIP + ":0"

func (n *network) open(name, address, target string, rewrite map[string]string) error {
	l, err := newLink(address, target, rewrite)
	if err != nil {
		return err
	}
	n.links[name] = l
	return nil
}

// outside returns the address of the link to the process that listens on address.
func outside(address string) string {
	_, port, _ := strings.Cut(address, ":")
	return net.JoinHostPort(linkIP, port)
}

// heal ends the faults of all links.
func (n *network) heal() {
	for _, l := range n.links {
		l.heal()
	}
}

// connections returns the number of connections so far through the links of each kind:
// those between hosts by their settings and by the addresses that hosts advertise, those
// of callers, of announcements, and to instances.
func (n *network) connections() map[string]int {
	counts := map[string]int{}
	for name, l := range n.links {
		kind, to, _ := strings.Cut(name, ">")
		if strings.HasPrefix(kind, "peer") && kind != "peer " {
			kind = "peer by settings"
		}
		if to != "" {
			counts[strings.TrimSpace(kind)] += l.connections()
		}
	}
	return counts
}

func (n *network) close() {
	for _, l := range n.links {
		l.close()
	}
}
