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

func TestWritesGoOnWhenTheControlLeaderDies(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 5*time.Millisecond)
	leader := c.host(c.status().Leader)
	stop := make(chan struct{})
	l, wg := c.writers("ticket", 1, stop)
	c.more(l, 20)
	assert.NilError(t, leader.cmd.Process.Kill())
	c.wait("another leader", func(s api.Status) bool { return s.Leader != "" && string(s.Leader) != leader.name })
	c.more(l, 200)
	close(stop)
	wg.Wait()
	c.check(l)
}

func TestOneOfTwoOperatorsWins(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 0)
	next := strings.Replace(document, `"version": 1`, `"version": 2`, 1)
	var wg sync.WaitGroup
	replies := make([]error, len(c.hosts))
	for i, p := range c.hosts {
		wg.Go(func() {
			doc := strings.Replace(next, `"deadline": "8s"`, fmt.Sprintf(`"deadline": "%ds"`, 9+i%2), 1)
			_, replies[i] = api.NewClient(p.http, patience).Apply(t.Context(), []byte(doc))
		})
	}
	wg.Wait()
	won := [2]int{}
	for i, err := range replies {
		var remote *api.RemoteError
		switch {
		case err == nil:
			won[i%2]++
		case errors.As(err, &remote):
			assert.Equal(t, remote.Body.Kind, "config_conflict")
			assert.Equal(t, remote.Body.InForce.Version, uint64(2), "the loser is told what is in force")
		default:
			t.Fatal(err)
		}
	}
	assert.Assert(t, won == [2]int{2, 0} || won == [2]int{0, 2}, "%v", won)
	c.wait("in force everywhere", func(s api.Status) bool { return s.Documents[0].Version == 2 && inForce(s) == len(c.hosts) })
}

func TestRestartedHostsCatchUpBeforeTheyAreReady(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 0)
	for _, p := range c.hosts[:3] { // all control hosts at once
		assert.NilError(t, p.cmd.Process.Kill())
		_ = p.cmd.Wait()
	}
	for _, p := range c.hosts[:3] {
		c.run(p)
	}
	for _, p := range c.hosts[:3] {
		c.awaitReady(p, true)
		s, err := api.NewClient(p.http, patience).Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Documents[0].Version, uint64(1), "ready without the document")
	}
	assert.NilError(t, insert(t.Context(), c.connect(c.hosts[0]), "after"))
}

// TestCutDomainServesWhatItCanProve freezes the hosts of two failure domains.
// The third has no quorum then: it serves reads within their stated staleness
// as long as that can be proven, and no write.
func TestCutDomainServesWhatItCanProve(t *testing.T) {
	t.Parallel()
	c := start(t, 6, 5*time.Millisecond)
	ctx := t.Context()
	_, err := api.NewClient(c.hosts[0].http, patience).SwitchOver(ctx, api.SwitchOver{Group: "ledger-1", To: "ledger-1-2"})
	assert.NilError(t, err)
	c.wait("the primary is in another failure domain", func(s api.Status) bool {
		return s.Groups[0].Primary == "ledger-1-2" && s.Groups[0].Phase == "stable"
	})
	conn := c.connect(c.hosts[0])
	assert.NilError(t, insert(ctx, conn, "a"))
	assert.Equal(t, count(t, conn, "report"), 1)

	var cut []*process
	for _, p := range c.hosts {
		if p.domain != c.hosts[0].domain {
			cut = append(cut, p)
			assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
		}
	}
	cutAt := time.Now()
	served, last := 0, cutAt
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
	const staleness = 2 * time.Second // of the class
	assert.Assert(t, last.Sub(cutAt) <= staleness, "served %v after the cut", last.Sub(cutAt))
	assert.Assert(t, served > 0, "nothing was served after the cut")
	_, err = conn.Exec(ctx, "/* class=quick-ticket */ INSERT INTO tickets (key, value) VALUES ('b', 'v')")
	assert.Assert(t, err != nil, "a write without a quorum")
	t.Logf("%d reads served after the cut, then %s", served, state(err))

	for _, p := range cut {
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	}
	healed := time.Now()
	defer func() { t.Logf("served again %v after the cut healed", time.Since(healed).Round(10*time.Millisecond)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := insert(ctx, conn, "c"); err != nil {
			return poll.Continue("after the cut healed: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
	rows := c.instance("ledger-1-2").Rows("tickets")
	assert.Assert(t, rows["b"] == "" && rows["c"] != "")
}

// TestOwnersNeverOpenMoreThanAnnounced moves ownership under load and looks at
// the most connections that an instance ever had.
func TestOwnersNeverOpenMoreThanAnnounced(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 5*time.Millisecond)
	stop := make(chan struct{})
	l, wg := c.writers("ticket", 4, stop)
	for range 2 {
		c.more(l, 30)
		_, owner := c.primary()
		if owner == c.hosts[len(c.hosts)-1] {
			break
		}
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
		c.wait("moved", func(s api.Status) bool {
			for _, in := range s.Instances {
				if in.Instance == s.Groups[0].Primary {
					return in.Owner != "" && string(in.Owner) != owner.name
				}
			}
			return false
		})
		c.more(l, 30)
		assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	}
	close(stop)
	wg.Wait()
	c.check(l)
	limit := standin.DefaultConfig("g", "i").Connections
	for _, in := range c.group {
		assert.Assert(t, in.Stats().MaxOpen <= limit, "%s: %d", in.ID(), in.Stats().MaxOpen)
	}
}
