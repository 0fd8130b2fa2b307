package host

import (
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/control"
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
