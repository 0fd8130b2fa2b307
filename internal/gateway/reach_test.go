package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Reads avoid a replica that cannot be reached, for a growing time. They must
// not avoid a replica that is only busy for a moment: all of its reads would
// move to the next replica and overload that one in turn.
func TestOnlyUnreachableReplicasAreAvoided(t *testing.T) {
	for kind, avoided := range map[errkind.Kind]bool{
		errkind.UpstreamLost: true, errkind.NoOwner: true, errkind.OutcomeUnknown: true,
		errkind.UpstreamBusy: false, errkind.StalenessUnprovable: false, errkind.DeadlineUnreachable: false,
	} {
		err := errkind.New(kind, "")
		assert.Equal(t, (&run{replica: true}).isReplicaUnreachable(err), avoided, kind.String())
		assert.Assert(t, !(&run{}).isReplicaUnreachable(err), "the primary cannot be avoided: a group has only one")
	}
	assert.Assert(t, !(&run{replica: true}).isReplicaUnreachable(nil))
}
