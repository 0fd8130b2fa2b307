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

// ledger is what writers were told of their inserts, by key.
type ledger struct {
	mu     sync.Mutex
	acked  []string
	notRun []string
	states map[string]int
	doubts []string // the first answers that left the outcome open

	writers atomic.Int32
}

func (l *ledger) note(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acked = append(l.acked, key)
	case notRun(err):
		l.notRun = append(l.notRun, key)
	}
	l.states[state(err)]++
	if err != nil && !notRun(err) && len(l.doubts) < 5 {
		l.doubts = append(l.doubts, time.Now().Format("05.000 ")+err.Error())
	}
}

func (l *ledger) ackedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.acked)
}

// writers insert through every host until stop is closed.
func (c *cluster) writers(class string, each int, stop <-chan struct{}) (*ledger, *sync.WaitGroup) {
	l := &ledger{states: map[string]int{}}
	var wg sync.WaitGroup
	for i := range each * len(c.hosts) {
		c.writer(l, class, c.hosts[i%len(c.hosts)], &wg, stop)
	}
	return l, &wg
}

// writer inserts through one host until stop is closed or the connection ends.
func (c *cluster) writer(l *ledger, class string, p *process, wg *sync.WaitGroup, stop <-chan struct{}) {
	conn := c.connect(p)
	id := l.writers.Add(1)
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			key := fmt.Sprintf("%d-%d", id, n)
			_, err := conn.Exec(context.Background(), "/* class="+class+" */ INSERT INTO tickets (key, value) VALUES ($1, 'v')", key)
			l.note(key, err)
			if conn.IsClosed() {
				return
			}
		}
	})
}

// underLoad runs a fault between writes: some are acknowledged before it and
// some after it, and all are compared with the rows in the end.
func (c *cluster) underLoad(class string, each int, fault func(l *ledger)) *ledger {
	c.t.Helper()
	stop := make(chan struct{})
	l, wg := c.writers(class, each, stop)
	c.more(l, enough)
	fault(l)
	c.more(l, enough)
	close(stop)
	wg.Wait()
	c.check(l)
	return l
}

// enough is how many acknowledged writes show that a group is served.
const enough = 20

// check compares what writers were told with the rows of the primary.
func (c *cluster) check(l *ledger) {
	c.t.Helper()
	in, _ := c.primary()
	rows := in.Rows("tickets")
	for _, key := range l.acked {
		if rows[key] == "" {
			for _, i := range c.group {
				c.t.Logf("%s: %v %v, row %q", i.ID(), i.Role(), i.Mark(), i.Rows("tickets")[key])
			}
		}
		assert.Assert(c.t, rows[key] != "", "acknowledged, but not there: %s", key)
	}
	for _, key := range l.notRun {
		assert.Assert(c.t, rows[key] == "", "said to be not run, but there: %s", key)
	}
	c.t.Logf("%d acknowledged, %d not run, by SQLSTATE %v %q", len(l.acked), len(l.notRun), l.states, l.doubts)
}

// more waits until n more writes were acknowledged.
func (c *cluster) more(l *ledger, n int) {
	c.t.Helper()
	want := l.ackedCount() + n
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if got := l.ackedCount(); got < want {
			return poll.Continue("%d of %d writes acknowledged", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}

func TestAcknowledgedWritesSurviveAKilledPrimary(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(*ledger) {
		in, _ := c.primary()
		in.Kill()
	})
}

func TestAcknowledgedWritesSurviveAKilledOwner(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(*ledger) {
		_, owner := c.primary()
		assert.NilError(t, owner.cmd.Process.Kill())
	})
}

func TestFrozenOwnerAcknowledgesNothingOnceItThaws(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(l *ledger) {
		in, owner := c.primary()
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
		in.Kill()
		c.more(l, enough)
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	})
}

func TestOldPrimaryThatComesBackIsNotServed(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 20*time.Millisecond)
	c.underLoad("settlement", 1, func(l *ledger) {
		in, _ := c.primary()
		in.Freeze()
		c.more(l, enough)
		in.Thaw()
		c.wait("the old primary is a replica", func(s api.Status) bool {
			for _, i := range s.Instances {
				if i.Instance == in.ID() {
					return i.Role == "replica" && i.Term == s.Groups[0].Term
				}
			}
			return false
		})
	})
}

