package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
	"github.com/amaranthweir/amaranthweir/internal/capacity/capacitytest"
)

// cpu returns the processor time that a host has used.
func (p *process) cpu(tb testing.TB) time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	assert.NilError(tb, err)
	var sum time.Duration
	for _, f := range files {
		body, err := os.ReadFile(f)
		if err != nil {
			continue // the thread ended
		}
		first, _, _ := strings.Cut(string(body), " ")
		n, err := strconv.ParseInt(first, 10, 64)
		assert.NilError(tb, err)
		sum += time.Duration(n)
	}
	return sum
}

// anonymous returns the resident memory of a host without its program file.
func (p *process) anonymous(tb testing.TB) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(tb, err)
	for line := range strings.Lines(string(body)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			assert.NilError(tb, err)
			return n * 1024
		}
	}
	tb.Fatal("no RssAnon")
	return 0
}

// BenchmarkCapacityHosts measures hosts as processes: idle, with idle callers,
// and with statements that are served locally and through another host.
func BenchmarkCapacityHosts(b *testing.B) {
	c := start(b, 5, 0)
	_, owner := c.primary()
	entry := c.hosts[3]
	if entry == owner {
		entry = c.hosts[4]
	}
	time.Sleep(time.Second)
	capacitytest.Report(b, "host_idle_memory", entry.anonymous(b), capacity.Bytes)
	idle := c.idle(b)
	c.measureCallers(b, entry)
	c.measureStatements(b, idle, owner, owner)
	c.measureStatements(b, idle, entry, owner)
}

// idle reports the processor time of an idle second, with and without an owned
// instance, and returns that of each host.
func (c *cluster) idle(b *testing.B) map[string]time.Duration {
	const seconds = 4
	owned := map[string]int{}
	for _, in := range c.status().Instances {
		owned[string(in.Owner)]++
	}
	used := map[string]time.Duration{}
	for _, p := range c.hosts {
		used[p.name] = -p.cpu(b)
	}
	time.Sleep(seconds * time.Second)
	var bare, owning, hosts, instances float64
	for i, p := range c.hosts {
		used[p.name] = (used[p.name] + p.cpu(b)) / seconds
		us := used[p.name].Seconds() * 1e6
		switch {
		case i < 3:
		case owned[p.name] == 0:
			bare, hosts = bare+us, hosts+1
		default:
			owning, instances = owning+us, instances+float64(owned[p.name])
		}
	}
	if hosts > 0 {
		capacitytest.Report(b, "host_idle_second_cpu", bare/hosts, capacity.Microsecond)
	}
	if instances > 0 {
		capacitytest.Report(b, "host_owning_second_cpu", owning/instances, capacity.Microsecond)
	}
	return used
}

// measureCallers opens connections that ran one statement and then stay idle.
func (c *cluster) measureCallers(b *testing.B, p *process) {
	const first, more = 200, 800
	open := func(n int) {
		group, ctx := errgroup.WithContext(b.Context())
		group.SetLimit(8)
		conns := make([]*pgx.Conn, n)
		for i := range conns {
			conns[i] = c.connect(p)
			group.Go(func() error { return insert(ctx, conns[i], fmt.Sprint("idle-", n, "-", i)) })
		}
		assert.NilError(b, group.Wait())
	}
	open(first)
	before := p.anonymous(b)
	open(more)
	capacitytest.Report(b, "caller_memory", (p.anonymous(b)-before)/more, capacity.Bytes)
	used := p.cpu(b)
	time.Sleep(2 * time.Second)
	capacitytest.Report(b, "idle_callers_second_cpu", (p.cpu(b)-used).Seconds()/2*1e6, capacity.Microsecond)
}

// measureStatements runs current reads through an entry host.
func (c *cluster) measureStatements(b *testing.B, idle map[string]time.Duration, entry, owner *process) {
	const callers, each = 8, 400
	name := "statement_local"
	if entry != owner {
		name = "statement_forwarded"
	}
	conns := make([]*pgx.Conn, callers)
	for i := range conns {
		conns[i] = c.connect(entry)
		lookup(b, conns[i])
	}
	atEntry, atOwner, begin := entry.cpu(b), owner.cpu(b), time.Now()
	var group errgroup.Group
	for _, conn := range conns {
		group.Go(func() error {
			for range each {
				if err := lookup(b, conn); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(b, group.Wait())
	elapsed := time.Since(begin).Seconds()
	per := func(p *process, before time.Duration) float64 {
		return ((p.cpu(b) - before).Seconds() - idle[p.name].Seconds()*elapsed) * 1e6 / (callers * each)
	}
	capacitytest.Report(b, name+"_entry_cpu", per(entry, atEntry), capacity.Microsecond)
	if entry != owner {
		capacitytest.Report(b, name+"_owner_cpu", per(owner, atOwner), capacity.Microsecond)
	}
}

func lookup(b *testing.B, conn *pgx.Conn) error {
	var n int
	return conn.QueryRow(context.WithoutCancel(b.Context()), "/* class=lookup */ SELECT count(*) FROM tickets").Scan(&n)
}
