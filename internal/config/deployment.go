package config

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// ClassName names a class of a route: of its statements that may write, or of
// those that only read.
func ClassName(database string, writes bool) string {
	if writes {
		return database + "/writes"
	}
	return database + "/reads"
}

// Consistency says what the reads of a route must see.
type Consistency uint8

// The consistencies.
const (
	// ConsistencyCurrent reads see every acknowledged write.
	ConsistencyCurrent Consistency = iota
	// ConsistencyBounded reads may be as old as the staleness of the route.
	ConsistencyBounded
	// ConsistencySession reads see the writes of their own session besides.
	ConsistencySession
)

// Route leads the callers of one database to a group.
type Route struct {
	Database    string
	Group       table.GroupName
	Consistency Consistency
	// Staleness is how old the data of a read may be, unless it must be current.
	Staleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Objective is how soon a whole operation should be answered.
	Objective time.Duration
	Rank      Rank
}

// GroupLimits states what a deployment says of one group.
type GroupLimits struct {
	Name table.GroupName
	// Connections is how many open connections each instance accepts.
	Connections int
	// AckReplicas is how many replicas hold a write before its instance
	// acknowledges it.
	AckReplicas int
}

// Deployment is the whole configuration of all services, as one version.
type Deployment struct {
	Version uint64
	Routes  []Route
	Groups  []GroupLimits
	// IdleTransaction is how long a transaction may wait for its next
	// statement; zero is no bound.
	IdleTransaction time.Duration
}

// routeFloors is the share of the slots, in percent, that each rank keeps while
// more urgent ranks flood: the service documents of the same work state it.
var routeFloors = [RankCount]int{RankNormal: 30, RankBackground: 5}

// Documents returns the deployment as one document a database.
func (d *Deployment) Documents() map[string]*Document {
	limits := make(map[table.GroupName]GroupLimits, len(d.Groups))
	for _, g := range d.Groups {
		limits[g.Name] = g
	}
	out := make(map[string]*Document, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		out[r.Database] = r.document(d.Version, limits[r.Group])
	}
	return out
}

func (r *Route) document(version uint64, limits GroupLimits) *Document {
	class := Class{
		Rank: r.Rank, Groups: []table.GroupName{r.Group}, Deadline: r.Timeout, Objective: r.Objective, Worth: 1,
	}
	writes, reads := class, class
	writes.Name, writes.Access = ClassName(r.Database, true), AccessWrite
	reads.Name, reads.Access, reads.Repeatable = ClassName(r.Database, false), AccessRead, true
	if r.Consistency != ConsistencyCurrent {
		reads.Staleness = r.Staleness
	}
	return &Document{
		Service: r.Database,
		Version: version,
		// With the primary, each replica that may have to hold a write.
		Groups:     []GroupSpec{{Name: r.Group, Instances: 1 + limits.AckReplicas}},
		Classes:    []Class{writes, reads},
		Default:    writes.Name,
		RankFloors: routeFloors,
	}
}

// Connections returns how many connections an instance of the group accepts,
// and false for a group that the deployment does not name.
func (d *Deployment) Connections(group table.GroupName) (int, bool) {
	for _, g := range d.Groups {
		if g.Name == group {
			return g.Connections, true
		}
	}
	return 0, false
}
