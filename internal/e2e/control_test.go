package e2e

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/standin"
)

// TestWritesContinueWithoutControlLeader kills the control leader under load.
// Writes must continue across the election of another leader.
func TestWritesContinueWithoutControlLeader(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 5*time.Millisecond)
	leader := c.host(c.status().Leader)
	stop := make(chan struct{})
	o, wg := c.startWriters("ticket", 1, stop)
	c.waitForAcks(o, 20)
	assert.NilError(t, leader.cmd.Process.Kill())
	c.waitForStatus("another leader", func(s api.Status) bool { return s.Leader != "" && string(s.Leader) != leader.name })
	c.waitForAcks(o, 200)
	close(stop)
	wg.Wait()
	c.checkRows(o)
}

// TestConcurrentApplyInstallsOneDocument applies two documents with the same
// version through all hosts at once. Exactly one of them may come into force.
func TestConcurrentApplyInstallsOneDocument(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 0)
	next := strings.Replace(document, `"version": 1`, `"version": 2`, 1)
	var wg sync.WaitGroup
	replies := make([]error, len(c.hosts))
	for i, p := range c.hosts {
		wg.Go(func() {
			doc := strings.Replace(next, `"deadline": "8s"`, fmt.Sprintf(`"deadline": "%ds"`, 9+i%2), 1)
			_, replies[i] = api.NewClient(p.httpAddress, waitTimeout).Apply(t.Context(), []byte(doc))
		})
	}
	wg.Wait()
	accepted := [2]int{}
	for i, err := range replies {
		var remote *api.RemoteError
		switch {
		case err == nil:
			accepted[i%2]++
		case errors.As(err, &remote):
			assert.Equal(t, remote.Body.Kind, "config_conflict")
			assert.Equal(t, remote.Body.InForce.Version, uint64(2), "the refusal must state the version in force")
		default:
			t.Fatal(err)
		}
	}
	assert.Assert(t, accepted == [2]int{2, 0} || accepted == [2]int{0, 2}, "%v", accepted)
	c.waitForStatus("in force everywhere", func(s api.Status) bool { return s.Documents[0].Version == 2 && inForce(s) == len(c.hosts) })
}

// TestRestartedHostsCatchUpBeforeReady guards against a host that reports ready
// after a restart although it has no document yet.
func TestRestartedHostsCatchUpBeforeReady(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 0)
	for _, p := range c.hosts[:3] { // all control hosts at once
		assert.NilError(t, p.cmd.Process.Kill())
		_ = p.cmd.Wait()
	}
	for _, p := range c.hosts[:3] {
		c.startProcess(p)
	}
	for _, p := range c.hosts[:3] {
		c.waitForReady(p, true)
		s, err := api.NewClient(p.httpAddress, waitTimeout).Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Documents[0].Version, uint64(1), "ready without the document")
	}
	assert.NilError(t, insert(t.Context(), c.connect(c.hosts[0]), "after"))
}

// TestIsolatedDomainServesBoundedReads suspends the hosts of two failure domains.
// The third domain then has no quorum: it may serve reads only while it can prove
// that they are within the staleness of their class, and must not serve writes.
func TestIsolatedDomainServesBoundedReads(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 6, 5*time.Millisecond)
	ctx := t.Context()
	_, err := api.NewClient(c.hosts[0].httpAddress, waitTimeout).SwitchOver(ctx, api.SwitchOver{Group: "ledger-1", To: "ledger-1-2"})
	assert.NilError(t, err)
	c.waitForStatus("the primary is in another failure domain", func(s api.Status) bool {
		return s.Groups[0].Primary == "ledger-1-2" && s.Groups[0].Phase == "stable"
	})
	conn := c.connect(c.hosts[0])
	assert.NilError(t, insert(ctx, conn, "a"))
	assert.Equal(t, count(t, conn, "report"), 1)

	var suspended []*process
	for _, p := range c.hosts {
		if p.domain != c.hosts[0].domain {
			suspended = append(suspended, p)
			assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
		}
	}
	suspendedAt := time.Now()
	served, last := 0, suspendedAt
	for {
		var n int
		began := time.Now()
		err = conn.QueryRow(ctx, "/* class=quick-report */ SELECT count(*) FROM tickets").Scan(&n)
		if err != nil {
			break
		}
		assert.Equal(t, n, 1)
		served, last = served+1, began
	}
	const staleness = 2 * time.Second // of the class quick-report
	assert.Assert(t, last.Sub(suspendedAt) <= staleness, "read served %v after the quorum was lost", last.Sub(suspendedAt))
	assert.Assert(t, served > 0, "no read was served after the quorum was lost")
	_, err = conn.Exec(ctx, "/* class=quick-ticket */ INSERT INTO tickets (key, value) VALUES ('b', 'v')")
	assert.Assert(t, err != nil, "write acknowledged without a quorum")
	t.Logf("%d reads served after the quorum was lost, then SQLSTATE %s", served, sqlstate(err))

	for _, p := range suspended {
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	}
	resumedAt := time.Now()
	defer func() { t.Logf("served again %v after resuming", time.Since(resumedAt).Round(10*time.Millisecond)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := insert(ctx, conn, "c"); err != nil {
			return poll.Continue("after the hosts resumed: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	rows := c.instance("ledger-1-2").Rows("tickets")
	assert.Assert(t, rows["b"] == "" && rows["c"] != "")
}

// TestConnectionLimitAcrossOwners moves ownership of the primary under load. The
// old and the new owner together must never open more connections than the
// instance announced.
func TestConnectionLimitAcrossOwners(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 5, 5*time.Millisecond)
	stop := make(chan struct{})
	o, wg := c.startWriters("ticket", 4, stop)
	for range 2 {
		c.waitForAcks(o, 30)
		_, owner := c.primaryAndOwner()
		if owner == c.hosts[len(c.hosts)-1] {
			break
		}
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
		c.waitForStatus("another host owns the primary", func(s api.Status) bool {
			for _, in := range s.Instances {
				if in.Instance == s.Groups[0].Primary {
					return in.Owner != "" && string(in.Owner) != owner.name
				}
			}
			return false
		})
		c.waitForAcks(o, 30)
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	}
	close(stop)
	wg.Wait()
	c.checkRows(o)
	limit := standin.DefaultConfig("g", "i").Connections
	for _, in := range c.instances {
		assert.Assert(t, in.Stats().MaxOpen <= limit, "%s: %d", in.ID(), in.Stats().MaxOpen)
	}
}
