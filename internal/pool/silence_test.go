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

// quick makes a pool look for silence soon.
func quick(c *Config) { c.Progress, c.ProbeTimeout = 20*time.Millisecond, 200*time.Millisecond }

func TestSilentIdleConnectionsAreReplaced(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), quick)
	fill(t, p, 3)
	old := map[Conn]bool{}
	for _, c := range p.idle {
		old[c] = true
	}
	up.SilenceOpenConnections()
	p.Maintain(t.Context(), time.Now().Add(2*DefaultProbeIdle))
	waittest.Until(t, "no old connection rests", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.idle {
			if old[c] {
				return false
			}
		}
		return len(p.idle) > 0
	})
	runs(t, p, "SELECT 1")
}

func TestSilentBusyConnectionIsFoundByItsFellows(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), quick)
	busy := lend(t, p)
	fellow := lend(t, p)
	_, err := run(t, fellow, "SELECT 1") // it answered after busy was opened
	assert.NilError(t, err)
	p.Put(fellow)
	up.SilenceOpenConnections()
	var answer strings.Builder
	_, err = busy.Run(t.Context(), time.Now().Add(time.Hour), ask(t, &answer, "SELECT 1"))
	assert.Assert(t, errors.Is(err, errSilent), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown)
	p.Discard(busy)
	runs(t, p, "SELECT 1")
}

func TestSlowStatementIsNotSilent(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Progress = time.Millisecond })
	fill(t, p, 3)
	runs(t, p, "SELECT pg_sleep(0.1)")
	_, idle := p.Stats()
	assert.Equal(t, idle, 3)
}

func TestFrozenUpstreamIsNotSilent(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) {
		c.Progress, c.ProbeTimeout, c.DialTimeout = 5*time.Millisecond, 5*time.Millisecond, 50*time.Millisecond
	})
	c := lend(t, p)
	runs(t, p, "SELECT 1") // on a fellow, which answered after c was opened
	up.Freeze()
	defer up.Thaw()
	var answer strings.Builder
	_, err := c.Run(t.Context(), time.Now().Add(200*time.Millisecond), ask(t, &answer, "SELECT 1"))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	p.Discard(c)
}

func TestConnectionsFollowTheNeed(t *testing.T) {
	up := startUpstream(t, func(c *standin.Config) { c.Connections = 20 })
	p := newPool(t, up.Address(), func(c *Config) { c.Max, c.Warm = 10, 1 })
	now := time.Now()
	open := func() int { n, _ := p.Stats(); return n }
	steps := []struct {
		name   string
		lend   int
		later  time.Duration
		wanted int
	}{
		{"the floor and one that rests", 0, 0, 2},
		{"what was wanted at once and one that rests", 5, 0, 6},
		{"also a little later", 0, 30 * time.Second, 6},
		{"never more than Max", 10, 0, 10},
		{"down to the floor after two windows", 0, 4 * time.Minute, 2},
	}
	for _, step := range steps {
		now = now.Add(step.later)
		fill(t, p, step.lend)
		waittest.Until(t, step.name, func() bool {
			now = now.Add(time.Millisecond)
			if step.later > time.Minute {
				now = now.Add(time.Second)
			}
			p.Maintain(t.Context(), now)
			return open() == step.wanted
		})
	}
	assert.Assert(t, up.Stats().MaxOpen <= 10)
}
