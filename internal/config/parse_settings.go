package config

import (
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Default values of the settings.
const (
	DefaultMaxCallers      = 10_000
	DefaultMaxMessageBytes = 16 << 20
	DefaultLogLevel        = "info"
)

// DevelopmentKey signs session tokens on a host that listens only on loopback
// addresses and has no session keys configured. It is public and provides no
// security.
const DevelopmentKey = "646576656c6f706d656e74206b65793a2070726f7465637473206e6f7468696e67"

// Limits of the settings.
const (
	minKeyBytes     = 32
	maxKeys         = 8
	maxCallers      = 1_000_000
	minMessageBytes = 1 << 10
	minDiskBytes    = 1 << 20
	maxMessageBytes = 1 << 30
	maxJoin         = 64
)

// voterCounts are the permitted numbers of control hosts that found a
// deployment. One is for trials only.
var voterCounts = []int{1, 3, 5}

// ParseSettings parses and validates the settings of a host. The name of the
// file is used only in problems. The error is a *Problems that lists every
// problem found, up to MaxProblems.
func ParseSettings(name string, src []byte) (*Settings, error) {
	r := &reader{name: name, src: src}
	root, ok := r.parseRoot()
	if !ok {
		return nil, r.err()
	}
	p := &settingsParser{root: root}
	p.read()
	if err := r.err(); err != nil {
		return nil, err
	}
	return &p.s, nil
}

// settingsParser builds settings. It keeps the nodes that the checks across
// several fields report as positions.
type settingsParser struct {
	s                                       Settings
	root                                    node
	addresses                               []listenAddress
	hasJoin                                 bool
	tlsCert                                 node
	tlsKey                                  node
	requireTLS                              node
	callerAddress, peerAddress, httpAddress node
	voters                                  []voterNodes
}

// voterNodes holds the nodes of one voter's fields.
type voterNodes struct {
	host, peerAddress node
}

// listenAddress is an address that this host listens on, with its node.
type listenAddress struct {
	pos  node
	addr netip.AddrPort
}

func (p *settingsParser) read() {
	s := &p.s
	s.MaxCallers, s.MaxMessageBytes, s.LogLevel = DefaultMaxCallers, DefaultMaxMessageBytes, DefaultLogLevel
	s.Upstream = Upstream{User: DefaultUpstreamUser, Database: DefaultUpstreamDatabase}
	ok := p.root.object(append(
		p.securityFields(),
		field{"host", true, func(n node) { s.Host = readHost(n) }},
		field{"failure_domain", true, func(n node) { d, _ := n.name(); s.Domain = table.Domain(d) }},
		field{"caller_address", true, func(n node) { p.callerAddress = n; s.CallerAddress = p.readListenAddress(n) }},
		field{"peer_address", true, func(n node) { p.peerAddress = n; s.PeerAddress = p.readPeerListenAddress(n) }},
		field{"http_address", true, func(n node) { p.httpAddress = n; s.HTTPAddress = p.readListenAddress(n) }},
		field{"metrics_address", false, func(n node) { s.MetricsAddress = p.readListenAddress(n) }},
		field{"join", false, p.readJoin},
		field{"control", false, p.readControl},
		field{"session_keys", false, p.readKeys},
		field{"learn_capacity", false, func(n node) { s.LearnCapacity = n.boolean() }},
		field{"max_callers", false, func(n node) { s.MaxCallers = int(n.integer(1, maxCallers)) }},
		field{"max_message_bytes", false, func(n node) {
			s.MaxMessageBytes = int(n.integer(minMessageBytes, min(maxMessageBytes, math.MaxInt)))
		}},
		field{"log_level", false, p.readLogLevel},
		field{"tls_certificate", false, func(n node) { p.tlsCert = n; s.TLSCertificate = readPath(n) }},
		field{"tls_key", false, func(n node) { p.tlsKey = n; s.TLSKey = readPath(n) }},
	)...)
	if ok {
		p.check()
	}
}

func readHost(n node) table.HostID {
	s, _ := n.name()
	return table.HostID(s)
}

// readPath reads the path of a file or folder.
func readPath(n node) string {
	s, ok := n.str("a path")
	if ok && (s == "" || strings.ContainsRune(s, 0)) {
		n.problem("found %s, expected a path", n.text())
	}
	return s
}

// readListenAddress reads an address that this host listens on. Each address may
// be used only once.
func (p *settingsParser) readListenAddress(n node) string {
	addr, ok := n.address()
	if !ok {
		return ""
	}
	for _, other := range p.addresses {
		if other.addr == addr {
			n.problem("the address %s also stands at %s, expected another port", addr, other.pos.path)
		}
	}
	p.addresses = append(p.addresses, listenAddress{pos: n, addr: addr})
	return addr.String()
}

// readPeerListenAddress reads a listen address that is distributed to other hosts.
// The address must therefore be a specific one.
func (p *settingsParser) readPeerListenAddress(n node) string {
	s := p.readListenAddress(n)
	if s != "" && netip.MustParseAddrPort(s).Addr().IsUnspecified() {
		n.problem("found %s, expected an address that other hosts can reach", n.text())
	}
	return s
}

func (p *settingsParser) readJoin(n node) {
	p.hasJoin = n.list(maxJoin, func(n node) {
		if addr, ok := n.address(); ok {
			p.s.Join = append(p.s.Join, addr.String())
		}
	}) > 0
}

func (p *settingsParser) readControl(n node) {
	c := &ControlSettings{}
	p.s.Control = c
	n.object(
		field{"data_folder", true, func(n node) { c.DataFolder = readPath(n) }},
		field{"voters", true, p.readVoters},
		field{"disk_bytes", false, func(n node) { c.DiskBytes = int(n.integer(minDiskBytes, math.MaxInt64)) }},
	)
}

func (p *settingsParser) readVoters(n node) {
	count := n.list(slices.Max(voterCounts), p.readVoter)
	if count >= 0 && !slices.Contains(voterCounts, count) {
		n.problem("found %d voters, expected 3 or 5, or 1 for a trial", count)
	}
}

func (p *settingsParser) readVoter(n node) {
	v := PeerSettings{}
	nodes := voterNodes{}
	n.object(
		field{"host", true, func(n node) { nodes.host = n; v.Host = readHost(n) }},
		field{"peer_address", true, func(n node) {
			nodes.peerAddress = n
			if addr, ok := n.address(); ok {
				v.PeerAddress = addr.String()
			}
		}},
	)
	p.voters = append(p.voters, nodes)
	p.s.Control.Voters = append(p.s.Control.Voters, v)
}

func (p *settingsParser) readKeys(n node) {
	count := n.list(maxKeys, func(n node) {
		key, ok := n.key(minKeyBytes)
		if !ok {
			return
		}
		if slices.Contains(p.s.SessionKeys, key) {
			n.problem("the key stands twice, expected it once")
		}
		p.s.SessionKeys = append(p.s.SessionKeys, key)
	})
	if count == 0 {
		n.problem("expected at least one key")
	}
}

func (p *settingsParser) readLogLevel(n node) {
	s, ok := n.str("a log level")
	if !ok {
		return
	}
	if _, err := logrus.ParseLevel(s); err != nil {
		n.problem("found %s, expected one of trace, debug, info, warning, error, fatal, panic", n.text())
	}
	p.s.LogLevel = s
}

// check validates the constraints between fields.
func (p *settingsParser) check() {
	if p.s.Control == nil && !p.hasJoin {
		p.root.problem("expected at least one address in \"join\", as the host is no control host")
	}
	if p.tlsCert.isSet() != p.tlsKey.isSet() {
		p.root.problem("expected both \"tls_certificate\" and \"tls_key\", or neither")
	}
	p.checkKeys()
	p.checkPlainText()
	p.checkVoters()
}

// checkKeys sets the development key if no session keys are given. This is
// permitted only if every address is a loopback address.
func (p *settingsParser) checkKeys() {
	if len(p.s.SessionKeys) > 0 {
		return
	}
	for _, a := range p.addresses {
		if !a.addr.Addr().IsLoopback() {
			a.pos.problem("the address is no loopback address, expected \"session_keys\" with a key of at least %d bytes", minKeyBytes)
			return
		}
	}
	p.s.SessionKeys = []string{DevelopmentKey}
	p.s.UsesDevelopmentKey = true
}

func (p *settingsParser) checkVoters() {
	if p.s.Control == nil {
		return
	}
	hosts, addresses := map[table.HostID]bool{}, map[string]bool{}
	for i, v := range p.s.Control.Voters {
		nodes := p.voters[i]
		if v.Host != "" && hosts[v.Host] {
			nodes.host.problem("the host %q stands twice, expected it once", v.Host)
		}
		if v.PeerAddress != "" && addresses[v.PeerAddress] {
			nodes.peerAddress.problem("the address %s stands twice, expected it once", v.PeerAddress)
		}
		if v.Host == p.s.Host && v.PeerAddress != p.s.PeerAddress && v.PeerAddress != "" {
			nodes.peerAddress.problem("found %s, expected the peer_address of this host, %s", v.PeerAddress, p.s.PeerAddress)
		}
		hosts[v.Host], addresses[v.PeerAddress] = true, true
	}
}
