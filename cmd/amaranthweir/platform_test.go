package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// workload is a caller that writes and then reads its own writes. It records the
// ids of the acknowledged writes and of those with an unknown outcome, and counts
// the reads that missed the preceding write.
type workload struct {
	acked, unknown []string
	staleReads     int
}

// run writes the item called name and reads it back until stop is closed. After a
// failure, it opens a new session at another entry host.
func (w *workload) run(d *deployment, name string, stop <-chan struct{}) {
	var c *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = connect(d.entryAddress(n%len(zones)), "orders"); err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		id := name + "." + strconv.Itoa(n)
		r, err := c.exec(id, "WRITE "+name+" "+id)
		switch {
		case err != nil || r.code == "INDOUBT" || r.code == "TIMEOUT":
			w.unknown = append(w.unknown, id)
		case r.ok():
			w.acked = append(w.acked, id)
			read, err := c.exec(id+".r", "READ "+name)
			if err == nil && read.ok() && !slices.Equal(read.rows, []string{id}) {
				w.staleReads++
			}
		}
		if err != nil || r.code != "" {
			c.close()
			c = nil
		}
	}
}

// underLoad runs six workloads while it calls action. It then checks that every
// acknowledged write was committed once, that a write with an unknown outcome was
// committed at most once, and that each session read its own writes.
func underLoad(t *testing.T, d *deployment, action func()) {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	workloads := make([]workload, 6)
	for n := range workloads {
		name := fmt.Sprintf("c%d-%d", n, time.Now().UnixNano())
		wg.Go(func() { workloads[n].run(d, name, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	action()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	acked := 0
	for n := range workloads {
		assert.Equal(t, workloads[n].staleReads, 0, "reads missed a write of their own session")
		acked += len(workloads[n].acked)
		for _, id := range workloads[n].acked {
			assert.Equal(t, d.group.CommitCount(id), 1, "acknowledged write %s", id)
		}
		for _, id := range workloads[n].unknown {
			assert.Assert(t, d.group.CommitCount(id) <= 1, "write %s", id)
		}
	}
	assert.Assert(t, acked > 0, "nothing was served\n%s", d.logs())
}

// TestPlatform runs control hosts and entry hosts as separate processes, and
// callers, instances and operators that use the protocols of the platform.
func TestPlatform(t *testing.T) {
	d := startDeployment(t)
	t.Run("sessions and transactions", func(t *testing.T) { testSessions(t, d) })
	t.Run("line breaks in statements", func(t *testing.T) { testLineBreaks(t, d) })
	t.Run("databases that are not there", func(t *testing.T) { testUnknownDatabases(t, d) })
	t.Run("two operators at once", func(t *testing.T) { testConcurrentOperators(t, d) })
	t.Run("an answer is lost", func(t *testing.T) { testLostAnswer(t, d) })
	t.Run("explaining a refusal as busy", func(t *testing.T) { testExplainBusy(t, d) })
	t.Run("explaining doubt and staleness", func(t *testing.T) { testExplainDoubtAndStaleness(t, d) })
	t.Run("settings change", func(t *testing.T) { testSettingsReload(t, d) })
	t.Run("an entry host is restarted", func(t *testing.T) { testEntryHostRestart(t, d) })
	t.Run("a primary is killed", func(t *testing.T) { testPrimaryKilled(t, d) })
	t.Run("a primary leaves", func(t *testing.T) { testPrimaryLeaves(t, d) })
	t.Run("the control leader is killed", func(t *testing.T) { testControlHostsKilled(t, d) })
	t.Run("fencing tokens", func(t *testing.T) { testFencingTokens(t, d) })
}

// mustExec runs a statement that must succeed.
func mustExec(t *testing.T, c *caller, id, text string) result {
	t.Helper()
	r, err := c.exec(id, text)
	assert.NilError(t, err)
	assert.Equal(t, r.code, "", text)
	return r
}

func testSessions(t *testing.T, d *deployment) {
	c, err := connect(d.entryAddress(0), "orders")
	assert.NilError(t, err)
	defer c.close()
	mustExec(t, c, "s1", "SET suffix !")
	mustExec(t, c, "s2", "PREPARE mine READ shape")
	mustExec(t, c, "s3", "BEGIN")
	mustExec(t, c, "s4", "WRITE ink blue")
	assert.Equal(t, mustExec(t, c, "s5", "COMMIT").txStatus, "I")
	assert.DeepEqual(t, mustExec(t, c, "s6", "READ ink").rows, []string{"blue!"})
	assert.DeepEqual(t, mustExec(t, c, "s7", "EXECUTE mine ink").rows, []string{"blue!"})
	other, err := connect(d.entryAddress(0), "payments")
	assert.NilError(t, err)
	defer other.close()
	assert.DeepEqual(t, mustExec(t, other, "o1", "READ ink").rows, []string{"blue"}) // settings do not leak into other sessions
	r, err := other.exec("o2", "EXECUTE mine ink")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "NOSTMT", "prepared names do not leak into other sessions")

	mustExec(t, c, "t1", "BEGIN")
	mustExec(t, c, "t2", "WRITE ink red")
	mustExec(t, c, "t3", "ROLLBACK")
	assert.DeepEqual(t, mustExec(t, c, "t4", "READ ink").rows, []string{"blue!"})
	assert.Equal(t, d.group.CommitCount("t2"), 0)
	mustExec(t, c, "t5", "BEGIN READ")
	r, err = c.exec("t6", "WRITE ink red")
	assert.NilError(t, err)
	assert.Equal(t, r.txStatus, "E")
	r, err = c.exec("t7", "READ ink")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "MALFORMED")
	assert.Equal(t, mustExec(t, c, "t8", "ROLLBACK").txStatus, "I")
}

// testLineBreaks guards against data with a line feed in it that reaches an instance cut
// off, or as two statements.
func testLineBreaks(t *testing.T, d *deployment) {
	c, err := connect(d.entryAddress(0), "orders")
	assert.NilError(t, err)
	defer c.close()
	for id, text := range map[string]string{
		"two-lines": "WRITE note first line\nsecond line",
		"quoted":    "WRITE mail he wrote:\nQUERY not-sent WRITE price 0",
		"carriage":  "WRITE mail he wrote:\rQUERY not-sent WRITE price 0",
		"setting":   "SET suffix a\nQUERY not-sent WRITE price 0",
	} {
		r, err := c.exec(id, text)
		assert.NilError(t, err)
		assert.Equal(t, r.code, "MALFORMED", id)
		mustExec(t, c, id+"-next", "WRITE cap green") // the session goes on
		assert.Equal(t, d.group.RunCount(id)+d.group.RunCount("not-sent"), 0, id)
	}
}

func testUnknownDatabases(t *testing.T, d *deployment) {
	_, err := connect(d.entryAddress(1), "nowhere")
	assert.ErrorContains(t, err, "NODB")
	extra := `,{"name":"r3","host":"proofs","path_prefix":"/","kind":"bounded_stale","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"g1","max_staleness_ms":1500}`
	d.replaceConfiguration(20, extra)
	d.waitFor("the new database is served everywhere", func() bool {
		for n := range zones {
			c, err := connect(d.entryAddress(n), "proofs")
			if err != nil {
				return false
			}
			r, err := c.exec("p", "READ ink")
			c.close()
			if err != nil || !r.ok() {
				return false
			}
		}
		return true
	})
}

func testConcurrentOperators(t *testing.T, d *deployment) {
	var wg sync.WaitGroup
	for n := range 2 {
		wg.Go(func() {
			for range 20 {
				body := configuration(30, fmt.Sprintf(`,{"name":"x","host":"race%d","path_prefix":"/","kind":"primary","timeout_ms":900,"service":"g1"}`, n))
				if status, err := d.post(n, "/v1/Config.Replace", body); err == nil && status == http.StatusOK {
					return
				}
			}
		})
	}
	wg.Wait()
	first := d.fetchConfiguration()
	status, err := d.post(2, "/v1/Config.Replace", configuration(30, `,{"name":"y","host":"late","path_prefix":"/","kind":"primary","timeout_ms":900,"service":"g1"}`))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "a version that is already in force is acknowledged")
	assert.Equal(t, d.fetchConfiguration(), first, "the repeated version must not replace the configuration")
	status, err = d.post(0, "/v1/Config.Replace", configuration(31, `,{"name":"z","host":"bad","kind":"primary","timeout_ms":0,"service":"g1"}`))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, d.fetchConfiguration(), first)
}

