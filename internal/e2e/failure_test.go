package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthweir/amaranthweir/internal/api"
)

// outcomes collects the answers that writers received for their inserts.
type outcomes struct {
	mu        sync.Mutex
	acked     []string       // keys of acknowledged inserts
	notRun    []string       // keys of inserts that have not run according to the answer
	sqlstates map[string]int // number of answers by SQLSTATE, which is empty for successes and for errors without one
	unknown   []string       // the first errors that leave the outcome unknown

	writers atomic.Int32 // number of writers started, which makes keys unique
}

// record adds the answer to the insert of key.
func (o *outcomes) record(key string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.acked = append(o.acked, key)
	case isNotRun(err):
		o.notRun = append(o.notRun, key)
	}
	o.sqlstates[sqlstate(err)]++
	if err != nil && !isNotRun(err) && len(o.unknown) < 5 {
		o.unknown = append(o.unknown, time.Now().Format("05.000 ")+err.Error())
	}
}

func (o *outcomes) ackedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acked)
}

// startWriters starts perHost writers at every host. They insert until stop is
// closed.
func (c *cluster) startWriters(class string, perHost int, stop <-chan struct{}) (*outcomes, *sync.WaitGroup) {
	o := &outcomes{sqlstates: map[string]int{}}
	var wg sync.WaitGroup
	for i := range perHost * len(c.hosts) {
		c.startWriter(o, class, c.hosts[i%len(c.hosts)], &wg, stop)
	}
	return o, &wg
}

// startWriter starts a writer that inserts through one host until stop is closed
// or its connection ends.
func (c *cluster) startWriter(o *outcomes, class string, p *process, wg *sync.WaitGroup, stop <-chan struct{}) {
	conn := c.connect(p)
	id := o.writers.Add(1)
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			key := fmt.Sprintf("%d-%d", id, n)
			_, err := conn.Exec(context.Background(), "/* class="+class+" */ INSERT INTO tickets (key, value) VALUES ($1, 'v')", key)
			o.record(key, err)
			if conn.IsClosed() {
				return
			}
		}
	})
}

// underLoad injects a fault while writers insert. It waits for acknowledged
// writes before and after the fault, and finally compares all answers with the
// rows of the primary.
func (c *cluster) underLoad(class string, perHost int, fault func(o *outcomes)) *outcomes {
	c.t.Helper()
	stop := make(chan struct{})
	o, wg := c.startWriters(class, perHost, stop)
	c.waitForAcks(o, minAckedWrites)
	fault(o)
	c.waitForAcks(o, minAckedWrites)
	close(stop)
	wg.Wait()
	c.checkRows(o)
	return o
}

// minAckedWrites is the number of acknowledged writes that counts as proof that a
// group is served.
const minAckedWrites = 20

// checkRows compares the answers that writers received with the rows of the
// primary. An acknowledged insert must have a row, and an insert that has not run
// must have none.
func (c *cluster) checkRows(o *outcomes) {
	c.t.Helper()
	in, _ := c.primaryAndOwner()
	rows := in.Rows("tickets")
	for _, key := range o.acked {
		if rows[key] == "" {
			for _, i := range c.instances {
				c.t.Logf("%s: %v %v, row %q", i.ID(), i.Role(), i.Mark(), i.Rows("tickets")[key])
			}
		}
		assert.Assert(c.t, rows[key] != "", "acknowledged insert is missing: %s", key)
	}
	for _, key := range o.notRun {
		assert.Assert(c.t, rows[key] == "", "insert reported as not run has a row: %s", key)
	}
	c.t.Logf("%d acknowledged, %d not run, by SQLSTATE %v %q", len(o.acked), len(o.notRun), o.sqlstates, o.unknown)
}

// waitForAcks waits until n more writes are acknowledged.
func (c *cluster) waitForAcks(o *outcomes, n int) {
	c.t.Helper()
	want := o.ackedCount() + n
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if got := o.ackedCount(); got < want {
			return poll.Continue("%d of %d writes acknowledged", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

// TestAcknowledgedWritesSurviveAKilledPrimary guards against a failover to a
// replica that lacks writes acknowledged by the killed primary.
func TestAcknowledgedWritesSurviveAKilledPrimary(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(*outcomes) {
		in, _ := c.primaryAndOwner()
		in.Kill()
	})
}

// TestAcknowledgedWritesSurviveAKilledOwner guards against wrong answers for the
// requests that were in flight at the host that owned the primary.
func TestAcknowledgedWritesSurviveAKilledOwner(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(*outcomes) {
		_, owner := c.primaryAndOwner()
		assert.NilError(t, owner.cmd.Process.Kill())
	})
}

// TestResumedOwnerAcknowledgesNothing suspends the owner of the primary until
// another primary serves. After it resumes, the former owner must not acknowledge
// writes that only the old primary may hold.
func TestResumedOwnerAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(o *outcomes) {
		in, owner := c.primaryAndOwner()
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
		in.Kill()
		c.waitForAcks(o, minAckedWrites)
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	})
}

// TestReturningPrimaryBecomesReplica guards against a primary that froze, was
// replaced and then resumes as if it were still the primary.
func TestReturningPrimaryBecomesReplica(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 20*time.Millisecond)
	c.underLoad("settlement", 1, func(o *outcomes) {
		in, _ := c.primaryAndOwner()
		in.Freeze()
		c.waitForAcks(o, minAckedWrites)
		in.Thaw()
		c.waitForStatus("the old primary is a replica", func(s api.Status) bool {
			for _, i := range s.Instances {
				if i.Instance == in.ID() {
					return i.Role == "replica" && i.Term == s.Groups[0].Term
				}
			}
			return false
		})
	})
}

