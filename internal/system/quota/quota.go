// Package quota limits the operations of workspaces over all hosts. The Granter,
// at the control leader, mints operations at the rate of each workspace and
// grants them to entry hosts, which keep them in a Holder until they are used.
//
// The two together never let through more than Bound operations of a workspace
// in any window, whichever hosts and leaders reach each other:
//
//   - What a leader has minted and not granted, plus what hosts hold of its
//     grants, never exceeds its cap, which is at most Reserve.
//   - A new leader knows nothing of the grants of earlier ones. It starts with
//     nothing, and its cap grows to Reserve within GranterExpiry, when all earlier
//     grants have expired. The grants of all leaders together stay under twice
//     Reserve.
//   - No two leaders mint at the same time, because a leader needs a valid lease.
//
// Package quota neither reads a clock nor does I/O: callers pass each moment as
// a time.Duration on a local clock that keeps running while the machine is
// suspended. Its types are not safe for concurrent use.
package quota

import (
	"math"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// HolderExpiry is how long a host may use its stock after it sent the latest
	// call that a leader answered. An election usually takes less time.
	HolderExpiry = 2 * time.Second
	// GranterExpiry is how long a granter counts the stock of a silent host. It
	// exceeds HolderExpiry by more than clocks may differ in rate.
	GranterExpiry = 2100 * time.Millisecond
	// minReserve lets a workspace with the smallest limit run single operations.
	minReserve = 1
)

// Limit is the limit of one workspace.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Bound returns how many operations of a workspace may run in one window.
func Bound(s *config.QuotaSettings, l Limit) float64 {
	return (l.RatePerSecond*s.Window.Seconds()+l.Burst)*(1+s.Overshoot) + s.Tolerance
}

// Reserve returns how many operations one leader may have minted that have not
// been used: half of what may run in a window beyond what is minted in it.
func Reserve(s *config.QuotaSettings, l Limit) float64 {
	return math.Max(minReserve, (Bound(s, l)-l.RatePerSecond*s.Window.Seconds())/2)
}

// LimitsOf returns the limits of the workspaces that have one, by name.
func LimitsOf(d *config.Deployment) map[string]Limit {
	limits := map[string]Limit{}
	if d == nil {
		return limits
	}
	for i := range d.Workspaces {
		if w := &d.Workspaces[i]; w.RatePerSecond > 0 {
			limits[w.Name] = Limit{RatePerSecond: w.RatePerSecond, Burst: w.Burst}
		}
	}
	return limits
}

// Report is what an entry host tells the leader. The calls of a host are serial.
// The host never applies the answer to a call that it has given up.
type Report struct {
	Host        table.HostID `json:"h"`
	Incarnation uint64       `json:"i"`
	Sequence    uint64       `json:"s"`
	// Leadership identifies the leader that granted what the host holds.
	Leadership uint64 `json:"l,omitempty"`
	// Applied is the sequence number of the latest call whose answer was applied.
	Applied uint64 `json:"a,omitempty"`
	// Entries hold the workspaces that the host holds, wants or gives back
	// operations of. The host holds nothing of any other workspace.
	Entries []Entry `json:"e,omitempty"`
}

// Entry is the part of a report about one workspace. Its numbers count
// operations.
type Entry struct {
	Workspace string
	// Held includes operations that were taken and may still be returned.
	Held int
	// Waiting is the number of requests that wait for an operation.
	Waiting int
	// Wanted is how many more operations the host would like to have in stock.
	Wanted int
	// GivenBack is the number of unused operations that the host gives up.
	GivenBack int
}

// Answer is the leader's answer to a report.
type Answer struct {
	Leadership uint64  `json:"l"`
	Grants     []Grant `json:"g,omitempty"`
}

// Grant is the part of an answer about one workspace.
type Grant struct {
	Workspace string
	// Granted is a number of operations.
	Granted int
	// RetryMillis is set if the workspace has reached its limit: the host should
	// refuse requests for that time and then ask again.
	RetryMillis int64
}
