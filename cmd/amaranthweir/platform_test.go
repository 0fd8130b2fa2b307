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

// load is a caller that writes and reads its own writes until it is stopped.
type load struct {
	acked, unknown []string
	stale          int
}

// run works through one session after the other at the given entry hosts.
func (l *load) run(d *deployment, name string, stop <-chan struct{}) {
	var c *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = connect(d.entry(n%len(zones)), "orders"); err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		id := name + "." + strconv.Itoa(n)
		r, err := c.ask(id, "WRITE "+name+" "+id)
		switch {
		case err != nil || r.code == "INDOUBT" || r.code == "TIMEOUT":
			l.unknown = append(l.unknown, id)
		case r.ok():
			l.acked = append(l.acked, id)
			read, err := c.ask(id+".r", "READ "+name)
			if err == nil && read.ok() && !slices.Equal(read.rows, []string{id}) {
				l.stale++
			}
		}
		if err != nil || r.code != "" {
			c.close()
			c = nil
		}
	}
}

// under runs a few callers while act does something, and checks what they were
// promised: every acknowledged write is there once, a refused one is not, and
// each session saw its own writes.
func under(t *testing.T, d *deployment, act func()) {
	t.Helper()
	stop := make(chan struct{})
	var work sync.WaitGroup
	loads := make([]load, 6)
	for n := range loads {
		name := fmt.Sprintf("c%d-%d", n, time.Now().UnixNano())
		work.Go(func() { loads[n].run(d, name, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	act()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	work.Wait()
	acked := 0
	for n := range loads {
		assert.Equal(t, loads[n].stale, 0, "reads missed a write of their own session")
		acked += len(loads[n].acked)
		for _, id := range loads[n].acked {
			assert.Equal(t, d.group.CommitCount(id), 1, "acknowledged write %s", id)
		}
		for _, id := range loads[n].unknown {
			assert.Assert(t, d.group.CommitCount(id) <= 1, "write %s", id)
		}
	}
	assert.Assert(t, acked > 0, "nothing was served\n%s", d.logs())
}

// TestPlatform runs the whole path as separate processes, in the users'
// protocol.
func TestPlatform(t *testing.T) {
	d := startDeployment(t)
	t.Run("sessions and transactions", func(t *testing.T) { sessions(t, d) })
	t.Run("databases that are not there", func(t *testing.T) { unknownDatabases(t, d) })
	t.Run("two operators at once", func(t *testing.T) { operators(t, d) })
	t.Run("an answer is lost", func(t *testing.T) { lostAnswer(t, d) })
	t.Run("explaining a refusal as busy", func(t *testing.T) { explainBusy(t, d) })
	t.Run("explaining doubt and staleness", func(t *testing.T) { explainDoubtAndStaleness(t, d) })
	t.Run("settings change", func(t *testing.T) { reload(t, d) })
	t.Run("an entry host is restarted", func(t *testing.T) { restart(t, d) })
	t.Run("a primary is killed", func(t *testing.T) { killPrimary(t, d) })
	t.Run("a primary leaves", func(t *testing.T) { leavingPrimary(t, d) })
	t.Run("the control leader is killed", func(t *testing.T) { killControl(t, d) })
	t.Run("fencing tokens", func(t *testing.T) { tokens(t, d) })
}

func must(t *testing.T, c *caller, id, text string) result {
	t.Helper()
	r, err := c.ask(id, text)
	assert.NilError(t, err)
	assert.Equal(t, r.code, "", text)
	return r
}

func sessions(t *testing.T, d *deployment) {
	c, err := connect(d.entry(0), "orders")
	assert.NilError(t, err)
	defer c.close()
	must(t, c, "s1", "SET suffix !")
	must(t, c, "s2", "PREPARE mine READ shape")
	must(t, c, "s3", "BEGIN")
	must(t, c, "s4", "WRITE ink blue")
	assert.Equal(t, must(t, c, "s5", "COMMIT").state, "I")
	assert.DeepEqual(t, must(t, c, "s6", "READ ink").rows, []string{"blue!"})
	assert.DeepEqual(t, must(t, c, "s7", "EXECUTE mine ink").rows, []string{"blue!"})
	other, err := connect(d.entry(0), "payments")
	assert.NilError(t, err)
	defer other.close()
	assert.DeepEqual(t, must(t, other, "o1", "READ ink").rows, []string{"blue"}) // settings do not cross sessions
	r, err := other.ask("o2", "EXECUTE mine ink")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "NOSTMT", "names do not cross sessions")

	must(t, c, "t1", "BEGIN")
	must(t, c, "t2", "WRITE ink red")
	must(t, c, "t3", "ROLLBACK")
	assert.DeepEqual(t, must(t, c, "t4", "READ ink").rows, []string{"blue!"})
	assert.Equal(t, d.group.CommitCount("t2"), 0)
	must(t, c, "t5", "BEGIN READ")
	r, err = c.ask("t6", "WRITE ink red")
	assert.NilError(t, err)
	assert.Equal(t, r.state, "E")
	r, err = c.ask("t7", "READ ink")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "MALFORMED")
	assert.Equal(t, must(t, c, "t8", "ROLLBACK").state, "I")
}

func unknownDatabases(t *testing.T, d *deployment) {
	_, err := connect(d.entry(1), "nowhere")
	assert.ErrorContains(t, err, "NODB")
	extra := `,{"name":"r3","host":"proofs","path_prefix":"/","kind":"bounded_stale","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"g1","max_staleness_ms":1500}`
	d.replace(20, extra)
	d.until("the new database is served everywhere", func() bool {
		for n := range zones {
			c, err := connect(d.entry(n), "proofs")
			if err != nil {
				return false
			}
			r, err := c.ask("p", "READ ink")
			c.close()
			if err != nil || !r.ok() {
				return false
			}
		}
		return true
	})
}

func operators(t *testing.T, d *deployment) {
	var work sync.WaitGroup
	for n := range 2 {
		work.Go(func() {
			for range 20 {
				body := configuration(30, fmt.Sprintf(`,{"name":"x","host":"race%d","path_prefix":"/","kind":"primary","timeout_ms":900,"service":"g1"}`, n))
				if status, err := d.post(n, "/v1/Config.Replace", body); err == nil && status == http.StatusOK {
					return
				}
			}
		})
	}
	work.Wait()
	first := d.fetch()
	status, err := d.post(2, "/v1/Config.Replace", configuration(30, `,{"name":"y","host":"late","path_prefix":"/","kind":"primary","timeout_ms":900,"service":"g1"}`))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "a version that is held is acknowledged")
	assert.Equal(t, d.fetch(), first, "and changes nothing")
	status, err = d.post(0, "/v1/Config.Replace", configuration(31, `,{"name":"z","host":"bad","kind":"primary","timeout_ms":0,"service":"g1"}`))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, d.fetch(), first)
}

