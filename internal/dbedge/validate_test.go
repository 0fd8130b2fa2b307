package dbedge_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

func validAnnouncement() dbedge.Announcement {
	return dbedge.Announcement{
		Group: "g", Instance: "i-1", Address: "10.0.0.1:80", Domain: "a", Role: "replica", Slots: 3, Born: 1_700_000_000_000, Sequence: 4,
	}
}

func TestValidAnnouncements(t *testing.T) {
	for name, change := range map[string]func(*dbedge.Announcement){
		"usual":      func(*dbedge.Announcement) {},
		"IPv6":       func(a *dbedge.Announcement) { a.Address = "[2001:db8::1]:65535" },
		"no numbers": func(a *dbedge.Announcement) { a.Born, a.Sequence = 0, 0 },
		"limits": func(a *dbedge.Announcement) {
			a.Slots, a.Born, a.Sequence = dbedge.MaxSlots, dbedge.MaxBorn, dbedge.MaxSequence
		},
		"longest name":  func(a *dbedge.Announcement) { a.Instance = table.InstanceID(repeated[:dbedge.MaxNameBytes]) },
		"last, at most": func(a *dbedge.Announcement) { a.Gone = true },
		"last, at least": func(a *dbedge.Announcement) {
			*a = dbedge.Announcement{Instance: "i-1", Gone: true}
		},
	} {
		a := validAnnouncement()
		change(&a)
		assert.NilError(t, a.Validate(), name)
	}
}

// An announcement that no instance sends must be refused: the group would wait for
// an instance that is not there, and true announcements would count as late.
func TestInvalidAnnouncements(t *testing.T) {
	for name, change := range map[string]func(*dbedge.Announcement){
		"no id":                      func(a *dbedge.Announcement) { a.Instance = "" },
		"id with blank":              func(a *dbedge.Announcement) { a.Instance = "i 1" },
		"id with line feed":          func(a *dbedge.Announcement) { a.Instance = "i-1\nSTATUS" },
		"id with carriage":           func(a *dbedge.Announcement) { a.Instance = "i-1\r" },
		"id with NUL":                func(a *dbedge.Announcement) { a.Instance = "i\x00" },
		"id not ASCII":               func(a *dbedge.Announcement) { a.Instance = "i\xff" },
		"long id":                    func(a *dbedge.Announcement) { a.Instance += table.InstanceID(repeated) },
		"group with blank":           func(a *dbedge.Announcement) { a.Group = "g h" },
		"no group":                   func(a *dbedge.Announcement) { a.Group = "" },
		"long domain":                func(a *dbedge.Announcement) { a.Domain = table.Domain(repeated) },
		"no address":                 func(a *dbedge.Announcement) { a.Address = "" },
		"port 65536":                 func(a *dbedge.Announcement) { a.Address = "10.0.0.1:65536" },
		"port 0":                     func(a *dbedge.Announcement) { a.Address = "10.0.0.1:0" },
		"port -1":                    func(a *dbedge.Announcement) { a.Address = "10.0.0.1:-1" },
		"port name":                  func(a *dbedge.Announcement) { a.Address = "10.0.0.1:http" },
		"other form of a port":       func(a *dbedge.Announcement) { a.Address = "10.0.0.1:080" },
		"no port":                    func(a *dbedge.Announcement) { a.Address = "10.0.0.1" },
		"host name":                  func(a *dbedge.Announcement) { a.Address = "db.example:80" },
		"any address":                func(a *dbedge.Announcement) { a.Address = "0.0.0.0:80" },
		"multicast":                  func(a *dbedge.Announcement) { a.Address = "224.0.0.1:80" },
		"broadcast":                  func(a *dbedge.Announcement) { a.Address = "255.255.255.255:80" },
		"IPv4 in IPv6":               func(a *dbedge.Announcement) { a.Address = "[::ffff:10.0.0.1]:80" },
		"IPv6 with zone":             func(a *dbedge.Announcement) { a.Address = "[fe80::1%eth0]:80" },
		"unknown role":               func(a *dbedge.Announcement) { a.Role = "witness" },
		"no slots":                   func(a *dbedge.Announcement) { a.Slots = 0 },
		"negative slots":             func(a *dbedge.Announcement) { a.Slots = math.MinInt },
		"too many slots":             func(a *dbedge.Announcement) { a.Slots = math.MaxInt },
		"negative connections":       func(a *dbedge.Announcement) { a.Connections = -1 },
		"too many connections":       func(a *dbedge.Announcement) { a.Connections = math.MaxInt },
		"born late":                  func(a *dbedge.Announcement) { a.Born = math.MaxUint64 },
		"high sequence":              func(a *dbedge.Announcement) { a.Sequence = math.MaxUint64 },
		"last with id of lines":      func(a *dbedge.Announcement) { a.Gone, a.Instance = true, "i\n" },
		"last with an invalid group": func(a *dbedge.Announcement) { a.Gone, a.Group = true, "g\n" },
		"last that is born late":     func(a *dbedge.Announcement) { a.Gone, a.Born = true, dbedge.MaxBorn+1 },
	} {
		a := validAnnouncement()
		change(&a)
		err := a.Validate()
		var invalid *dbedge.InvalidAnnouncementError
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", name, err)
		assert.Assert(t, len(err.Error()) < 1000, "%s: the error quotes too much", name)
	}
}

// repeated is longer than any name.
var repeated = strings.Repeat("x", 60_000)
