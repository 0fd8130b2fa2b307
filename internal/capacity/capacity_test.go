package capacity_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
)

func row(t *testing.T, rows []capacity.Row, mechanism string, role capacity.Role) capacity.Row {
	t.Helper()
	for _, r := range rows {
		if r.Mechanism == mechanism && r.Role == role {
			return r
		}
	}
	t.Fatalf("no row %q", mechanism)
	return capacity.Row{}
}

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 1e-6*want, "%v, want %v", got, want)
}

// TestWork works small numbers out by hand: 10 hosts, 20 groups of 3, one
// heartbeat and ten probes a second.
func TestWork(t *testing.T) {
	z := capacity.Sizes{
		Hosts: 10, Groups: 20, InstancesPerGroup: 3, Services: 2, ControlHosts: 5, Domains: 5, Callers: 1000,
		Restarts: 86400, Heartbeat: time.Second, Ping: 100 * time.Millisecond, Probe: 100 * time.Millisecond,
	}
	s := capacity.Slopes{
		"heartbeat_bytes": 300, "heartbeat_reply_bytes": 100, "call_bytes": 44, "heartbeat_document_bytes": 10,
		"tables_host_bytes": 100, "tables_instance_bytes": 200, "tables_encode_cpu": 1000, "tables_delta_bytes": 150, "probe_bytes": 44,
		"leader_heartbeat_cpu": 20, "call_cpu_both_ends": 60, "leader_heartbeat_document_cpu": 5, "probe_cpu_both_ends": 20,
		"commit_5_hosts_bytes": 400, "control_idle_leader_5_hosts_messages": 4,
	}
	d := capacity.Design{
		Heartbeat: time.Second, Probe: 100 * time.Millisecond, Announce: time.Second, IdlePings: true, Served: 1,
		WholeTables: true, AllGroups: true, DocumentVersions: true,
	}
	rows := capacity.Estimate(s, z, d)
	near(t, row(t, rows, "heartbeat", capacity.EveryHost).BytesPerSecond, 300+100+44+2*10+3*52)
	near(t, row(t, rows, "heartbeats", capacity.ControlLeader).BytesPerSecond, 10*620)
	near(t, row(t, rows, "heartbeats", capacity.ControlLeader).Core, 10*(20+30+2*5)*1e-4)
	near(t, row(t, rows, "tables of hosts and instances", capacity.EveryHost).BytesPerSecond, 3*(10*100+60*200))
	near(t, row(t, rows, "tables to all hosts", capacity.ControlLeader).Core, 3*10*1000*1e-4)
	near(t, row(t, rows, "probes of instances", capacity.Owner).BytesPerSecond, 6*10*(44+3*52))
	near(t, row(t, rows, "probes of instances", capacity.Owner).Core, 6*10*10*1e-4)
	near(t, row(t, rows, "replicated log", capacity.ControlFollower).BytesPerSecond, 2*52+2*100)

	d.WholeTables, d.DocumentVersions = false, false
	rows = capacity.Estimate(s, z, d)
	near(t, row(t, rows, "tables of hosts and instances", capacity.EveryHost).BytesPerSecond, 3*150)
	near(t, row(t, rows, "heartbeat", capacity.EveryHost).BytesPerSecond, 300+100+44+3*52)
	assert.Assert(t, len(s.Missing()) > 0)
}

// TestLinks compares the number of links with its limits.
func TestLinks(t *testing.T) {
	z := capacity.UsersSizes()
	all := capacity.Links(z, capacity.Design{Served: 1})
	assert.Assert(t, all > 2000 && all < float64(z.Hosts), "%v", all)
	few := capacity.Links(z, capacity.Design{Served: 0.001})
	assert.Assert(t, few > 15 && few <= 2*8.8, "%v", few)
}
