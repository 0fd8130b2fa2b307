package config

import (
	"encoding/hex"
	"net/netip"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/amaranthweir/amaranthweir/internal/auth"
)

// Default credentials for logging in to instances.
const (
	DefaultUpstreamUser     = "amaranthweir"
	DefaultUpstreamDatabase = "postgres"
)

// Limits of the lists of users and operators.
const (
	maxUsers     = 10_000
	maxOperators = 100
	// maxUserBytes is the maximum length of the name of a PostgreSQL user or
	// database.
	maxUserBytes = 63
)

// securityFields returns the fields for authentication and encryption.
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
		field{"password_file", false, func(n node) { u.PasswordFile = readPath(n) }},
		field{"database", false, func(n node) { u.Database = n.pgName() }},
		field{"ca", false, func(n node) { u.CA = readPath(n) }},
	)
}

func (p *settingsParser) readPeerTLS(n node) {
	t := &PeerTLS{}
	p.s.PeerTLS = t
	n.object(
		field{"certificate", true, func(n node) { t.Certificate = readPath(n) }},
		field{"key", true, func(n node) { t.Key = readPath(n) }},
		field{"ca", true, func(n node) { t.CA = readPath(n) }},
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

// checkPlainText rejects plain text and unauthenticated access on addresses
// other than loopback, unless allow_plain_text permits them.
func (p *settingsParser) checkPlainText() {
	s := &p.s
	hasCertificate := p.tlsCert.isSet()
	if s.RequireTLS && !hasCertificate {
		p.requireTLS.problem("expected \"tls_certificate\" and \"tls_key\" with it")
	}
	if s.AllowPlainText {
		return
	}
	const orAllowPlainText = ", or \"allow_plain_text\": true"
	if p.callerAddress.isNonLoopback() {
		s.RequireTLS = true
		if len(s.Users) == 0 || !hasCertificate {
			p.callerAddress.problem("the address is no loopback address, expected \"users\", \"tls_certificate\" and \"tls_key\"" + orAllowPlainText)
		}
	}
	if p.peerAddress.isNonLoopback() && s.PeerTLS == nil {
		p.peerAddress.problem("the address is no loopback address, expected \"peer_tls\"" + orAllowPlainText)
	}
	if p.httpAddress.isNonLoopback() && (len(s.Operators) == 0 || !hasCertificate) {
		p.httpAddress.problem("the address is no loopback address, expected \"operators\", \"tls_certificate\" and \"tls_key\"" + orAllowPlainText)
	}
}

// isNonLoopback reports whether n holds an address that is not a loopback
// address, so that other machines can reach it.
func (n node) isNonLoopback() bool {
	if !n.isSet() {
		return false
	}
	s, _ := n.stringValue()
	addr, err := netip.ParseAddrPort(s)
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

// stringValue returns the value of a string, or false if the value is not a
// string. Unlike str, it records no problem.
func (n node) stringValue() (string, bool) {
	lit, ok := n.val.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

// verifier reads the verifier of a password. The message of a problem does not
// contain the verifier.
func (n node) verifier() auth.Verifier {
	s, ok := n.stringValue()
	v, err := auth.ParseVerifier(s)
	if !ok || err != nil {
		n.problem("%v; amaranthweir hash-password makes one", auth.ErrVerifier)
	}
	return v
}

// tokenHash reads the SHA-256 of a token. The message of a problem does not
// contain the value.
func (n node) tokenHash() (auth.TokenHash, bool) {
	var h auth.TokenHash
	s, ok := n.stringValue()
	raw, err := hex.DecodeString(s)
	if !ok || err != nil || len(raw) != len(h) {
		n.problem("expected the SHA-256 of a token, %d hexadecimal digits", 2*len(h))
		return h, false
	}
	copy(h[:], raw)
	return h, true
}
