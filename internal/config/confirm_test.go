package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOwnersConfirmWritesOfDeployments guards against writes that only a replica
// confirmed that the control hosts do not know: where an instance waits for replicas,
// its owner waits for one too, and only for writes.
func TestOwnersConfirmWritesOfDeployments(t *testing.T) {
	for replicas, want := range map[int]int{0: 0, 1: 1, 2: 1} {
		d := Deployment{
			Version: 1,
			Routes:  []Route{{Database: "orders", Group: "g", Consistency: ConsistencyCurrent}},
			Groups:  []GroupLimits{{Name: "g", AckReplicas: replicas}},
		}
		for _, class := range d.Documents()["orders"].Classes {
			if class.Access == AccessWrite {
				assert.Equal(t, class.AckReplicas, want, "%d replicas", replicas)
			} else {
				assert.Equal(t, class.AckReplicas, 0)
			}
		}
	}
}