func lostAnswer(t *testing.T, d *deployment) {
	c, err := connect(d.entry(0), "payments")
	assert.NilError(t, err)
	defer c.close()
	d.group.Primary().LoseAnswers(1)
	r, err := c.ask("lost", "WRITE pay 1")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "INDOUBT")
	assert.Equal(t, d.group.CommitCount("lost"), 1, "it is not run again")
	must(t, c, "after", "WRITE pay 2")
}

func reload(t *testing.T, d *deployment) {
	for _, m := range d.hosts {
		assert.NilError(t, m.cmd.Process.Signal(syscall.SIGHUP))
	}
	under(t, d, func() {})
}

// restart stops an entry host while callers use it: each of its statements gets
// a whole answer.
func restart(t *testing.T, d *deployment) {
	under(t, d, func() {
		assert.NilError(t, d.end("edge-a", syscall.SIGTERM))
		d.run(d.hosts["edge-a"])
		d.until("the host is ready again", func() bool {
			resp, err := client.Get(d.ready(0))
			if err != nil {
				return false
			}
			return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
		})
	})
}

func killPrimary(t *testing.T, d *deployment) {
	old := d.group.Primary()
	under(t, d, func() {
		old.Kill()
		d.until("another primary serves", func() bool {
			c, err := connect(d.entry(1), "payments")
			if err != nil {
				return false
			}
			defer c.close()
			r, err := c.ask(fmt.Sprint("k", time.Now().UnixNano()), "WRITE pay 3")
			return err == nil && r.ok()
		})
	})
	assert.Assert(t, d.group.Primary() != old)
	assert.NilError(t, old.Start())
}

func leavingPrimary(t *testing.T, d *deployment) {
	old := d.group.Primary()
	d.setLeaving(old.ID, true)
	under(t, d, func() {
		d.until("another primary was promoted", func() bool { return d.group.Primary() != old })
	})
	d.setLeaving(old.ID, false)
}

func (d *deployment) setLeaving(id table.InstanceID, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[id] = leaving
}

func killControl(t *testing.T, d *deployment) {
	before := d.fetch()
	under(t, d, func() {
		for _, name := range []string{"core-a", "core-b", "core-c"} {
			_ = d.end(name, syscall.SIGKILL) // it was killed
			d.run(d.hosts[name])
			assert.Equal(t, d.fetch(), before)
		}
	})
}

// tokens checks that each promotion carried a token at least as high as the one
// before.
func tokens(t *testing.T, d *deployment) {
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
