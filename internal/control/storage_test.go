package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// alwaysFull is the function of a disk without room.
func alwaysFull() bool { return true }

// TestFullDiskAtEachWrite fills the disk of the leader or of a follower before
// each single write after a change is proposed, and frees it later. A host whose
// disk was full used to stop with an error, which three times a day on half of
// the control hosts ends the service. It must stay up, leave the others to go on
// without it, take part again once there is room, and have lost nothing when the
// power then fails everywhere.
func TestFullDiskAtEachWrite(t *testing.T) {
	atEachStep(t, 3, (*network).fillDisk)
}

// fillDisk fills the disk of a host before the given write and reports whether
// the host reached that write.
func (n *network) fillDisk(t *testing.T, _ *Server, victim table.HostID, write int) (reached bool) {
	n.proposeUntilAnswered(t, put("s", 1, "before"))
	time.Sleep(time.Second)
	var remaining atomic.Int64
	remaining.Store(int64(write))
	n.folders[victim].SetFull(func() bool { return remaining.Add(-1) < 0 })
	for version := uint64(2); version < 5; version++ {
		assert.NilError(t, n.proposeUntilAnswered(t, put("s", version, fmt.Sprint("v", version))).Err())
	}
	time.Sleep(time.Second)
	if remaining.Load() >= 0 {
		return false
	}
	assert.Assert(t, n.server(victim).Suspended())
	_, isLeader, _ := n.server(victim).Leader()
	assert.Assert(t, !isLeader)
	assert.Equal(t, n.leader(t).View().Documents["s"].Version, uint64(4), "the others go on")

	n.folders[victim].SetFull(nil)
	time.Sleep(2 * time.Second)
	assert.Assert(t, !n.server(victim).Suspended())
	n.assertConverged(t, 4)
	n.crashAll(t)
	n.startAll(t)
	n.assertConverged(t, 4)
	return true
}

// A change that was acknowledged while the disk of one host was full must
// survive the loss of power everywhere, and a majority with full disks must
// acknowledge nothing.
func TestFullDisksOfMajority(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		n.proposeUntilAnswered(t, put("s", 1, "before"))
		for _, host := range n.voters {
			if host != leader.cfg.Host {
				n.folders[host].SetFull(alwaysFull)
			}
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, err := leader.Propose(ctx, put("s", 2, "refused"))
		assert.Assert(t, err != nil, "no majority can store the change")
		_, _, leaseValid := leader.Leader()
		assert.Assert(t, !leaseValid)
		for _, host := range n.voters {
			n.folders[host].SetFull(nil)
		}
		assert.NilError(t, n.proposeUntilAnswered(t, put("s", 2, "refused")).Err(), "the outcome was not known; sent again, it takes effect once")
		n.crashAll(t)
		n.startAll(t)
		n.assertConverged(t, 2)
	})
}

// Readers of a host must not see an older state after its log was opened again,
// although the replica first restores a state without the latest commits.
func TestViewDoesNotRegressWhenLogIsReopened(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		for version := uint64(1); version < 4; version++ {
			n.proposeUntilAnswered(t, put("s", version, "v"))
		}
		time.Sleep(time.Second)
		victim := n.hostInRole(leader, "follower")
		before := n.server(victim).View()
		n.folders[victim].SetFull(alwaysFull)
		n.proposeUntilAnswered(t, put("s", 4, "v"))
		time.Sleep(time.Second)
		n.setIsolated(victim, true)
		n.folders[victim].SetFull(nil)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, !n.server(victim).Suspended())
		assert.Assert(t, n.server(victim).View().Revision >= before.Revision)
		n.setIsolated(victim, false)
		n.assertConverged(t, 4)
	})
}

// Guards against a host that runs out of memory and processor time while its disk is
// full: it read its whole log four times a second, only to find no room.
func TestHostWithFullDiskDoesNotReadItsLog(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, leader *Server) {
		folder := n.folders[n.hostInRole(leader, "follower")]
		folder.SetFull(alwaysFull)
		n.proposeUntilAnswered(t, put("s", 1, "v"))
		time.Sleep(time.Second)
		before := folder.ReadBytes()
		time.Sleep(time.Minute)
		assert.Equal(t, folder.ReadBytes()-before, 0)
		folder.SetFull(nil)
		n.assertConverged(t, 1)
	})
}
