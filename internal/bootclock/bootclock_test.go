package bootclock

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNowIsMonotonic(t *testing.T) {
	last := Now()
	assert.Assert(t, last > 0)
	for range 1000 {
		now := Now()
		assert.Assert(t, now >= last)
		last = now
	}
}
