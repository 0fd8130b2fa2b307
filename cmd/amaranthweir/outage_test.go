package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// configApplyTime is how long after its acknowledgement a version may take to be in
// force.
const configApplyTime = 3 * time.Second

// extraRoute returns the JSON of a further route to a database.
func extraRoute(database string) string {
	return fmt.Sprintf(`,{"name":"r-%s","host":%q,"path_prefix":"/","kind":"bounded_stale","timeout_ms":900,"target_latency_ms":300,"priority":1,"service":"g1","max_staleness_ms":1500}`, database, database)
}

// signalControlHosts sends a signal to all control hosts at once.
func (d *deployment) signalControlHosts(signal syscall.Signal) {
	d.t.Helper()
	for _, p := range d.hosts {
		if p.control {
			assert.NilError(d.t, p.cmd.Process.Signal(signal))
		}
	}
}

// TestControlHostsStopAfterAcknowledgement guards against entry hosts that hear no
// leader and handle callers by the version before one that was acknowledged: they
// answered that an added database does not exist.
func TestControlHostsStopAfterAcknowledgement(t *testing.T) {
	d := startDeployment(t)
	for round := 1; round <= 2; round++ {
		dropped, added := fmt.Sprint("dropped", round), fmt.Sprint("added", round)
		d.replaceConfiguration(100*round, extraRoute(dropped))
		d.waitFor("the first database is served everywhere", func() bool { return d.servedEverywhere(dropped) })
		d.replaceConfiguration(100*round+1, extraRoute(added))
		d.signalControlHosts(syscall.SIGSTOP)
		acknowledged := time.Now()
		for time.Since(acknowledged) < 2*configApplyTime {
			bound := time.Since(acknowledged) > configApplyTime
			for n := range zones {
				ran, err := d.read(n, added)
				if bound && !ran && err != nil {
					assert.Assert(t, err.Error() != "connection refused: NODB", "edge %d, %v after the acknowledgement", n, time.Since(acknowledged))
				}
				ran, _ = d.read(n, dropped)
				assert.Assert(t, !bound || !ran, "edge %d ran a request of a dropped database %v after the acknowledgement", n, time.Since(acknowledged))
			}
			time.Sleep(100 * time.Millisecond)
		}
		d.signalControlHosts(syscall.SIGCONT)
		back := time.Now()
		d.waitFor("the added database is served everywhere", func() bool { return d.servedEverywhere(added) })
		t.Logf("round %d: served everywhere %v after the return; %d callers refused by hosts that lacked the version",
			round, time.Since(back), d.countLines(`"kind":"configuration_outdated"`))
		assert.Assert(t, time.Since(back) <= configApplyTime, "the added database was served everywhere after %v", time.Since(back))
		for n := range zones {
			_, err := d.read(n, dropped)
			assert.ErrorContains(t, err, "NODB")
		}
	}
}

// read reads from a database at entry host n. It reports whether an instance ran the
// read, and the error of the connection.
func (d *deployment) read(n int, database string) (bool, error) {
	c, err := connect(d.entryAddress(n), database)
	if err != nil {
		return false, err
	}
	defer c.close()
	r, err := c.exec("read-"+database, "READ apron")
	return err == nil && r.ok(), err
}

// servedEverywhere reports whether all entry hosts run a read from a database.
func (d *deployment) servedEverywhere(database string) bool {
	for n := range zones {
		if ran, err := d.read(n, database); err != nil || !ran {
			return false
		}
	}
	return true
}

// countLines returns the number of lines that contain text in the logs of all hosts.
func (d *deployment) countLines(text string) int {
	n := 0
	for _, p := range d.hosts {
		n += strings.Count(p.log.String(), text)
	}
	return n
}
