package control

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
	"github.com/amaranthweir/amaranthweir/internal/capacity/capacitytest"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// largeState returns the agreed state at full size.
func largeState(b *testing.B) *State {
	sizes := capacity.ExpectedSizes()
	s := NewState()
	accept := func(c Command) {
		r := s.Apply(c)
		assert.NilError(b, r.Err())
	}
	body := string(make([]byte, 2<<10))
	for n := range sizes.Services {
		accept(put(fmt.Sprintf("service-%03d", n), 1, body))
	}
	for g := range sizes.Groups {
		name := table.GroupName(fmt.Sprintf("group-%04d", g))
		first := table.InstanceID(fmt.Sprintf("group-%04d-0", g))
		accept(Command{BeginTerm: &BeginTerm{Group: name, Term: 1, Candidate: first}})
		accept(Command{SetPrimary: &SetPrimary{Group: name, Term: 1, Primary: first, TermStart: 1}})
		for n := range sizes.InstancesPerGroup {
			accept(Command{AssignOwners: &AssignOwners{Ownerships: []table.Ownership{{
				Instance: table.InstanceID(fmt.Sprintf("group-%04d-%d", g, n)), Host: "host-0001", Epoch: 1,
			}}}})
		}
	}
	return s
}

// BenchmarkCapacityState measures the agreed state of a control host at full
// size.
func BenchmarkCapacityState(b *testing.B) {
	before := capacitytest.MemoryInUse()
	s := largeState(b)
	capacitytest.Report(b, "state_memory", capacitytest.MemoryInUse()-before, capacity.Bytes)
	epoch := table.Epoch(1)
	change := func(int) {
		_ = s.View()
		epoch++
		r := s.Apply(Command{AssignOwners: &AssignOwners{Ownerships: []table.Ownership{{Instance: "group-0007-1", Host: "host-0002", Epoch: epoch}}}})
		assert.NilError(b, r.Err())
	}
	capacitytest.Report(b, "state_change_cpu", capacitytest.CPUPerRun(100, change), capacity.Microsecond)
	var snapshot []byte
	var err error
	capacitytest.Report(b, "snapshot_cpu", capacitytest.CPUPerRun(3, func(int) {
		snapshot, err = s.Snapshot()
		assert.NilError(b, err)
	}), capacity.Microsecond)
	capacitytest.Report(b, "snapshot_bytes", float64(len(snapshot)), capacity.Bytes)
	capacitytest.Report(b, "restore_cpu", capacitytest.CPUPerRun(3, func(int) {
		assert.NilError(b, NewState().Restore(snapshot))
	}), capacity.Microsecond)
}

// BenchmarkCapacityLog measures what a change of an owner and of a document
// of 2 KiB costs on disk, one at a time.
func BenchmarkCapacityLog(b *testing.B) {
	const changes = 300
	folder := b.TempDir()
	before := capacitytest.CPUTime()
	fill(b, diskConfig(folder, 1<<40), changes)
	capacitytest.Report(b, "log_document_cpu", (capacitytest.CPUTime()-before).Seconds()*1e6/changes, capacity.Microsecond)
	var bytes int64
	err := filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			bytes += info.Size()
		}
		return err
	})
	assert.NilError(b, err)
	capacitytest.Report(b, "log_document_bytes", float64(bytes)/changes, capacity.Bytes)
}

// TestCommitTraffic counts what the control hosts send each other for one
// change, in virtual time: what goes beyond an idle second.
func TestCommitTraffic(t *testing.T) {
	const changes = 50
	body := string(make([]byte, 2<<10))
	for _, hosts := range []int{3, 5, 13} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(hosts)
			n.startAll(t)
			defer n.stopAll(t)
			leader := n.leader(t)
			// Half a tick apart from the ticks: a heartbeat at the very end of a
			// counted second would fall into either second.
			time.Sleep(time.Second + DefaultTickInterval/2)
			idle := n.countSecond(func() {})
			busy := n.countSecond(func() {
				for i := range changes {
					r, err := propose(t, leader, put("ledger", uint64(i)+1, body))
					assert.NilError(t, err)
					assert.NilError(t, r.Err())
				}
			})
			name := fmt.Sprintf("commit_%d_hosts", hosts)
			messages := float64(busy.messages-idle.messages) / changes
			bytes := float64(busy.bytes-idle.bytes) / changes
			capacitytest.Report(t, name+"_messages", messages, capacity.Count)
			capacitytest.Report(t, name+"_bytes", bytes, capacity.Bytes)
			assert.Assert(t, messages <= float64(4*(hosts-1)), "%v messages", messages)
			assert.Assert(t, bytes <= float64(hosts-1)*3500, "%v bytes", bytes)
		})
	}
}

// countSecond runs f within a second of virtual time and returns what all
// hosts sent in it.
func (n *network) countSecond(f func()) traffic {
	total := func() (all traffic) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, sent := range n.sent {
			all = traffic{all.messages + sent.messages, all.bytes + sent.bytes}
		}
		return all
	}
	before, end := total(), time.Now().Add(time.Second)
	f()
	time.Sleep(time.Until(end))
	after := total()
	return traffic{after.messages - before.messages, after.bytes - before.bytes}
}
