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

// largeState returns the replicated state at full size.
func largeState(b *testing.B) *State {
	sizes := capacity.UsersSizes()
	s := NewState()
	apply := func(c Command) {
		r := s.Apply(c)
		assert.NilError(b, r.Err())
	}
	body := string(make([]byte, 2<<10))
	for n := range sizes.Services {
		apply(put(fmt.Sprintf("service-%03d", n), 1, body))
	}
	for g := range sizes.Groups {
		name := table.GroupName(fmt.Sprintf("group-%04d", g))
		first := table.InstanceID(fmt.Sprintf("group-%04d-0", g))
		apply(Command{BeginTerm: &BeginTerm{Group: name, Term: 1, Candidate: first}})
		apply(Command{SetPrimary: &SetPrimary{Group: name, Term: 1, Primary: first, TermStart: 1}})
		for n := range sizes.InstancesPerGroup {
			apply(Command{AssignOwners: &AssignOwners{Ownerships: []table.Ownership{{
				Instance: table.InstanceID(fmt.Sprintf("group-%04d-%d", g, n)), Host: "host-0001", Epoch: 1,
			}}}})
		}
	}
	return s
}

// BenchmarkCapacityState measures the replicated state of a control host at full
// size: its memory, a change, a snapshot and a restore.
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

// BenchmarkCapacityLog measures the CPU time and the disk space of a change of a
// document of 2 KiB.
func BenchmarkCapacityLog(b *testing.B) {
	const changes = 300
	folder := b.TempDir()
	before := capacitytest.CPUTime()
	applyDocuments(b, diskConfig(folder, 1<<40), changes)
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

// TestCommitTraffic counts the messages and bytes that control hosts send each
// other per change, in virtual time. The traffic of an idle second is
// subtracted.
func TestCommitTraffic(t *testing.T) {
	const changes = 50
	body := string(make([]byte, 2<<10))
	for _, hosts := range []int{3, 5, 13} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(hosts)
			n.startAll(t)
			defer n.crashAll(t)
			leader := n.leader(t)
			// Start half a tick after a tick. A heartbeat at the boundary between
			// two counted seconds could be counted in either.
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

// countSecond calls f at the start of a second of virtual time and returns the
// traffic of all hosts in that second.
func (n *network) countSecond(f func()) traffic {
	total := func() (sum traffic) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, sent := range n.sent {
			sum = traffic{sum.messages + sent.messages, sum.bytes + sent.bytes}
		}
		return sum
	}
	before, end := total(), time.Now().Add(time.Second)
	f()
	time.Sleep(time.Until(end))
	after := total()
	return traffic{after.messages - before.messages, after.bytes - before.bytes}
}