func testLostAnswer(t *testing.T, d *deployment) {
	c, err := connect(d.entryAddress(0), "payments")
	assert.NilError(t, err)
	defer c.close()
	d.group.Primary().LoseAnswers(1)
	r, err := c.exec("lost", "WRITE pay 1")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "INDOUBT")
	assert.Equal(t, d.group.CommitCount("lost"), 1, "the write must not run again")
	mustExec(t, c, "after", "WRITE pay 2")
}

func testSettingsReload(t *testing.T, d *deployment) {
	for _, p := range d.hosts {
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	}
	underLoad(t, d, func() {})
}

// testEntryHostRestart restarts an entry host while callers use it. The host must
// exit with code 0 and become ready again.
func testEntryHostRestart(t *testing.T, d *deployment) {
	underLoad(t, d, func() {
		assert.NilError(t, d.stopHost("edge-a", syscall.SIGTERM))
		d.startProcess(d.hosts["edge-a"])
		d.waitFor("the host is ready again", func() bool {
			resp, err := client.Get(d.readyURL(0))
			if err != nil {
				return false
			}
			return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
		})
	})
}

func testPrimaryKilled(t *testing.T, d *deployment) {
	old := d.group.Primary()
	underLoad(t, d, func() {
		old.Kill()
		d.waitFor("another primary serves", func() bool {
			c, err := connect(d.entryAddress(1), "payments")
			if err != nil {
				return false
			}
			defer c.close()
			r, err := c.exec(fmt.Sprint("k", time.Now().UnixNano()), "WRITE pay 3")
			return err == nil && r.ok()
		})
	})
	assert.Assert(t, d.group.Primary() != old)
	assert.NilError(t, old.Start())
}

func testPrimaryLeaves(t *testing.T, d *deployment) {
	old := d.group.Primary()
	d.setLeaving(old.ID, true)
	underLoad(t, d, func() {
		d.waitFor("another primary was promoted", func() bool { return d.group.Primary() != old })
	})
	d.setLeaving(old.ID, false)
}

func (d *deployment) setLeaving(id table.InstanceID, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[id] = leaving
}

func testControlHostsKilled(t *testing.T, d *deployment) {
	before := d.fetchConfiguration()
	underLoad(t, d, func() {
		for _, name := range []string{"core-a", "core-b", "core-c"} {
			_ = d.stopHost(name, syscall.SIGKILL) // Wait reports the signal as an error
			d.startProcess(d.hosts[name])
			assert.Equal(t, d.fetchConfiguration(), before)
		}
	})
}

// testFencingTokens checks that no promotion carried a lower fencing token than
// the promotion before it. It uses the promotions of the preceding subtests.
func testFencingTokens(t *testing.T, d *deployment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Assert(t, len(d.promotions) >= 2)
	last := 0
	for _, text := range d.promotions {
		token, err := strconv.Atoi(text)
		assert.NilError(t, err)
		assert.Assert(t, token >= last, "%v", d.promotions)
		last = token
	}
}
