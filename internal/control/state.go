package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxDocumentHistory is the number of versions kept per document, so that a
// resend of an accepted version gets its original answer.
const maxDocumentHistory = 64

// State is the replicated state. It is not safe for concurrent use, but the
// snapshots that View returns are.
type State struct {
	view View
	// history holds the latest versions of each document. The last one is in
	// force.
	history map[string][]acceptedVersion
	// The shared fields are set while a View refers to the map. The map is then
	// copied before the next change.
	sharedDocuments bool
	sharedGroups    bool
	sharedOwners    bool
}

// acceptedVersion is a document version that was accepted, and the revision at
// which it came into force.
type acceptedVersion struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{view: *NewView(), history: map[string][]acceptedVersion{}}
}

// Revision returns the number of changes so far.
func (s *State) Revision() uint64 { return s.view.Revision }

// View returns an immutable snapshot of the state.
func (s *State) View() *View {
	s.sharedDocuments, s.sharedGroups, s.sharedOwners = true, true, true
	v := s.view
	v.changes = slices.Clip(v.changes)
	return &v
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	e := s.view.encodeFull()
	e.History, e.Instances = s.history, s.view.Instances
	return json.Marshal(e)
}

// Restore replaces the state by one that Snapshot encoded.
func (s *State) Restore(data []byte) error {
	var e encodedView
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("control: cannot decode the snapshot: %w", err)
	}
	v, err := NewView().apply(e)
	if err != nil {
		return err
	}
	history := maps.Clone(e.History)
	if history == nil {
		history = map[string][]acceptedVersion{}
	}
	*s = State{view: *v, history: history, sharedDocuments: true, sharedGroups: true, sharedOwners: true}
	return nil
}

// Apply applies a command and returns its result. It is deterministic: the same
// commands in the same order produce the same state and the same results.
func (s *State) Apply(c Command) Result {
	switch {
	case c.PutDocument != nil:
		return s.putDocument(c.PutDocument)
	case c.ReplaceDeployment != nil:
		return s.replaceDeployment(c.ReplaceDeployment)
	case c.BeginTerm != nil:
		return s.beginTerm(c.BeginTerm)
	case c.SetPrimary != nil:
		return s.setPrimary(c.SetPrimary)
	case c.NoteInstances != nil:
		return s.noteInstances(c.NoteInstances)
	case c.AssignOwners != nil:
		return s.assignOwners(c.AssignOwners)
	case c.SetKeys != nil:
		return s.setKeys(c.SetKeys)
	default:
		return Result{Refusal: RefusedInvalid, Revision: s.Revision()}
	}
}

// recordChange increments the revision and records what it changed, for deltas.
func (s *State) recordChange(kind changeKind, name string) {
	s.view.Revision++
	if len(s.view.changes) >= 2*minKeptChanges {
		s.view.changes = slices.Clone(s.view.changes[minKeptChanges:])
	}
	s.view.changes = append(s.view.changes, change{Revision: s.view.Revision, Kind: kind, Name: name})
}

// writable returns m, or a copy of it if a View refers to m.
func writable[K comparable, V any](m map[K]V, shared *bool) map[K]V {
	if !*shared {
		return m
	}
	*shared = false
	return maps.Clone(m)
}

func (s *State) putDocument(p *PutDocument) Result {
	current := s.view.Documents[p.Service]
	for _, past := range s.history[p.Service] {
		if past.Version == p.Version && past.Digest == p.Digest {
			return documentResult(Accepted, past.Revision, p.Service, current)
		}
	}
	refusal := Accepted
	switch {
	case p.Version == current.Version && p.Version != 0:
		refusal = RefusedConflict
	case p.Version <= current.Version:
		refusal = RefusedOld
	case p.Version > current.Version+1:
		refusal = RefusedGap
	case p.Service == "" || p.Digest != config.DocumentDigest(p.Body):
		refusal = RefusedInvalid
	}
	if refusal != Accepted {
		return documentResult(refusal, s.Revision(), p.Service, current)
	}
	s.recordChange(changeDocument, p.Service)
	s.view.Documents = writable(s.view.Documents, &s.sharedDocuments)
	next := Document{Version: p.Version, Digest: p.Digest, Body: p.Body}
	s.view.Documents[p.Service] = next
	s.appendHistory(p.Service, acceptedVersion{p.Version, p.Digest, s.Revision()})
	return documentResult(Accepted, s.Revision(), p.Service, next)
}

func (s *State) replaceDeployment(d *ReplaceDeployment) Result {
	if d.Version > s.view.Deployment.Version {
		s.recordChange(changeDeployment, "")
		s.view.Deployment = Deployment{Version: d.Version, Body: d.Body}
	}
	return Result{Revision: s.Revision()}
}

// appendHistory adds an accepted version to the history of a document and drops
// the oldest beyond maxDocumentHistory.
func (s *State) appendHistory(service string, v acceptedVersion) {
	history := append(s.history[service], v)
	s.history[service] = slices.Clone(history[max(0, len(history)-maxDocumentHistory):])
}

func documentResult(r Refusal, revision uint64, service string, d Document) Result {
	inForce := &DocumentResult{Service: service, Version: d.Version, Digest: d.Digest}
	return Result{Refusal: r, Revision: revision, Document: inForce}
}