func TestShutdownCutsNoRequest(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 5*time.Millisecond)
	l := c.underLoad("ticket", 2, func(*ledger) {
		_, owner := c.primary()
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
		c.awaitReady(owner, false)
		owner.awaitExit(t)
	})
	for kind := range l.states {
		assert.Assert(t, kind == "" || kind == "57P01", "refused: %v", l.states)
	}
}

func TestLeavingPrimaryHandsOverWithoutARefusal(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 5*time.Millisecond)
	l := c.underLoad("settlement", 4, func(l *ledger) { // never sent twice, so a refusal shows
		in, _ := c.primary()
		in.SetLeaving(true)
		c.wait("another primary", func(s api.Status) bool {
			return s.Groups[0].Primary != in.ID() && s.Groups[0].Phase == "stable"
		})
		c.more(l, enough)
		before := in.Stats().Finished
		c.more(l, 2*enough)
		assert.Equal(t, in.Stats().Finished, before, "new work at an instance that left")
	})
	assert.Equal(t, len(l.states), 1, "refused: %v", l.states)
}

func TestPrimaryAndItsOwnerAreKilledTogether(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 20*time.Millisecond)
	c.underLoad("settlement", 2, func(*ledger) {
		in, owner := c.primary()
		in.Kill()
		assert.NilError(t, owner.cmd.Process.Kill())
	})
}

// TestThePrimaryIsLostTwice freezes one primary after the other; the first one
// is back, as a replica, when the second one goes.
func TestThePrimaryIsLostTwice(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 5*time.Millisecond)
	c.underLoad("settlement", 2, func(l *ledger) {
		for range 2 {
			in, _ := c.primary()
			in.Freeze()
			c.wait("another primary", func(s api.Status) bool {
				return s.Groups[0].Primary != in.ID() && s.Groups[0].Phase == "stable"
			})
			in.Thaw()
			c.wait("all instances in the term", func(s api.Status) bool {
				for _, i := range s.Instances {
					if i.Term != s.Groups[0].Term {
						return false
					}
				}
				return true
			})
			c.more(l, enough)
		}
	})
}

// TestRollingRestartCutsNoRequest restarts every host in turn under load.
// Writers whose host stops go on at another one.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 5*time.Millisecond)
	stop := make(chan struct{})
	l, wg := c.writers("settlement", 2, stop)
	for _, p := range c.hosts {
		c.more(l, enough)
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		p.awaitExit(t)
		c.run(p)
		c.awaitReady(p, true)
		c.writer(l, "settlement", p, wg, stop)
	}
	c.more(l, enough)
	close(stop)
	wg.Wait()
	c.check(l)
	for kind := range l.states {
		assert.Assert(t, kind == "" || kind == "57P01", "refused: %v", l.states)
	}
}

func TestShutdownDuringAChangeOfPrimary(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 5*time.Millisecond)
	l := c.underLoad("settlement", 2, func(*ledger) {
		in, owner := c.primary()
		in.Kill()
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
		owner.awaitExit(t)
	})
	// Only what was at the killed primary may have failed otherwise.
	inFlight := 2 * len(c.hosts)
	for kind, n := range l.states {
		assert.Assert(t, kind == "" || kind == "57P01" || n <= inFlight, "%v", l.states)
	}
}

func TestRequestWithAnIDRunsOnce(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 5*time.Millisecond)
	ctx := t.Context()
	pay := func(p *process, id string) error {
		conn := c.connect(p)
		_, err := conn.Exec(ctx, "/* class=settlement request_id="+id+" */ INSERT INTO payments (key, value) VALUES ($1, 'paid')", "pay-"+id)
		return err
	}
	for n, host := range c.hosts { // a repeat on each host
		assert.NilError(t, pay(host, "one"), n)
	}
	var wg sync.WaitGroup // at the same time on all hosts
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

	in, _ := c.primary()
	in.LoseAnswers(1) // the COMMIT runs, its answer is lost
	assert.NilError(t, pay(c.hosts[0], "three"))
	in.Kill()
	for _, host := range c.hosts { // the same outcomes after a change of primary
		assert.NilError(t, pay(host, "one"))
		assert.NilError(t, pay(host, "three"))
	}
	conn := c.connect(c.hosts[0])
	_, err := conn.Exec(ctx, "/* class=settlement request_id=one */ INSERT INTO payments (key, value) VALUES ('other', 'paid')")
	assert.Equal(t, state(err), "42601", "the id of another request")
	in, _ = c.primary()
	assert.Equal(t, len(in.Rows("payments")), 3)
}
