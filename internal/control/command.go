// Package control implements the replicated state of the control hosts: service
// documents, the deployment, the term and primary of each group, the owners of
// instances and the keys of session tokens. Commands change the state in the
// order of the replicated log, so that every host computes the same state.
package control

import "github.com/amaranthweir/amaranthweir/internal/table"

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	PutDocument       *PutDocument       `json:"put_document,omitempty"`
	ReplaceDeployment *ReplaceDeployment `json:"replace_deployment,omitempty"`
	BeginTerm         *BeginTerm         `json:"begin_term,omitempty"`
	SetPrimary        *SetPrimary        `json:"set_primary,omitempty"`
	NoteInstances     *NoteInstances     `json:"note_instances,omitempty"`
	AssignOwners      *AssignOwners      `json:"assign_owners,omitempty"`
	SetKeys           *SetKeys           `json:"set_keys,omitempty"`
}

// PutDocument replaces the document of a service. It is refused unless Version
// is exactly one above the version in force. A version that was accepted with
// the same digest before is accepted again and changes nothing. The version in
// force with another digest is refused as a conflict.
type PutDocument struct {
	Service  string `json:"service"`
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"` // config.DocumentDigest of Body
	Body     []byte `json:"body"`   // the document as the operator sent it
	Operator string `json:"operator,omitempty"`
}

// ReplaceDeployment replaces the configuration of all services if Version is
// above the version in force. Any other version is accepted and changes nothing:
// it is a resend, or a later version has been accepted meanwhile.
type ReplaceDeployment struct {
	Version uint64 `json:"version"`
	Body    []byte `json:"body"` // the deployment as the operator sent it
}

// BeginTerm begins Term and ends every lower term of the group. Once it is
// committed, no write under a lower term may be acknowledged, and Candidate is
// the only instance that may be promoted in Term. It creates a group that does
// not exist yet. It is refused unless Term is above the group's term.
type BeginTerm struct {
	Group     table.GroupName  `json:"group"`
	Term      table.Term       `json:"term"`
	Candidate table.InstanceID `json:"candidate"`
	// LogTermInDoubt becomes that of the group, see table.Group. It stays set until
	// the next SetPrimary.
	LogTermInDoubt bool `json:"log_term_in_doubt,omitempty"`
}

// SetPrimary records that the candidate of Term is promoted. It is refused
// unless Term is the group's term and Primary is its candidate.
type SetPrimary struct {
	Group     table.GroupName  `json:"group"`
	Term      table.Term       `json:"term"`
	Primary   table.InstanceID `json:"primary"`
	TermStart table.Position   `json:"term_start"`
	// LogTerm is the term of Primary's log, or zero if that is Term.
	LogTerm table.Term `json:"log_term,omitempty"`
	// PromotionOpen becomes that of the group, see table.Group.
	PromotionOpen bool `json:"promotion_open,omitempty"`
}

// NoteInstances records the addresses of instances and removes the instances in
// Gone. After a restart of all control hosts the instances are thus known before
// their next announcement. The recorded instances do not affect any other
// command.
type NoteInstances struct {
	Known []table.Instance   `json:"known,omitempty"`
	Gone  []table.InstanceID `json:"gone,omitempty"`
}

// AssignOwners assigns instances to owner hosts. Each assignment is accepted or
// refused on its own; it is refused unless its epoch is exactly one above the
// instance's epoch in force.
type AssignOwners struct {
	Ownerships []table.Ownership `json:"ownerships"`
}

// SetKeys replaces the keys of session tokens. The first key signs tokens, and
// all keys verify them. It is refused unless Version is exactly one above the
// version in force.
type SetKeys struct {
	Version uint64   `json:"version"`
	Keys    [][]byte `json:"keys"`
}