// TestShutdownInterruptsNoRequest shuts down the owner of the primary under load.
// The only error that a writer may see is 57P01, the end of its connection.
func TestShutdownInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 5*time.Millisecond)
	o := c.underLoad("ticket", 2, func(*outcomes) {
		_, owner := c.primaryAndOwner()
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
		c.waitForReady(owner, false)
		owner.waitForExit(t)
	})
	for kind := range o.sqlstates {
		assert.Assert(t, kind == "" || kind == "57P01", "refused: %v", o.sqlstates)
	}
}

// TestLeavingPrimaryRefusesNoRequest guards against refusals and against new work
// at the old primary when a primary announces that it leaves.
func TestLeavingPrimaryRefusesNoRequest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 5*time.Millisecond)
	o := c.underLoad("settlement", 4, func(o *outcomes) { // requests of this class are not retried, so callers see refusals
		in, _ := c.primaryAndOwner()
		in.SetLeaving(true)
		c.waitForStatus("another primary", func(s api.Status) bool {
			return s.Groups[0].Primary != in.ID() && s.Groups[0].Phase == "stable"
		})
		c.waitForAcks(o, minAckedWrites)
		before := in.Stats().Finished
		c.waitForAcks(o, 2*minAckedWrites)
		assert.Equal(t, in.Stats().Finished, before, "new work at an instance that has handed over")
	})
	assert.Equal(t, len(o.sqlstates), 1, "refused: %v", o.sqlstates)
}

// TestPrimaryAndItsOwnerAreKilledTogether covers a failover during which the
// owner of the old primary cannot report on it.
func TestPrimaryAndItsOwnerAreKilledTogether(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(*outcomes) {
		in, owner := c.primaryAndOwner()
		in.Kill()
		assert.NilError(t, owner.cmd.Process.Kill())
	})
}

// TestTwoConsecutiveFailovers freezes one primary after the other. The first
// primary has returned as a replica before the second one freezes.
func TestTwoConsecutiveFailovers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 5*time.Millisecond)
	c.underLoad("settlement", 2, func(o *outcomes) {
		for range 2 {
			in, _ := c.primaryAndOwner()
			in.Freeze()
			c.waitForStatus("another primary", func(s api.Status) bool {
				return s.Groups[0].Primary != in.ID() && s.Groups[0].Phase == "stable"
			})
			in.Thaw()
			c.waitForStatus("all instances in the term", func(s api.Status) bool {
				for _, i := range s.Instances {
					if i.Term != s.Groups[0].Term {
						return false
					}
				}
				return true
			})
			c.waitForAcks(o, minAckedWrites)
		}
	})
}

// TestRollingRestartInterruptsNoRequest restarts every host in turn under load.
// Writers end with the connection to their host, and new ones start when the host
// is ready again.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 5*time.Millisecond)
	stop := make(chan struct{})
	o, wg := c.startWriters("settlement", 2, stop)
	for _, p := range c.hosts {
		c.waitForAcks(o, minAckedWrites)
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		p.waitForExit(t)
		c.startProcess(p)
		c.waitForReady(p, true)
		c.startWriter(o, "settlement", p, wg, stop)
	}
	c.waitForAcks(o, minAckedWrites)
	close(stop)
	wg.Wait()
	c.checkRows(o)
	for kind := range o.sqlstates {
		assert.Assert(t, kind == "" || kind == "57P01", "refused: %v", o.sqlstates)
	}
}

// TestOwnerShutdownDuringFailover shuts down the owner of a primary that was just
// killed. The shutdown must succeed and refuse no request that was not in
// flight at that primary.
func TestOwnerShutdownDuringFailover(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 5*time.Millisecond)
	o := c.underLoad("settlement", 2, func(*outcomes) {
		in, owner := c.primaryAndOwner()
		in.Kill()
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
		owner.waitForExit(t)
	})
	// Only requests in flight at the killed primary may fail with other errors.
	inFlight := 2 * len(c.hosts)
	for kind, n := range o.sqlstates {
		assert.Assert(t, kind == "" || kind == "57P01" || n <= inFlight, "%v", o.sqlstates)
	}
}

// TestRequestWithIDRunsOnce repeats requests with the same id: one after the
// other, concurrently on all hosts, after a lost answer and after a failover.
// Each of them must run once and return the same outcome on every repeat.
func TestRequestWithIDRunsOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 5*time.Millisecond)
	ctx := t.Context()
	pay := func(p *process, id string) error {
		conn := c.connect(p)
		_, err := conn.Exec(ctx, "/* class=settlement request_id="+id+" */ INSERT INTO payments (key, value) VALUES ($1, 'paid')", "pay-"+id)
		return err
	}
	for n, host := range c.hosts { // repeat the request on each host
		assert.NilError(t, pay(host, "one"), n)
	}
	var wg sync.WaitGroup // send the request to all hosts concurrently
	var failed atomic.Int32
	for _, host := range c.hosts {
		wg.Go(func() {
			if pay(host, "two") != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, failed.Load(), int32(0))

	in, _ := c.primaryAndOwner()
	in.LoseAnswers(1) // the COMMIT runs but its answer is lost
	assert.NilError(t, pay(c.hosts[0], "three"))
	in.Kill()
	for _, host := range c.hosts { // the outcomes must survive a change of primary
		assert.NilError(t, pay(host, "one"))
		assert.NilError(t, pay(host, "three"))
	}
	conn := c.connect(c.hosts[0])
	_, err := conn.Exec(ctx, "/* class=settlement request_id=one */ INSERT INTO payments (key, value) VALUES ('other', 'paid')")
	assert.Equal(t, sqlstate(err), "42601", "the id belongs to another request")
	in, _ = c.primaryAndOwner()
	assert.Equal(t, len(in.Rows("payments")), 3)
}
