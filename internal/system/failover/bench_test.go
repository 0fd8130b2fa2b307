package failover_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/figuretest"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// largeGroups is the number of groups at the size to come, three instances
// each.
const largeGroups = 8800

func largeInstance(g, n int) table.Instance {
	i := table.Instance{
		ID: table.InstanceID(fmt.Sprintf("g%d-%d", g, n)), Group: table.GroupName(fmt.Sprint("g", g)),
		Address: "127.0.0.1:5432", Mark: table.Mark{Term: 1},
	}
	if n == 0 {
		i.Role = table.RolePrimary
	}
	return i
}

func largeReport(g, n int, s *failover.System) failover.Report {
	i := largeInstance(g, n)
	return failover.Report{
		Group: i.Group, Instance: i.ID, Reachable: true, Role: i.Role, Mark: i.Mark, After: s.Stamp(2 * time.Second),
	}
}

// largeSystem returns a system in which every primary serves.
func largeSystem() *failover.System {
	s := failover.New(failover.DefaultConfig(), noLeases{})
	for g := range largeGroups {
		name := table.GroupName(fmt.Sprint("g", g))
		s.SetGroupSize(name, 3)
		for n := range 3 {
			i := largeInstance(g, n)
			s.HandleAnnouncement(i)
			s.SetOwner(name, table.Ownership{Instance: i.ID, Host: ownerOf(g, n), Epoch: 1})
		}
		s.SetGroup(table.Group{Name: name, Term: 1, Primary: largeInstance(g, 0).ID})
	}
	s.Lead(time.Second, 1)
	s.Step(time.Second)
	for g := range largeGroups {
		for n := range 3 {
			s.HandleReports(2*time.Second, ownerOf(g, n), []failover.Report{largeReport(g, n, s)})
		}
	}
	s.Step(2 * time.Second)
	return s
}

func ownerOf(g, n int) table.HostID { return table.HostID(fmt.Sprint("h", (3*g+n)%4700)) }

func TestLargeIsIdle(t *testing.T) {
	s := largeSystem()
	if s.ActiveGroups() != 0 {
		t.Fatalf("%d groups active", s.ActiveGroups())
	}
}

func BenchmarkIdleStep(b *testing.B) {
	s := largeSystem()
	for b.Loop() {
		s.Step(3 * time.Second)
	}
	figuretest.PerLoop(b, "failover_idle_step_8800_groups", 5000)
}

func BenchmarkReport(b *testing.B) {
	s := largeSystem()
	reports := []failover.Report{largeReport(7, 1, s)}
	for b.Loop() {
		s.HandleReports(3*time.Second, ownerOf(7, 1), reports)
		s.Step(3 * time.Second)
	}
	figuretest.PerLoop(b, "failover_report_8800_groups", 10000)
}

func BenchmarkAnnouncement(b *testing.B) {
	s := largeSystem()
	i := largeInstance(7, 1)
	for b.Loop() {
		s.HandleAnnouncement(i)
	}
	figuretest.PerLoop(b, "failover_announcement_8800_groups", 2000)
}

func BenchmarkNewLeader(b *testing.B) {
	s := largeSystem()
	for b.Loop() {
		s.Lead(3*time.Second, 2)
		s.Step(3 * time.Second)
	}
	figuretest.PerLoop(b, "failover_new_leader_8800_groups", 300000000)
}

func BenchmarkMemory(b *testing.B) {
	figuretest.Heap(b, "failover_memory_8800_groups", 64, largeSystem)
}

// BenchmarkGap is the time without an acknowledged write, in virtual time, by
// scenario: the 99th percentile over 100 seeds.
func BenchmarkGap(b *testing.B) {
	const seeds = 100
	for _, s := range scenarios {
		b.Run(s.name, func(b *testing.B) {
			var gaps []time.Duration
			for b.Loop() {
				gaps = nil
				for seed := range uint64(seeds) {
					gaps = append(gaps, s.run(b, seed))
				}
			}
			slices.Sort(gaps)
			name := "failover_model_gap_" + strings.ReplaceAll(strings.ReplaceAll(s.name, ",", ""), " ", "_")
			figuretest.Report(b, name, float64(gaps[seeds-2].Milliseconds()), "ms", float64(s.bound.Milliseconds()))
		})
	}
}
