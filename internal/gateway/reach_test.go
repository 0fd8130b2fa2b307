package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// A replica that cannot be reached is avoided for a growing time. One that is
// busy for a moment is not: its reads would all go to the next one, and make it
// busy in turn.
func TestOnlyReplicasOutOfReachAreAvoided(t *testing.T) {
	for kind, avoided := range map[errkind.Kind]bool{
		errkind.UpstreamLost: true, errkind.NoOwner: true, errkind.OutcomeUnknown: true,
		errkind.UpstreamBusy: false, errkind.StalenessUnprovable: false, errkind.DeadlineUnreachable: false,
	} {
		err := errkind.New(kind, "")
		assert.Equal(t, (&run{replica: true}).outOfReach(err), avoided, kind.String())
		assert.Assert(t, !(&run{}).outOfReach(err), "there is only one primary")
	}
	assert.Assert(t, !(&run{replica: true}).outOfReach(nil))
}
