package pool

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
	"github.com/amaranthweir/amaranthweir/standin"
)

// shortTimeouts makes a pool check for silence early.
func shortTimeouts(c *Config) {
	c.SilenceTimeout, c.ProbeTimeout = 20*time.Millisecond, 200*time.Millisecond
}

// Idle connections that no longer deliver data are found by their probes and
// replaced before a request uses them.
func TestSilentIdleConnectionsAreReplaced(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), shortTimeouts)
	fill(t, p, 3)
	old := map[Conn]bool{}
	for _, c := range p.idle {
		old[c] = true
	}
	up.SilenceOpenConnections()
	p.Maintain(t.Context(), time.Now().Add(2*DefaultProbeIdle))
	waittest.Until(t, "no silent connection is idle", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.idle {
			if old[c] {
				return false
			}
		}
		return len(p.idle) > 0
	})
	mustRun(t, p, "SELECT 1")
}

// A request on a silent connection fails early, because an idle connection, which
// had answered since the busy one was opened, turns out to be silent too.
func TestSilentBusyConnectionIsDetectedByProbes(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), shortTimeouts)
	busy := getConn(t, p)
	other := getConn(t, p)
	_, err := run(t, other, "SELECT 1") // other has answered since busy was opened
	assert.NilError(t, err)
	p.Put(other)
	up.SilenceOpenConnections()
	var answer strings.Builder
	_, err = busy.Run(t.Context(), time.Now().Add(time.Hour), newQuery(t, &answer, "SELECT 1"))
	assert.Assert(t, errors.Is(err, errSilent), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown)
	p.Discard(busy)
	mustRun(t, p, "SELECT 1")
}

// A slow statement does not make its connection silent, since the idle
// connections still answer.
func TestSlowStatementIsNotSilent(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.SilenceTimeout = time.Millisecond })
	fill(t, p, 3)
	mustRun(t, p, "SELECT pg_sleep(0.1)")
	_, idle := p.Stats()
	assert.Equal(t, idle, 3)
}

// A request to a frozen upstream ends at its deadline: no connection is considered
// silent as long as the upstream answers on none.
func TestFrozenUpstreamIsNotSilent(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) {
		c.SilenceTimeout, c.ProbeTimeout, c.DialTimeout = 5*time.Millisecond, 5*time.Millisecond, 50*time.Millisecond
	})
	c := getConn(t, p)
	mustRun(t, p, "SELECT 1") // on another connection, which thus has answered since c was opened
	up.Freeze()
	defer up.Thaw()
	var answer strings.Builder
	_, err := c.Run(t.Context(), time.Now().Add(200*time.Millisecond), newQuery(t, &answer, "SELECT 1"))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	p.Discard(c)
}

// Maintain opens and closes connections according to the recent peak demand.
func TestConnectionsFollowDemand(t *testing.T) {
	up := startUpstream(t, func(c *standin.Config) { c.Connections = 20 })
	p := newPool(t, up.Address(), func(c *Config) { c.Max, c.Warm = 10, 1 })
	now := time.Now()
	open := func() int { n, _ := p.Stats(); return n }
	steps := []struct {
		name   string
		demand int // connections in use at once
		later  time.Duration
		want   int // open connections
	}{
		{"Warm plus one spare", 0, 0, 2},
		{"peak demand plus one spare", 5, 0, 6},
		{"unchanged within the window", 0, 30 * time.Second, 6},
		{"at most Max", 10, 0, 10},
		{"back to Warm plus one after two windows", 0, 4 * time.Minute, 2},
	}
	for _, step := range steps {
		now = now.Add(step.later)
		fill(t, p, step.demand)
		waittest.Until(t, step.name, func() bool {
			now = now.Add(time.Millisecond)
			if step.later > time.Minute {
				now = now.Add(time.Second)
			}
			p.Maintain(t.Context(), now)
			return open() == step.want
		})
	}
	assert.Assert(t, up.Stats().MaxOpen <= 10)
}
