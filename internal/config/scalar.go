package config

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// namePattern matches the valid names of services, groups, classes, hosts,
// instances and failure domains. A matching name is also valid as a PostgreSQL
// database name and as a metric label.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]{0,61}[a-z0-9])?$`)

// NameExpected describes a valid name in error messages.
const NameExpected = "1 to 63 lower-case letters, digits, '-' or '_'"

// ValidName reports whether s is a valid name of a service, group, class, host,
// instance or failure domain.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// literal returns the value as a literal of the given kind, or records a problem
// and returns false.
func (n node) literal(kind hujson.Kind, expected string) (hujson.Literal, bool) {
	lit, ok := n.val.Value.(hujson.Literal)
	if !ok || lit.Kind() != kind {
		n.problem("found %s, expected %s", n.text(), expected)
		return nil, false
	}
	return lit, true
}

// str returns the value of a string. If the value is not a string, str records a
// problem and returns false.
func (n node) str(expected string) (string, bool) {
	lit, ok := n.literal('"', expected)
	if !ok {
		return "", false
	}
	return lit.String(), true
}

// name returns a valid name, or records a problem and returns false.
func (n node) name() (string, bool) {
	s, ok := n.str(NameExpected)
	if !ok {
		return "", false
	}
	if !ValidName(s) {
		n.problem("found %s, expected %s", n.text(), NameExpected)
		return "", false
	}
	return s, true
}

// boolean returns true or false. If the value is neither, boolean records a
// problem and returns false.
func (n node) boolean() bool {
	lit, ok := n.val.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		n.problem("found %s, expected true or false", n.text())
		return false
	}
	return lit.Kind() == 't'
}

// integer returns an integer from low to high. If the value is anything else,
// integer records a problem and returns low.
func (n node) integer(low, high uint64) uint64 {
	lit, ok := n.val.Value.(hujson.Literal)
	if ok && lit.Kind() == '0' {
		v, err := strconv.ParseUint(string(lit), 10, 64)
		if err == nil && v >= low && v <= high {
			return v
		}
	}
	n.problem("found %s, expected a whole number from %d to %d", n.text(), low, high)
	return low
}

// number returns a number from zero to high. If the value is anything else,
// number records a problem and returns zero.
func (n node) number(high float64) float64 {
	lit, ok := n.val.Value.(hujson.Literal)
	if ok && lit.Kind() == '0' {
		v, err := strconv.ParseFloat(string(lit), 64)
		if err == nil && v >= 0 && v <= high {
			return v
		}
	}
	n.problem("found %s, expected a number from 0 to %g", n.text(), high)
	return 0
}

// duration returns the duration in a string such as "250ms", from low to high.
// If the value is anything else, duration records a problem and returns low.
func (n node) duration(low, high time.Duration) time.Duration {
	const expected = `a duration with its unit, such as "250ms" or "2s"`
	s, ok := n.str(expected)
	if !ok {
		return low
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		n.problem("found %s, expected %s (units ns, us, ms, s, m, h)", n.text(), expected)
		return low
	}
	if d < low || d > high {
		n.problem("found %s, expected a duration from %v to %v", n.text(), low, high)
		return low
	}
	return d
}

// address returns the value of an ip:port string with a nonzero port, or records
// a problem and returns false.
func (n node) address() (netip.AddrPort, bool) {
	const expected = "ip:port with an IP number, not a host name, and a port from 1 to 65535"
	s, ok := n.str(expected)
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		n.problem("found %s, expected %s", n.text(), expected)
		return netip.AddrPort{}, false
	}
	return addr, true
}

// key returns a hexadecimal key of at least low bytes, or records a problem and
// returns false. The message does not contain the key, which is a secret.
func (n node) key(low int) (string, bool) {
	s, ok := n.val.Value.(hujson.Literal)
	if !ok || s.Kind() != '"' {
		n.problem("expected a string of at least %d hexadecimal digits", 2*low)
		return "", false
	}
	raw, err := hex.DecodeString(s.String())
	if err != nil || len(raw) < low {
		n.problem("found %d characters, expected at least %d hexadecimal digits", len(s.String()), 2*low)
		return "", false
	}
	return s.String(), true
}

// choice returns the index of the value in names. If it is not one of them,
// choice records a problem and returns 0.
func choice[T ~uint8](n node, names []string, expected string) T {
	s, ok := n.str("one of " + expected)
	if !ok {
		return 0
	}
	for i, name := range names {
		if s == name {
			return T(i)
		}
	}
	n.problem("found %s, expected one of %s", n.text(), expected)
	return 0
}
