package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// minKeptChanges is the number of recent changes that a state keeps at least, for
// deltas. When it has twice as many, it drops the older half.
const minKeptChanges = 4096

// ErrLowerRevision means that a delta leads to a lower revision than that of the
// view.
var ErrLowerRevision = errors.New("control: the delta leads to a lower revision")

// ErrDeltaGap means that a delta starts from a higher revision than that of the
// view.
var ErrDeltaGap = errors.New("control: the delta begins after the revision of the view")

// Document is a service document in force.
type Document struct {
	Version uint64
	Digest  string
	Body    []byte
}

// Keys are the keys of session tokens. The first one signs, all of them verify.
type Keys struct {
	Version uint64
	Keys    [][]byte
}

// Deployment is the configuration of all services that is in force. The zero
// value means that there is none.
type Deployment struct {
	Version uint64
	Body    []byte
}

// View is an immutable snapshot of the control state. Its maps are shared and
// must not be changed.
type View struct {
	// Revision is the number of changes that the view includes. A view with a
	// higher revision includes all changes of a lower one.
	Revision   uint64
	Documents  map[string]Document
	Deployment Deployment
	Groups     map[table.GroupName]table.Group
	Owners     map[table.InstanceID]table.Ownership
	Keys       Keys
	// Instances holds the last recorded addresses of instances. Deltas do not
	// contain them, because hosts receive the instances with the leader's tables.
	Instances map[table.InstanceID]table.Instance

	changes []change
}

// change records what a revision changed. Name is the service, group or instance,
// or empty.
type change struct {
	Revision uint64
	Kind     changeKind
	Name     string
}

type changeKind uint8

const (
	changeDocument changeKind = iota
	changeGroup
	changeOwner
	changeKeys
	changeDeployment
	changeInstances
)

// NewView returns the view of the initial state, with revision 0.
func NewView() *View {
	return &View{
		Documents: map[string]Document{},
		Groups:    map[table.GroupName]table.Group{},
		Owners:    map[table.InstanceID]table.Ownership{},
	}
}

// encodedView is the JSON form of a view, or of a delta between two views.
type encodedView struct {
	// From is the revision to which a delta applies, and 0 for a complete view.
	From       uint64                               `json:"from"`
	Revision   uint64                               `json:"revision"`
	Documents  map[string]Document                  `json:"documents,omitempty"`
	Groups     map[table.GroupName]table.Group      `json:"groups,omitempty"`
	Owners     map[table.InstanceID]table.Ownership `json:"owners,omitempty"`
	Keys       *Keys                                `json:"keys,omitempty"`
	Deployment *Deployment                          `json:"deployment,omitempty"`
	// Instances and History are set only in snapshots of the state.
	Instances map[table.InstanceID]table.Instance `json:"instances,omitempty"`
	History   map[string][]acceptedVersion        `json:"history,omitempty"`
}

// EncodeDelta returns, as JSON, the changes after revision since. If the view no
// longer holds all of these changes, it returns the complete view.
func (v *View) EncodeDelta(since uint64) ([]byte, error) {
	if since == 0 || since > v.Revision || !v.hasChangesSince(since) {
		return json.Marshal(v.encodeFull())
	}
	e := encodedView{
		From: since, Revision: v.Revision,
		Documents: map[string]Document{},
		Groups:    map[table.GroupName]table.Group{},
		Owners:    map[table.InstanceID]table.Ownership{},
	}
	for i := len(v.changes) - 1; i >= 0 && v.changes[i].Revision > since; i-- {
		v.addChange(&e, v.changes[i])
	}
	return json.Marshal(e)
}

func (v *View) encodeFull() encodedView {
	return encodedView{
		Revision: v.Revision, Documents: v.Documents, Groups: v.Groups, Owners: v.Owners, Keys: &v.Keys,
		Deployment: &v.Deployment,
	}
}

// hasChangesSince reports whether v still holds all changes after revision since.
func (v *View) hasChangesSince(since uint64) bool {
	return since == v.Revision || len(v.changes) > 0 && v.changes[0].Revision <= since+1
}

// addChange adds the current content of what c changed to e.
func (v *View) addChange(e *encodedView, c change) {
	switch c.Kind {
	case changeDocument:
		e.Documents[c.Name] = v.Documents[c.Name]
	case changeGroup:
		e.Groups[table.GroupName(c.Name)] = v.Groups[table.GroupName(c.Name)]
	case changeOwner:
		e.Owners[table.InstanceID(c.Name)] = v.Owners[table.InstanceID(c.Name)]
	case changeKeys:
		e.Keys = &v.Keys
	case changeDeployment:
		e.Deployment = &v.Deployment
	}
}

// ApplyDelta returns the view that results from applying a delta of EncodeDelta
// to v. It returns ErrLowerRevision for a delta to a lower revision,
// ErrDeltaGap for one that starts after the revision of v, and v itself for one
// to the revision of v. It does not modify v.
func (v *View) ApplyDelta(data []byte) (*View, error) {
	var e encodedView
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("control: cannot decode the delta: %w", err)
	}
	return v.apply(e)
}

func (v *View) apply(e encodedView) (*View, error) {
	switch {
	case e.Revision < v.Revision:
		return nil, fmt.Errorf("%w: %d after %d", ErrLowerRevision, e.Revision, v.Revision)
	case e.From > v.Revision:
		return nil, fmt.Errorf("%w: %d after %d", ErrDeltaGap, e.From, v.Revision)
	case e.Revision == v.Revision:
		return v, nil
	}
	next := &View{Revision: e.Revision, Keys: v.Keys, Deployment: v.Deployment, Instances: e.Instances}
	if e.Deployment != nil {
		next.Deployment = *e.Deployment
	}
	if e.Keys != nil {
		next.Keys = *e.Keys
	}
	next.Documents = merged(v.Documents, e.Documents)
	next.Groups = merged(v.Groups, e.Groups)
	next.Owners = merged(v.Owners, e.Owners)
	return next, nil
}

// merged returns a copy of base in which the entries of updates are added or
// replaced. If updates is empty it returns base itself.
func merged[K comparable, V any](base, updates map[K]V) map[K]V {
	if len(updates) == 0 {
		return base
	}
	result := maps.Clone(base)
	maps.Copy(result, updates)
	return result
}
