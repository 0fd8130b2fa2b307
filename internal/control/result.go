package control

import (
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Refusal says why a command changed nothing.
type Refusal uint8

// The refusals.
const (
	// Accepted means that the command is in force, now or since before.
	Accepted Refusal = iota
	// RefusedConflict means that something else is in force under the same
	// version, term or epoch.
	RefusedConflict
	// RefusedOld means that a later version, term or epoch is in force.
	RefusedOld
	// RefusedGap means that versions or epochs before the given one are
	// missing.
	RefusedGap
	// RefusedInvalid means that the command itself does not make sense.
	RefusedInvalid
)

// String returns the name of the refusal.
func (r Refusal) String() string {
	return [...]string{"accepted", "conflict", "old", "gap", "invalid"}[r]
}

// DocumentResult says which document of the service is in force.
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
	// Refusal is Accepted if the command, or for AssignOwners at least one of
	// its assignments, is in force.
	Refusal Refusal
	// Revision is the revision that brought the accepted content into force,
	// and for a refusal the one at which it was refused.
	Revision uint64
	// Document is set for PutDocument: what is in force now.
	Document *DocumentResult
	// Group is set for BeginTerm and SetPrimary: the group in force now.
	Group *table.Group
	// Owners has one answer for each assignment of AssignOwners.
	Owners []OwnerResult
	// KeysVersion is set for SetKeys: the version in force now.
	KeysVersion uint64
}

// Err returns nil for an accepted command and otherwise an errkind.Error that
// names what is in force.
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
