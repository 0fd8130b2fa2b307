package control

import (
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Refusal is the reason why a command was refused.
type Refusal uint8

// The reasons for a refusal.
const (
	// Accepted means that the command was not refused: its content is in force
	// now, or it was accepted earlier.
	Accepted Refusal = iota
	// RefusedConflict means that other content is in force under the same
	// version, term or epoch.
	RefusedConflict
	// RefusedOld means that a later version, term or epoch is in force.
	RefusedOld
	// RefusedGap means that the version or epoch is not the next one after the
	// one in force, or that the term has not begun.
	RefusedGap
	// RefusedInvalid means that the command itself is not valid, for example
	// because the digest does not match the document.
	RefusedInvalid
)

// String returns the name of the refusal as log lines and errors show it.
func (r Refusal) String() string {
	return [...]string{"accepted", "conflict", "old", "gap", "invalid"}[r]
}

// DocumentResult identifies the document of a service that is in force.
type DocumentResult struct {
	Service string
	Version uint64
	Digest  string
}

// OwnerResult is the answer to one assignment of an AssignOwners.
type OwnerResult struct {
	Refusal Refusal
	InForce table.Ownership
}

// Result is the answer to a command. It is the same on every host.
type Result struct {
	// Refusal is Accepted if the command was accepted. For AssignOwners one
	// accepted assignment is enough.
	Refusal Refusal
	// Revision is the revision of the state after the command. For a PutDocument
	// that was accepted before, it is the revision at which that version came
	// into force.
	Revision uint64
	// Document is the document now in force. It is set for PutDocument.
	Document *DocumentResult
	// Group is the group now in force. It is set for BeginTerm and SetPrimary.
	Group *table.Group
	// Owners has one answer for each assignment of AssignOwners, in the same
	// order.
	Owners []OwnerResult
	// KeysVersion is the version of the keys now in force. It is set for
	// SetKeys.
	KeysVersion uint64
}

// Err returns nil for an accepted command, and otherwise an errkind.Error of
// kind ConfigConflict or ConfigInvalid that describes what is in force.
func (r Result) Err() error {
	if r.Refusal == Accepted {
		return nil
	}
	kind := errkind.ConfigConflict
	if r.Refusal == RefusedInvalid {
		kind = errkind.ConfigInvalid
	}
	return errkind.New(kind, "%s (%s)", r.inForce(), r.Refusal).WithEffect(errkind.NotRun)
}

// inForce describes the version, term or epoch that is in force.
func (r Result) inForce() string {
	switch {
	case r.Document != nil:
		d := r.Document
		return fmt.Sprintf("service %q has version %d with digest %s in force", d.Service, d.Version, d.Digest)
	case r.Group != nil:
		return fmt.Sprintf("group %q has term %d with candidate %q in force", r.Group.Name, r.Group.Term, r.Group.Candidate)
	case len(r.Owners) > 0:
		o := r.Owners[0].InForce
		return fmt.Sprintf("instance %q has owner %q with epoch %d in force", o.Instance, o.Host, o.Epoch)
	default:
		return fmt.Sprintf("keys have version %d in force", r.KeysVersion)
	}
}
