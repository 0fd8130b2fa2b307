package config

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// ClassName returns the name of a class of the route for database: the class
// of statements that may write, or the class of read-only statements.
func ClassName(database string, writes bool) string {
	if writes {
		return database + "/writes"
	}
	return database + "/reads"
}

// Consistency is the consistency level of the reads of a route.
type Consistency uint8

// The consistency levels.
const (
	// ConsistencyCurrent: reads see every acknowledged write.
	ConsistencyCurrent Consistency = iota
	// ConsistencyBounded: reads may lag by up to the staleness of the route.
	ConsistencyBounded
	// ConsistencySession: reads may lag by up to the staleness of the route, but
	// always see the writes of their own session.
	ConsistencySession
)

// Route maps the callers of one database to a group.
type Route struct {
	Database    string
	Group       table.GroupName
	Consistency Consistency
	// Staleness is the maximum age of the data that a read returns. It is
	// ignored for ConsistencyCurrent.
	Staleness time.Duration
	// Timeout limits the duration of one statement.
	Timeout time.Duration
	// Objective is the target latency of both classes of the route.
	Objective time.Duration
	Rank      Rank
	// Public is set for a route that callers use without a key.
	Public bool
}

// GroupLimits holds the limits that a deployment sets for one group.
type GroupLimits struct {
	Name table.GroupName
	// Connections is the number of open connections that each instance accepts.
	Connections int
	// AckReplicas is the number of replicas that must hold a write before its
	// instance acknowledges it.
	AckReplicas int
}

// Deployment is the configuration of all services under a single version.
type Deployment struct {
	Version uint64
	Routes  []Route
	Groups  []GroupLimits
	// Workspaces are the tenants whose keys callers present. Callers need no key if
	// it is nil: the deployment has no notion of workspaces.
	Workspaces []Workspace
	// IdleTransaction is how long a transaction may be idle between statements.
	// Zero means no limit.
	IdleTransaction time.Duration
}

// routeFloors is the share of the slots, in percent, that is guaranteed to each
// rank when more urgent ranks are overloaded. The service documents for the same
// workload state the same floors.
var routeFloors = [RankCount]int{RankNormal: 30, RankBackground: 5}

// Documents returns the deployment as one document per database.
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
	// The instance itself waits for any replica. The owner waits for one that the
	// control hosts count.
	writes.AckReplicas = min(1, limits.AckReplicas)
	reads.Name, reads.Access, reads.Repeatable = ClassName(r.Database, false), AccessRead, true
	if r.Consistency != ConsistencyCurrent {
		reads.Staleness = r.Staleness
	}
	return &Document{
		Service: r.Database,
		Version: version,
		// The primary and each replica that must hold a write.
		Groups:     []GroupSpec{{Name: r.Group, Instances: 1 + limits.AckReplicas}},
		Classes:    []Class{writes, reads},
		Default:    writes.Name,
		RankFloors: routeFloors,
	}
}

// Connections returns the number of connections that an instance of the group
// accepts, and false if the deployment does not list the group.
func (d *Deployment) Connections(group table.GroupName) (int, bool) {
	for _, g := range d.Groups {
		if g.Name == group {
			return g.Connections, true
		}
	}
	return 0, false
}
