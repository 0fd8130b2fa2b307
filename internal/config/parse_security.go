package config

import (
	"encoding/hex"
	"net/netip"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/amaranthweir/amaranthweir/internal/auth"
)

// Defaults of the login to instances.
const (
	DefaultUpstreamUser     = "amaranthweir"
	DefaultUpstreamDatabase = "postgres"
)

// Bounds of the lists of who may speak.
const (
	maxUsers     = 10_000
	maxOperators = 100
	// maxUserBytes bounds the name of a PostgreSQL user or database.
	maxUserBytes = 63
)

// securityFields are the fields about who may speak, and in which way.
func (p *settingsParser) securityFields() []field {
	s := &p.s
	return []field{
		{"users", false, p.readUsers},
		{"require_tls", false, func(n node) { p.requireTLS = n; s.RequireTLS = n.boolean() }},
		{"allow_plain_text", false, func(n node) { s.AllowPlainText = n.boolean() }},
		{"upstream", false, p.readUpstream},
		{"peer_tls", false, p.readPeerTLS},
		{"operators", false, p.readOperators},
		{"announce_token_sha256", false, func(n node) {
			if h, ok := n.tokenHash(); ok {
				s.AnnounceToken = &h
			}
		}},
	}
}

func (p *settingsParser) readUsers(n node) {
	count := n.list(maxUsers, func(n node) {
		var u User
		n.object(
			field{"name", true, func(n node) {
				u.Name = n.pgName()
				if u.Name != "" && slices.ContainsFunc(p.s.Users, func(o User) bool { return o.Name == u.Name }) {
					n.problem("the user %q stands twice, expected it once", u.Name)
				}
			}},
			field{"scram", true, func(n node) { u.Verifier = n.verifier() }},
		)
		p.s.Users = append(p.s.Users, u)
	})
	if count == 0 {
		n.problem("expected at least one user")
	}
}

func (p *settingsParser) readUpstream(n node) {
	u := &p.s.Upstream
	n.object(
		field{"user", false, func(n node) { u.User = n.pgName() }},
		field{"password_file", false, func(n node) { u.PasswordFile = readFile(n) }},
		field{"database", false, func(n node) { u.Database = n.pgName() }},
		field{"ca", false, func(n node) { u.CA = readFile(n) }},
	)
}

func (p *settingsParser) readPeerTLS(n node) {
	t := &PeerTLS{}
	p.s.PeerTLS = t
	n.object(
		field{"certificate", true, func(n node) { t.Certificate = readFile(n) }},
		field{"key", true, func(n node) { t.Key = readFile(n) }},
		field{"ca", true, func(n node) { t.CA = readFile(n) }},
	)
}

func (p *settingsParser) readOperators(n node) {
	count := n.list(maxOperators, func(n node) {
		var o auth.Operator
		n.object(
			field{"name", true, func(n node) {
				o.Name, _ = n.name()
				if o.Name != "" && slices.ContainsFunc(p.s.Operators, func(other auth.Operator) bool { return other.Name == o.Name }) {
					n.problem("the operator %q stands twice, expected it once", o.Name)
				}
			}},
			field{"token_sha256", true, func(n node) {
				h, ok := n.tokenHash()
				if ok && slices.ContainsFunc(p.s.Operators, func(other auth.Operator) bool { return other.Token == h }) {
					n.problem("another operator has the same token, expected one for each")
				}
				o.Token = h
			}},
		)
		p.s.Operators = append(p.s.Operators, o)
	})
	if count == 0 {
		n.problem("expected at least one operator")
	}
}

// checkPlainText refuses plain text and trust beyond loopback, unless the
// settings state them.
func (p *settingsParser) checkPlainText() {
	s := &p.s
	certificate := p.tlsCert.given()
	if s.RequireTLS && !certificate {
		p.requireTLS.problem("expected \"tls_certificate\" and \"tls_key\" with it")
	}
	if s.AllowPlainText {
		return
	}
	const orState = ", or \"allow_plain_text\": true"
	if p.callerAt.beyondLoopback() {
		s.RequireTLS = true
		if len(s.Users) == 0 || !certificate {
			p.callerAt.problem("the address is no loopback address, expected \"users\", \"tls_certificate\" and \"tls_key\"" + orState)
		}
	}
	if p.peerAt.beyondLoopback() && s.PeerTLS == nil {
		p.peerAt.problem("the address is no loopback address, expected \"peer_tls\"" + orState)
	}
	if p.httpAt.beyondLoopback() && (len(s.Operators) == 0 || !certificate) {
		p.httpAt.problem("the address is no loopback address, expected \"operators\", \"tls_certificate\" and \"tls_key\"" + orState)
	}
}

// beyondLoopback reports whether n holds an address that other machines can
// reach.
func (n node) beyondLoopback() bool {
	if !n.given() {
		return false
	}
	text, _ := n.quoted()
	addr, err := netip.ParseAddrPort(text)
	return err == nil && !addr.Addr().IsLoopback()
}

// pgName reads the name of a PostgreSQL user or database.
func (n node) pgName() string {
	s, ok := n.str("a name")
	if ok && (s == "" || len(s) > maxUserBytes || slices.Contains([]byte(s), 0)) {
		n.problem("expected a name of 1 to %d bytes", maxUserBytes)
		return ""
	}
	return s
}

// quoted returns the text of a string, and reports no problem.
func (n node) quoted() (string, bool) {
	lit, ok := n.val.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

// verifier reads a verifier of a password. The message does not repeat it.
func (n node) verifier() auth.Verifier {
	lit, ok := n.quoted()
	v, err := auth.ParseVerifier(lit)
	if !ok || err != nil {
		n.problem("%v; amaranthweir hash-password makes one", auth.ErrVerifier)
	}
	return v
}

// tokenHash reads the SHA-256 of a token. The message does not repeat it.
func (n node) tokenHash() (auth.TokenHash, bool) {
	var h auth.TokenHash
	lit, ok := n.quoted()
	raw, err := hex.DecodeString(lit)
	if !ok || err != nil || len(raw) != len(h) {
		n.problem("expected the SHA-256 of a token, %d hexadecimal digits", 2*len(h))
		return h, false
	}
	copy(h[:], raw)
	return h, true
}
