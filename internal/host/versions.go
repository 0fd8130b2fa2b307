package host

import (
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// toldVersions is what the leader knows of the documents in force at this
// host. The zero value knows nothing. It is not safe for concurrent use.
type toldVersions struct {
	versions   map[string]uint64 // nil while the leader must be told
	leadership uint64            // the time in office that was told
}

// next returns the versions in force for a heartbeat, or nil if the leader
// knows them.
func (t *toldVersions) next(v *control.View) map[string]uint64 {
	versions := make(map[string]uint64, len(v.Documents))
	for service, doc := range v.Documents {
		versions[service] = doc.Version
	}
	if t.versions != nil && maps.Equal(versions, t.versions) {
		return nil
	}
	return versions
}

// answered notes that a leader took a heartbeat with these versions. One whose
// time in office has begun since knows only what it was told itself.
func (t *toldVersions) answered(leadership uint64, versions map[string]uint64) {
	if leadership != t.leadership || versions != nil {
		t.versions = versions
	}
	t.leadership = leadership
}

// hostVersions is what the leader knows of the documents in force at each
// host. Hosts with the same versions share one map.
type hostVersions struct {
	byHost map[table.HostID]map[string]uint64
	latest map[string]uint64
}

func newHostVersions() hostVersions {
	return hostVersions{byHost: map[table.HostID]map[string]uint64{}}
}

// told takes the versions of a heartbeat; nil says that they are as before.
func (v *hostVersions) told(host table.HostID, versions map[string]uint64) {
	if versions == nil {
		return
	}
	if !maps.Equal(versions, v.latest) {
		v.latest = versions
	}
	v.byHost[host] = v.latest
}
