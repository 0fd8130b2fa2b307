package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// changesKept is how many changes a state remembers for deltas.
const changesKept = 4096

// ErrLowerRevision means that a delta would take a view back.
var ErrLowerRevision = errors.New("control: the delta leads to a lower revision")

// ErrDeltaGap means that a delta begins after the revision of the view.
var ErrDeltaGap = errors.New("control: the delta begins after the revision of the view")

// Document is a service document in force.
type Document struct {
	Version uint64
	Digest  string
	Body    []byte
}

// Keys are the keys that sign session tokens.
type Keys struct {
	Version uint64
	Keys    [][]byte
}

// Deployment is the whole configuration of all services in force; the zero
// value is none.
type Deployment struct {
	Version uint64
	Body    []byte
}

// View is an immutable snapshot of the control state. Its maps are shared and
// must not be changed.
type View struct {
	// Revision counts the changes; a higher one holds all of a lower one.
	Revision   uint64
	Documents  map[string]Document
	Deployment Deployment
	Groups     map[table.GroupName]table.Group
	Owners     map[table.InstanceID]table.Ownership
	Keys       Keys
	// Instances is where instances were reached last. Deltas leave it out: hosts
	// have the tables of the leader.
	Instances map[table.InstanceID]table.Instance

	changes []change
}

// change names what a revision changed.
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

// NewView returns the view of a state in which nothing was changed yet.
func NewView() *View {
	return &View{
		Documents: map[string]Document{},
		Groups:    map[table.GroupName]table.Group{},
		Owners:    map[table.InstanceID]table.Ownership{},
	}
}

// encodedView is the JSON form of a view or of a part of it.
type encodedView struct {
	// From is the revision that the content builds on; with 0 it is whole.
	From       uint64                               `json:"from"`
	Revision   uint64                               `json:"revision"`
	Documents  map[string]Document                  `json:"documents,omitempty"`
	Groups     map[table.GroupName]table.Group      `json:"groups,omitempty"`
	Owners     map[table.InstanceID]table.Ownership `json:"owners,omitempty"`
	Keys       *Keys                                `json:"keys,omitempty"`
	Deployment *Deployment                          `json:"deployment,omitempty"`
	// Instances and History are only in snapshots of the state.
	Instances map[table.InstanceID]table.Instance `json:"instances,omitempty"`
	History   map[string][]pastVersion            `json:"history,omitempty"`
}

// EncodeDelta returns, as JSON, what changed after revision since. If the
// view does not remember that far back, it returns all.
func (v *View) EncodeDelta(since uint64) ([]byte, error) {
	if since == 0 || since > v.Revision || !v.remembers(since) {
		return json.Marshal(v.whole())
	}
	e := encodedView{
		From: since, Revision: v.Revision,
		Documents: map[string]Document{},
		Groups:    map[table.GroupName]table.Group{},
		Owners:    map[table.InstanceID]table.Ownership{},
	}
	for i := len(v.changes) - 1; i >= 0 && v.changes[i].Revision > since; i-- {
		v.addTo(&e, v.changes[i])
	}
	return json.Marshal(e)
}

func (v *View) whole() encodedView {
	return encodedView{
		Revision: v.Revision, Documents: v.Documents, Groups: v.Groups, Owners: v.Owners, Keys: &v.Keys,
		Deployment: &v.Deployment,
	}
}

func (v *View) remembers(since uint64) bool {
	return since == v.Revision || len(v.changes) > 0 && v.changes[0].Revision <= since+1
}

func (v *View) addTo(e *encodedView, c change) {
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

// ApplyDelta returns the view that follows from v by a delta of EncodeDelta.
// It fails with ErrLowerRevision rather than go back, and with ErrDeltaGap
// where the delta does not connect; v itself is not changed. A delta that
// brings nothing new gives v.
func (v *View) ApplyDelta(data []byte) (*View, error) {
	var e encodedView
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("control: the delta cannot be read: %w", err)
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

// merged returns base with more laid over it, and base itself if more is
// empty.
func merged[K comparable, V any](base, more map[K]V) map[K]V {
	if len(more) == 0 {
		return base
	}
	all := maps.Clone(base)
	maps.Copy(all, more)
	return all
}
