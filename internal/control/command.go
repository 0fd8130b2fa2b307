// Package control is the replicated state of the control hosts: service
// documents, the term and primary of each group, the owners of instances and
// the lease duration. Commands change it, one after the other, in the order of
// the replicated log; the same commands give the same state on every host.
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

// PutDocument replaces the document of a service if Version is exactly one
// above the version in force. The same version with the same digest changes
// nothing and succeeds; with another digest it is refused as a conflict.
type PutDocument struct {
	Service  string `json:"service"`
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"` // of the content of Body, see config.DocumentDigest
	Body     []byte `json:"body"`   // the document as the operator wrote it
	Operator string `json:"operator,omitempty"`
}

// ReplaceDeployment replaces the whole configuration of all services if Version
// is above the version in force. Any other version changes nothing and
// succeeds: the operator has sent it before, or another one has overtaken it.
type ReplaceDeployment struct {
	Version uint64 `json:"version"`
	Body    []byte `json:"body"` // as the operator wrote it
}

// BeginTerm ends every lower term of the group: from its commit on, no write
// under a lower term may be acknowledged, and Candidate is the only instance
// that may be promoted in Term. Refused unless Term is above the group's term.
// For a group that is not known yet it creates the group.
type BeginTerm struct {
	Group     table.GroupName  `json:"group"`
	Term      table.Term       `json:"term"`
	Candidate table.InstanceID `json:"candidate"`
}

// SetPrimary records that the candidate of Term is promoted. Refused unless
// Term is the group's term and Primary its candidate.
type SetPrimary struct {
	Group     table.GroupName  `json:"group"`
	Term      table.Term       `json:"term"`
	Primary   table.InstanceID `json:"primary"`
	TermStart table.Position   `json:"term_start"`
	// LogTerm is the term of the log of Primary, zero where it is Term.
	LogTerm table.Term `json:"log_term,omitempty"`
}

// NoteInstances records where instances are reached, and forgets those that are
// gone, so that control hosts that all restart know them before they announce
// themselves again. It decides nothing.
type NoteInstances struct {
	Known []table.Instance   `json:"known,omitempty"`
	Gone  []table.InstanceID `json:"gone,omitempty"`
}

// AssignOwners gives instances to hosts. Each assignment is refused by itself
// unless its epoch is exactly one above the instance's epoch in force.
type AssignOwners struct {
	Ownerships []table.Ownership `json:"ownerships"`
}

// SetKeys replaces the keys that sign session tokens. The first one signs, all
// verify. Refused unless Version is exactly one above the version in force.
type SetKeys struct {
	Version uint64   `json:"version"`
	Keys    [][]byte `json:"keys"`
}