func (s *State) beginTerm(b *BeginTerm) Result {
	current, known := s.view.Groups[b.Group]
	if !known {
		current.Name = b.Group
	}
	refusal := Accepted
	switch {
	case b.Group == "" || b.Candidate == "":
		refusal = RefusedInvalid
	case b.Term == current.Term && b.Term != 0:
		refusal = RefusedConflict
	case b.Term <= current.Term:
		refusal = RefusedOld
	}
	if refusal != Accepted {
		return Result{Refusal: refusal, Revision: s.Revision(), Group: &current}
	}
	next := current
	next.Term, next.Candidate, next.Phase = b.Term, b.Candidate, table.PhasePromoting
	next.LogTermInDoubt = current.LogTermInDoubt || b.LogTermInDoubt
	next.PromotionOpen = false
	return s.putGroup(next)
}

func (s *State) setPrimary(p *SetPrimary) Result {
	current := s.view.Groups[p.Group]
	refusal := Accepted
	switch {
	case p.Term < current.Term:
		refusal = RefusedOld
	case p.Term > current.Term:
		refusal = RefusedGap
	case p.Term == 0 || p.Primary != current.Candidate:
		refusal = RefusedInvalid
	case current.Phase == table.PhaseStable && p.TermStart != current.TermStart:
		refusal = RefusedConflict
	}
	if refusal != Accepted || current.Phase == table.PhaseStable {
		return Result{Refusal: refusal, Revision: s.Revision(), Group: &current}
	}
	next := current
	next.Phase, next.Primary, next.TermStart = table.PhaseStable, p.Primary, p.TermStart
	next.LogTerm = p.LogTerm
	next.LogTermInDoubt, next.PromotionOpen = false, p.PromotionOpen
	next.History.Add(next.EffectiveLogTerm(), p.TermStart)
	return s.putGroup(next)
}

func (s *State) putGroup(g table.Group) Result {
	s.recordChange(changeGroup, string(g.Name))
	s.view.Groups = writable(s.view.Groups, &s.sharedGroups)
	s.view.Groups[g.Name] = g
	return Result{Revision: s.Revision(), Group: &g}
}

func (s *State) noteInstances(n *NoteInstances) Result {
	s.recordChange(changeInstances, "")
	next := maps.Clone(s.view.Instances)
	if next == nil {
		next = map[table.InstanceID]table.Instance{}
	}
	for _, in := range n.Known {
		next[in.ID] = in
	}
	for _, id := range n.Gone {
		delete(next, id)
	}
	s.view.Instances = next
	return Result{Revision: s.Revision()}
}

func (s *State) assignOwners(a *AssignOwners) Result {
	r := Result{Refusal: RefusedInvalid}
	for i, o := range a.Ownerships {
		answer := s.assignOwner(o)
		r.Owners = append(r.Owners, answer)
		if i == 0 || answer.Refusal == Accepted {
			r.Refusal = answer.Refusal
		}
	}
	r.Revision = s.Revision()
	return r
}

func (s *State) assignOwner(o table.Ownership) OwnerResult {
	current := s.view.Owners[o.Instance]
	switch {
	case o.Instance == "":
		return OwnerResult{RefusedInvalid, current}
	case o.Epoch == current.Epoch && o.Epoch != 0:
		return OwnerResult{RefusedConflict, current}
	case o.Epoch <= current.Epoch:
		return OwnerResult{RefusedOld, current}
	case o.Epoch > current.Epoch+1:
		return OwnerResult{RefusedGap, current}
	}
	s.recordChange(changeOwner, string(o.Instance))
	s.view.Owners = writable(s.view.Owners, &s.sharedOwners)
	s.view.Owners[o.Instance] = o
	return OwnerResult{Accepted, o}
}

func (s *State) setKeys(k *SetKeys) Result {
	current := s.view.Keys.Version
	refusal := Accepted
	switch {
	case len(k.Keys) == 0:
		refusal = RefusedInvalid
	case k.Version == current && current != 0:
		refusal = RefusedConflict
	case k.Version <= current:
		refusal = RefusedOld
	case k.Version > current+1:
		refusal = RefusedGap
	}
	if refusal != Accepted {
		return Result{Refusal: refusal, Revision: s.Revision(), KeysVersion: current}
	}
	s.recordChange(changeKeys, "")
	s.view.Keys = Keys{Version: k.Version, Keys: k.Keys}
	return Result{Revision: s.Revision(), KeysVersion: k.Version}
}

// name returns the name of the command that log lines show.
func (c Command) name() string {
	switch {
	case c.PutDocument != nil:
		return "put document"
	case c.ReplaceDeployment != nil:
		return "replace deployment"
	case c.BeginTerm != nil:
		return "begin term"
	case c.SetPrimary != nil:
		return "set primary"
	case c.NoteInstances != nil:
		return "note instances"
	case c.AssignOwners != nil:
		return "assign owners"
	case c.SetKeys != nil:
		return "set keys"
	default:
		return "empty command"
	}
}

// isConfiguration reports whether the command is what an operator sends. Those are
// large, and must leave room for the commands of the leader's systems.
func (c Command) isConfiguration() bool { return c.PutDocument != nil || c.ReplaceDeployment != nil }

// encode returns the JSON form of the command, which the replicated log stores.
func (c Command) encode() ([]byte, error) { return json.Marshal(c) }

func decodeCommand(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Command{}, fmt.Errorf("control: cannot decode the command: %w", err)
	}
	return c, nil
}
