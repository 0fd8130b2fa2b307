package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/figuretest"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// largeHosts is the number of hosts at the size to come.
const largeHosts = 4700

func BenchmarkGrant(b *testing.B) {
	g := NewGrantor(DefaultConfig())
	g.Lead(0, forever, nil)
	var hosts []table.HostID
	for n := range largeHosts {
		hosts = append(hosts, table.HostID(fmt.Sprint("h", n)))
	}
	n := uint64(0)
	for b.Loop() {
		n++
		g.Grant(time.Duration(n), hosts[n%largeHosts], HeartbeatID{1, n})
	}
	figuretest.PerLoop(b, "lease_grant_4700_hosts", 1000)
}

func BenchmarkSweep(b *testing.B) {
	g := NewGrantor(DefaultConfig())
	g.Lead(0, forever, nil)
	for n := range largeHosts {
		g.Grant(0, table.HostID(fmt.Sprint("h", n)), HeartbeatID{1, 1})
	}
	for b.Loop() {
		g.Sweep(1)
	}
	figuretest.PerLoop(b, "lease_sweep_4700_hosts", 2000)
}
