package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
	"github.com/amaranthweir/amaranthweir/internal/capacity/capacitytest"
	"github.com/amaranthweir/amaranthweir/internal/system/membership"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

func memberHost(i int) table.Host {
	return table.Host{
		ID: table.HostID(fmt.Sprintf("host-%04d", i)), Domain: table.Domain(fmt.Sprint("domain-", i%5)),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: 1,
	}
}

// BenchmarkCapacityMembership measures the failure detection of one host among
// all. The others answer at once; one of them fails each second.
func BenchmarkCapacityMembership(b *testing.B) {
	const seconds = 30
	sizes := capacity.UsersSizes()
	before := capacitytest.MemoryInUse()
	n := membership.New(membership.DefaultConfig(), memberHost(0), 1)
	now := time.Second
	for i := 1; i < sizes.Hosts; i++ {
		h := memberHost(i)
		u := membership.Update{Host: h.ID, Domain: h.Domain, PeerAddress: h.PeerAddress, Incarnation: 1}
		n.Step(now, membership.Message{Kind: membership.Ack, Sender: u, Sequence: 1})
	}
	_, _ = n.Ready(), n.Events()
	capacitytest.Report(b, "membership_memory", capacitytest.MemoryInUse()-before, capacity.Bytes)
	bytes, messages := 0, 0
	used := capacitytest.CPUPerRun(seconds, func(second int) {
		news := memberHost(1 + second)
		update := membership.Update{Host: news.ID, Domain: news.Domain, PeerAddress: news.PeerAddress, Incarnation: 1, State: table.HostDead}
		for range 10 {
			now += 100 * time.Millisecond
			n.Tick(now)
			for _, e := range n.Ready() {
				bytes, messages = bytes+e.Message.Size(), messages+1
				if e.Message.Kind == membership.Ping {
					n.Step(now, membership.Message{
						Kind: membership.Ack, Sender: update, Sequence: e.Message.Sequence, Updates: []membership.Update{update},
					})
				}
			}
		}
		n.Events()
	})
	capacitytest.Report(b, "membership_second_cpu", used, capacity.Microsecond)
	capacitytest.Report(b, "membership_second_bytes", float64(bytes)/seconds, capacity.Bytes)
	capacitytest.Report(b, "membership_second_messages", float64(messages)/seconds, capacity.Count)
}

// BenchmarkCapacityRouting measures the views of all groups at an entry host
// and one routing decision.
func BenchmarkCapacityRouting(b *testing.B) {
	const decisions = 200_000
	sizes := capacity.UsersSizes()
	before := capacitytest.MemoryInUse()
	var t routing.Table
	for g := range sizes.Groups {
		v := &routing.GroupView{Name: table.GroupName(fmt.Sprintf("group-%04d", g)), Term: 1}
		for n := range sizes.InstancesPerGroup {
			c := routing.Candidate{
				Instance: table.InstanceID(fmt.Sprintf("group-%04d-%d", g, n)), Role: table.RoleReplica,
				Owner: table.HostID(fmt.Sprintf("host-%04d", g%sizes.Hosts)), Domain: table.Domain(fmt.Sprint("domain-", (g+n)%5)),
			}
			if n == 0 {
				v.Primary, c.Role = c.Instance, table.RolePrimary
			}
			v.Candidates = append(v.Candidates, c)
		}
		t.Update(v.Name, func(*routing.GroupView) *routing.GroupView { return v })
	}
	capacitytest.Report(b, "routing_group_memory", (capacitytest.MemoryInUse()-before)/float64(sizes.Groups), capacity.Bytes)
	q := &routing.Query{Staleness: time.Second, Deadline: time.Hour, Home: "domain-1"}
	capacitytest.Report(b, "routing_decision_cpu", capacitytest.CPUPerRun(decisions, func(i int) {
		q.Seed = uint64(i)
		routing.Choose(time.Minute, q, t.Lookup("group-0077"))
	}), capacity.Microsecond)
}
