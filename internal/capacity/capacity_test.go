package capacity_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
)

// costOf returns the cost of a mechanism for a role.
func costOf(t *testing.T, costs []capacity.Cost, mechanism string, role capacity.Role) capacity.Cost {
	t.Helper()
	for _, c := range costs {
		if c.Mechanism == mechanism && c.Role == role {
			return c
		}
	}
	t.Fatalf("no cost of %q", mechanism)
	return capacity.Cost{}
}

// near checks that two values are equal up to rounding.
func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 1e-6*want, "%v, want %v", got, want)
}

// TestEstimate compares estimates with values calculated by hand, for 10 hosts, 20
// groups of 3 instances, one heartbeat and ten probes per second.
func TestEstimate(t *testing.T) {
	sizes := capacity.Sizes{
		Hosts: 10, Groups: 20, InstancesPerGroup: 3, Services: 2, ControlHosts: 5, Domains: 5, Callers: 1000,
		RestartsPerDay: 86400, HeartbeatInterval: time.Second,
		PingInterval: 100 * time.Millisecond, ProbeInterval: 100 * time.Millisecond,
	}
	figures := capacity.Figures{
		"heartbeat_bytes": 300, "heartbeat_reply_bytes": 100, "call_bytes": 44, "heartbeat_document_bytes": 10,
		"tables_host_bytes": 100, "tables_instance_bytes": 200, "tables_encode_cpu": 1000, "tables_delta_bytes": 150, "probe_bytes": 44,
		"leader_heartbeat_cpu": 20, "call_cpu_both_ends": 60, "leader_heartbeat_document_cpu": 5, "probe_cpu_both_ends": 20,
		"commit_5_hosts_bytes": 400, "control_idle_leader_5_hosts_messages": 4,
	}
	d := capacity.Design{
		HeartbeatInterval: time.Second, ProbeInterval: 100 * time.Millisecond, AnnounceInterval: time.Second,
		IdlePings: true, UsedGroupShare: 1,
		FullTables: true, AllGroups: true, DocumentVersions: true,
	}
	costs := capacity.Estimate(figures, sizes, d)
	near(t, costOf(t, costs, "heartbeat", capacity.EveryHost).BytesPerSecond, 300+100+44+2*10+3*52)
	near(t, costOf(t, costs, "heartbeats", capacity.ControlLeader).BytesPerSecond, 10*620)
	near(t, costOf(t, costs, "heartbeats", capacity.ControlLeader).CorePercent, 10*(20+30+2*5)*1e-4)
	near(t, costOf(t, costs, "tables of hosts and instances", capacity.EveryHost).BytesPerSecond, 3*(10*100+60*200))
	near(t, costOf(t, costs, "tables to all hosts", capacity.ControlLeader).CorePercent, 3*10*1000*1e-4)
	near(t, costOf(t, costs, "probes of instances", capacity.Owner).BytesPerSecond, 6*10*(44+3*52))
	near(t, costOf(t, costs, "probes of instances", capacity.Owner).CorePercent, 6*10*10*1e-4)
	near(t, costOf(t, costs, "replicated log", capacity.ControlFollower).BytesPerSecond, 2*52+2*100)

	d.FullTables, d.DocumentVersions = false, false
	costs = capacity.Estimate(figures, sizes, d)
	near(t, costOf(t, costs, "tables of hosts and instances", capacity.EveryHost).BytesPerSecond, 3*150)
	near(t, costOf(t, costs, "heartbeat", capacity.EveryHost).BytesPerSecond, 300+100+44+3*52)
	assert.Assert(t, len(figures.Missing()) > 0)
}

// TestLinks checks the number of links against its bounds: the number of hosts if
// callers use all groups, and two owners per group if they use few groups.
func TestLinks(t *testing.T) {
	sizes := capacity.ExpectedSizes()
	all := capacity.Links(sizes, capacity.Design{UsedGroupShare: 1})
	assert.Assert(t, all > 2000 && all < float64(sizes.Hosts), "%v", all)
	few := capacity.Links(sizes, capacity.Design{UsedGroupShare: 0.001})
	assert.Assert(t, few > 15 && few <= 2*8.8, "%v", few)
}
