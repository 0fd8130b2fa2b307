package config

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// namePattern is what services, groups, classes, hosts and failure domains are
// called. It fits a PostgreSQL database name and a metric label.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]{0,61}[a-z0-9])?$`)

// NameExpected describes a valid name in messages.
const NameExpected = "1 to 63 lower-case letters, digits, '-' or '_'"

// ValidName reports whether s may name a service, group, class, host,
// instance or failure domain.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// literal returns the value as a literal of one kind.
func (n node) literal(kind hujson.Kind, expected string) (hujson.Literal, bool) {
	lit, ok := n.val.Value.(hujson.Literal)
	if !ok || lit.Kind() != kind {
		n.problem("found %s, expected %s", n.text(), expected)
		return nil, false
	}
	return lit, true
}

// str reads a string.
func (n node) str(expected string) (string, bool) {
	lit, ok := n.literal('"', expected)
	if !ok {
		return "", false
	}
	return lit.String(), true
}

// name reads a name.
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

// boolean reads true or false.
func (n node) boolean() bool {
	lit, ok := n.val.Value.(hujson.Literal)
	if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
		n.problem("found %s, expected true or false", n.text())
		return false
	}
	return lit.Kind() == 't'
}

// integer reads a whole number between low and high; it returns low after a
// problem.
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

// number reads a number between zero and high.
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

// duration reads a string such as "250ms" between low and high; it returns low
// after a problem.
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

// address reads ip:port.
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

// key reads a hexadecimal key of at least low bytes. The message does not
// repeat the key.
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

// choice reads one of the names and returns its index, or 0 after a problem.
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
