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

// TestPaceLeavesTime asks for a run each 32 us, as often as the heartbeats of
// 4,700 hosts arrive.
func TestPaceLeavesTime(t *testing.T) {
	for _, c := range []struct {
		run      time.Duration
		min, max int // runs within a second
	}{
		{26 * time.Millisecond, 18, 20},
		{10 * time.Microsecond, 20_000, 31_250},
	} {
		var p pace
		runs := 0
		for now := time.Duration(0); now < time.Second; now += 32 * time.Microsecond {
			if p.due(now) {
				runs++
				p.ran(now, now+c.run)
				now += c.run
			}
		}
		assert.Assert(t, runs >= c.min && runs <= c.max, "%d runs of %v", runs, c.run)
	}
}

func viewWith(versions map[string]uint64) *control.View {
	v := control.NewView()
	for service, n := range versions {
		v.Documents[service] = control.Document{Version: n}
	}
	return v
}

// TestVersionsAreToldOnce covers who knows what after answers that arrive, get
// lost, or come from another leader.
func TestVersionsAreToldOnce(t *testing.T) {
	one, two := viewWith(map[string]uint64{"s": 1}), viewWith(map[string]uint64{"s": 2})
	var told toldVersions
	assert.Assert(t, told.next(viewWith(nil)) != nil, "that nothing is in force must be told too")
	told.answered(1, told.next(one))
	assert.Assert(t, told.next(one) == nil)
	told.answered(1, nil)
	assert.Assert(t, told.next(one) == nil)
	assert.DeepEqual(t, told.next(two), map[string]uint64{"s": 2})
	assert.DeepEqual(t, told.next(two), map[string]uint64{"s": 2}) // the first was lost
	told.answered(1, told.next(two))
	told.answered(2, told.next(two))
	assert.DeepEqual(t, told.next(two), map[string]uint64{"s": 2}) // a new leader knows nothing
	told.answered(2, told.next(two))
	assert.Assert(t, told.next(two) == nil)
}

// TestHostsShareVersions counts maps: a leader keeps one for all hosts with the
// same versions.
func TestHostsShareVersions(t *testing.T) {
	v := newHostVersions()
	for n := range 30 {
		v.told(table.HostID(fmt.Sprint("h", n)), map[string]uint64{"s": 1 + uint64(n/20)})
	}
	v.told("h0", nil)
	kept := map[uintptr]uint64{}
	for _, versions := range v.byHost {
		kept[reflect.ValueOf(versions).Pointer()]++
	}
	assert.Equal(t, len(kept), 2)
	assert.Equal(t, v.byHost["h0"]["s"], uint64(1))
	assert.Equal(t, v.byHost["h29"]["s"], uint64(2))
}
