package dbedge

import (
	"fmt"
	"net/netip"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The limits of the values in an announcement. What exceeds them was not sent by an
// instance: a port out of range, for example, would be dialled for ever, and the
// group would wait for the positions of an instance that is not there.
const (
	// MaxNameBytes is the length of the longest name of an instance, a group or a
	// failure domain.
	MaxNameBytes = 128
	// MaxSlots and MaxConnections bound the statements that an instance runs at once
	// and the connections that it accepts.
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxBorn bounds the start of an instance, in Unix milliseconds (the year 2248).
	// Instances are ordered by their starts, so that a start later than all others
	// would displace every instance that really starts at the same address. The
	// bound does not depend on the clock of the host, which may be wrong.
	MaxBorn = 1 << 43
	// MaxSequence bounds the number of an announcement since the start of the
	// instance: one every 10 ms for 300 years. A higher one would make all that
	// follow count as late.
	MaxSequence = 1 << 40
)

// InvalidAnnouncementError is returned for an announcement that no instance sends.
// It names no instance that can be used.
type InvalidAnnouncementError struct {
	Field    string // its name in the JSON form
	Found    string // not longer than maxFoundBytes
	Expected string
}

// maxFoundBytes bounds the part of an invalid value that an error quotes.
const maxFoundBytes = 80

// Error implements error.
func (e *InvalidAnnouncementError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Field, e.Found, e.Expected)
}

// Validate returns an *InvalidAnnouncementError unless every value is one that an
// instance may announce. Of a last announcement, only the name of the instance, its
// start and, if present, its group are relevant.
func (a *Announcement) Validate() error {
	if err := validateName("instance", string(a.Instance)); err != nil {
		return err
	}
	if err := validateCount("born", a.Born, MaxBorn); err != nil {
		return err
	}
	if err := validateCount("sequence", a.Sequence, MaxSequence); err != nil {
		return err
	}
	if a.Gone {
		if a.Group == "" {
			return nil
		}
		return validateName("group", string(a.Group))
	}
	return a.validateInstance()
}

// validateInstance checks the values that describe an instance in use.
func (a *Announcement) validateInstance() error {
	if err := validateName("group", string(a.Group)); err != nil {
		return err
	}
	if err := validateName("failure_domain", string(a.Domain)); err != nil {
		return err
	}
	if err := ValidateAddress(a.Address); err != nil {
		return err
	}
	if a.Role != table.RolePrimary.String() && a.Role != table.RoleReplica.String() {
		return invalid("role", a.Role, "primary or replica")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return invalidNumber("slots", a.Slots, 1, MaxSlots)
	}
	if a.Connections < 0 || a.Connections > MaxConnections {
		return invalidNumber("connections", a.Connections, 0, MaxConnections)
	}
	return nil
}

// validateName checks that a name is printable ASCII without blanks: names are sent
// as single words in messages to instances and appear in log lines.
func validateName(field, name string) error {
	valid := name != "" && len(name) <= MaxNameBytes
	for i := range len(name) {
		valid = valid && name[i] > ' ' && name[i] < 0x7f
	}
	if !valid {
		return invalid(field, name, fmt.Sprintf("1 to %d printable ASCII characters without blanks", MaxNameBytes))
	}
	return nil
}

func validateCount(field string, found, limit uint64) error {
	if found > limit {
		return invalidNumber(field, found, 0, limit)
	}
	return nil
}

// ValidateAddress checks that s is the ip:port of a single instance, to which a host
// can connect, in its canonical form: addresses are compared as text.
func ValidateAddress(s string) error {
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" || addr.String() != s || addr.Addr().Is4In6() {
		return invalid("address", s, "ip:port")
	}
	if addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() || addr.Addr() == broadcast {
		return invalid("address", s, "the address of one instance")
	}
	return nil
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func invalid(field, found, expected string) error {
	return &InvalidAnnouncementError{Field: field, Found: fmt.Sprintf("%.*q", maxFoundBytes, found), Expected: expected}
}

func invalidNumber[N int | uint64](field string, found, low, high N) error {
	return &InvalidAnnouncementError{
		Field: field, Found: fmt.Sprint(found), Expected: fmt.Sprintf("%d to %d", low, high),
	}
}
