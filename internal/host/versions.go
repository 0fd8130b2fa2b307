package host

import (
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// reportedVersions holds the document versions that this host has reported to
// the leader. The zero value means that nothing has been reported. It is not
// safe for concurrent use.
type reportedVersions struct {
	versions   map[string]uint64 // nil until the leader has acknowledged a report
	leadership uint64            // the leadership that last acknowledged
}

// unreported returns the versions in force for a heartbeat, or nil if the leader
// has acknowledged them already.
func (r *reportedVersions) unreported(v *control.View) map[string]uint64 {
	versions := make(map[string]uint64, len(v.Documents))
	for service, doc := range v.Documents {
		versions[service] = doc.Version
	}
	if r.versions != nil && maps.Equal(versions, r.versions) {
		return nil
	}
	return versions
}

// acknowledge records that a leader processed a heartbeat with these versions.
// A new leadership knows only what was reported to it, so nil versions then
// cause a new report.
func (r *reportedVersions) acknowledge(leadership uint64, versions map[string]uint64) {
	if leadership != r.leadership || versions != nil {
		r.versions = versions
	}
	r.leadership = leadership
}

// hostVersions holds the document versions that each host has reported to the
// leader. Consecutive reports of the same versions share one map.
type hostVersions struct {
	byHost map[table.HostID]map[string]uint64
	latest map[string]uint64
}

func newHostVersions() hostVersions {
	return hostVersions{byHost: map[table.HostID]map[string]uint64{}}
}

// update records the versions of a heartbeat. Nil means that they are unchanged.
func (v *hostVersions) update(host table.HostID, versions map[string]uint64) {
	if versions == nil {
		return
	}
	if !maps.Equal(versions, v.latest) {
		v.latest = versions
	}
	v.byHost[host] = v.latest
}
