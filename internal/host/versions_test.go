package host

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// TestDutyCycleLeavesIdleTime requests a run every 32 us, which is how often the
// heartbeats of 4,700 hosts arrive. Long runs must leave half of the time idle.
func TestDutyCycleLeavesIdleTime(t *testing.T) {
	for _, c := range []struct {
		run      time.Duration
		min, max int // runs within a second
	}{
		{26 * time.Millisecond, 18, 20},
		{10 * time.Microsecond, 20_000, 31_250},
	} {
		var d dutyCycle
		runs := 0
		for now := time.Duration(0); now < time.Second; now += 32 * time.Microsecond {
			if d.due(now) {
				runs++
				d.recordRun(now, now+c.run)
				now += c.run
			}
		}
		assert.Assert(t, runs >= c.min && runs <= c.max, "%d runs of %v", runs, c.run)
	}
}

func viewWithVersions(versions map[string]uint64) *control.View {
	v := control.NewView()
	for service, n := range versions {
		v.Documents[service] = control.Document{Version: n}
	}
	return v
}

// TestVersionsAreReportedOnce checks that a host repeats its document versions
// only after a change, a lost reply, or a change of leader.
func TestVersionsAreReportedOnce(t *testing.T) {
	one, two := viewWithVersions(map[string]uint64{"s": 1}), viewWithVersions(map[string]uint64{"s": 2})
	var reported reportedVersions
	assert.Assert(t, reported.unreported(viewWithVersions(nil)) != nil, "an empty set of documents must be reported too")
	reported.acknowledge(1, reported.unreported(one))
	assert.Assert(t, reported.unreported(one) == nil)
	reported.acknowledge(1, nil)
	assert.Assert(t, reported.unreported(one) == nil)
	assert.DeepEqual(t, reported.unreported(two), map[string]uint64{"s": 2})
	assert.DeepEqual(t, reported.unreported(two), map[string]uint64{"s": 2}) // the first reply was lost
	reported.acknowledge(1, reported.unreported(two))
	reported.acknowledge(2, reported.unreported(two))
	assert.DeepEqual(t, reported.unreported(two), map[string]uint64{"s": 2}) // a new leader knows nothing
	reported.acknowledge(2, reported.unreported(two))
	assert.Assert(t, reported.unreported(two) == nil)
}

// TestHostsShareVersions checks that a leader keeps one map for all hosts with
// the same versions.
func TestHostsShareVersions(t *testing.T) {
	v := newHostVersions()
	for n := range 30 {
		v.update(table.HostID(fmt.Sprint("h", n)), map[string]uint64{"s": 1 + uint64(n/20)})
	}
	v.update("h0", nil)
	kept := map[uintptr]uint64{}
	for _, versions := range v.byHost {
		kept[reflect.ValueOf(versions).Pointer()]++
	}
	assert.Equal(t, len(kept), 2)
	assert.Equal(t, v.byHost["h0"]["s"], uint64(1))
	assert.Equal(t, v.byHost["h29"]["s"], uint64(2))
}
