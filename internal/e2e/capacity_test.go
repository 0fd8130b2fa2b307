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

// cpuTime returns the CPU time that a host has used, as the sum of its threads.
func (p *process) cpuTime(tb testing.TB) time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	assert.NilError(tb, err)
	var sum time.Duration
	for _, f := range files {
		body, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(body), " ")
		n, err := strconv.ParseInt(first, 10, 64)
		assert.NilError(tb, err)
		sum += time.Duration(n)
	}
	return sum
}

// anonymousMemory returns the resident anonymous memory of a host in bytes. It
// excludes the pages of the program file.
func (p *process) anonymousMemory(tb testing.TB) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(tb, err)
	for line := range strings.Lines(string(body)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			assert.NilError(tb, err)
			return n * 1024
		}
	}
	tb.Fatal("no RssAnon in /proc/PID/status")
	return 0
}

// BenchmarkCapacityHosts measures the memory and CPU time of hosts that run as
// processes: idle, with idle callers, and with statements that the entry host
// serves itself or forwards to the owner.
func BenchmarkCapacityHosts(b *testing.B) {
	c := startCluster(b, 5, 0)
	_, owner := c.primaryAndOwner()
	entry := c.hosts[3]
	if entry == owner {
		entry = c.hosts[4]
	}
	time.Sleep(time.Second)
	capacitytest.Report(b, "host_idle_memory", entry.anonymousMemory(b), capacity.Bytes)
	idle := c.measureIdle(b)
	c.measureCallers(b, entry)
	c.measureStatements(b, idle, owner, owner)
	c.measureStatements(b, idle, entry, owner)
}

// measureIdle reports two figures: the CPU time of an idle second of a host that
// owns no instance, and the CPU time of an idle second of the owners per owned
// instance. Neither includes the control hosts, which are the first three.
// measureIdle returns the CPU time of an idle second of every host by name.
func (c *cluster) measureIdle(b *testing.B) map[string]time.Duration {
	const seconds = 4
	owned := map[string]int{}
	for _, in := range c.status().Instances {
		owned[string(in.Owner)]++
	}
	used := map[string]time.Duration{}
	for _, p := range c.hosts {
		used[p.name] = -p.cpuTime(b)
	}
	time.Sleep(seconds * time.Second)
	var withoutInstance, withInstance, hosts, instances float64
	for i, p := range c.hosts {
		used[p.name] = (used[p.name] + p.cpuTime(b)) / seconds
		us := used[p.name].Seconds() * 1e6
		switch {
		case i < 3:
		case owned[p.name] == 0:
			withoutInstance, hosts = withoutInstance+us, hosts+1
		default:
			withInstance, instances = withInstance+us, instances+float64(owned[p.name])
		}
	}
	if hosts > 0 {
		capacitytest.Report(b, "host_idle_second_cpu", withoutInstance/hosts, capacity.Microsecond)
	}
	if instances > 0 {
		capacitytest.Report(b, "host_owning_second_cpu", withInstance/instances, capacity.Microsecond)
	}
	return used
}

// measureCallers reports the memory of a caller connection that has run one
// statement, and the CPU time of a second with 1000 idle callers.
func (c *cluster) measureCallers(b *testing.B, p *process) {
	const warmup, measured = 200, 800 // connections
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
	open(warmup)
	before := p.anonymousMemory(b)
	open(measured)
	capacitytest.Report(b, "caller_memory", (p.anonymousMemory(b)-before)/measured, capacity.Bytes)
	used := p.cpuTime(b)
	time.Sleep(2 * time.Second)
	capacitytest.Report(b, "idle_callers_second_cpu", (p.cpuTime(b)-used).Seconds()/2*1e6, capacity.Microsecond)
}

// measureStatements reports the CPU time of a current read through an entry host,
// at the entry host and at the owner. It subtracts the CPU time of idle hosts.
func (c *cluster) measureStatements(b *testing.B, idle map[string]time.Duration, entry, owner *process) {
	const callers, perCaller = 8, 400
	name := "statement_local"
	if entry != owner {
		name = "statement_forwarded"
	}
	conns := make([]*pgx.Conn, callers)
	for i := range conns {
		conns[i] = c.connect(entry)
		lookup(b, conns[i])
	}
	entryBefore, ownerBefore, begin := entry.cpuTime(b), owner.cpuTime(b), time.Now()
	var group errgroup.Group
	for _, conn := range conns {
		group.Go(func() error {
			for range perCaller {
				if err := lookup(b, conn); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(b, group.Wait())
	elapsed := time.Since(begin).Seconds()
	perStatement := func(p *process, before time.Duration) float64 {
		return ((p.cpuTime(b) - before).Seconds() - idle[p.name].Seconds()*elapsed) * 1e6 / (callers * perCaller)
	}
	capacitytest.Report(b, name+"_entry_cpu", perStatement(entry, entryBefore), capacity.Microsecond)
	if entry != owner {
		capacitytest.Report(b, name+"_owner_cpu", perStatement(owner, ownerBefore), capacity.Microsecond)
	}
}

// lookup runs a current read.
func lookup(b *testing.B, conn *pgx.Conn) error {
	var n int
	return conn.QueryRow(context.WithoutCancel(b.Context()), "/* class=lookup */ SELECT count(*) FROM tickets").Scan(&n)
}
