package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// lossKind is a way in which a host is lost.
type lossKind string

const (
	lossNone    lossKind = ""
	lossStopped lossKind = "stopped" // the process ends and keeps its disk
	lossSilent  lossKind = "silent"  // it sends nothing
	lossWiped   lossKind = "wiped"   // it starts again with an empty disk
	lossCutOff  lossKind = "cut off" // it sends and receives nothing
)

// plannedStopRun is a random schedule of planned replacements, during or right after
// each of which as many other hosts are lost as the deployment tolerates.
type plannedStopRun struct {
	*diskLossRun
	absent map[table.HostID]lossKind // lost hosts that are not back
}

func newPlannedStopRun(t *testing.T, c promise, seed uint64) *plannedStopRun {
	r := &plannedStopRun{diskLossRun: newDiskLossRun(t, c, seed), absent: map[table.HostID]lossKind{}}
	r.rng = rand.New(rand.NewPCG(seed, 42))
	return r
}

// lose loses a host that is not lost yet.
func (r *plannedStopRun) lose(stopping table.HostID) {
	hosts := slices.DeleteFunc(r.running(), func(h table.HostID) bool { return h == stopping || r.absent[h] != lossNone })
	host := hosts[0]
	switch r.rng.IntN(3) {
	case 0:
		r.record(host, lossStopped)
		r.crash(r.t, host)
	case 1:
		r.record(host, lossWiped)
		r.crash(r.t, host)
		r.add(r.t, host, r.pickSeeds(""))
	default:
		r.disconnect(host)
	}
}

// disconnect cuts a host off or silences it.
func (r *plannedStopRun) disconnect(host table.HostID) {
	if r.rng.IntN(2) == 0 {
		r.record(host, lossSilent)
		r.muteAbsent()
		return
	}
	r.record(host, lossCutOff)
	r.setIsolated(host, true)
}

func (r *plannedStopRun) record(host table.HostID, kind lossKind) {
	r.note("%s %s", host, kind)
	r.absent[host] = kind
}

// muteAbsent lets the silent hosts send nothing.
func (r *plannedStopRun) muteAbsent() {
	muted := map[table.HostID]bool{}
	for host, kind := range r.absent {
		muted[host] = kind == lossSilent
	}
	r.setPower(func(h table.HostID) bool { return !muted[h] })
}

// returnAll brings all lost hosts back.
func (r *plannedStopRun) returnAll() {
	for host, kind := range r.absent {
		delete(r.absent, host)
		if kind == lossStopped {
			r.start(r.t, host)
		}
		r.setIsolated(host, false)
	}
	r.setPower(nil)
}

// replaceAsPlanned adds a successor, lets it catch up and stops another host for good.
// At random times from before the request to stop until 2 s after the exit, as many
// hosts are lost as the deployment tolerates. The host that stops may be one of them; it
// no longer counts once it has stopped.
func (r *plannedStopRun) replaceAsPlanned() {
	r.added++
	next := table.HostID(fmt.Sprint("n", r.added))
	r.add(r.t, next, r.pickSeeds(""))
	r.pass(r.catchUp)
	old := r.running()[0]
	losses := r.disks
	if r.rng.IntN(3) == 0 { // some are lost before
		r.lose(old)
		losses--
		r.pass(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
	}
	r.note("%s asked to stop, successor %s", old, next)
	isOldLost := losses == r.disks && r.rng.IntN(3) == 0
	if isOldLost && r.rng.IntN(2) == 0 {
		r.disconnect(old)
	}
	left := r.leaving(r.t, old)
	if isOldLost && r.absent[old] == lossNone {
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
		r.disconnect(old)
	}
	for losses > 0 && !isOldLost && r.rng.IntN(2) == 0 { // some are lost while it stops
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
		r.lose(old)
		losses--
	}
	r.note("%s has stopped, left: %t", old, <-left)
	r.endServer(r.t, old, true)
	r.voters = slices.DeleteFunc(slices.Clone(r.voters), func(h table.HostID) bool { return h == old })
	delete(r.absent, old)
	for ; losses > 0; losses-- {
		time.Sleep(time.Duration(r.rng.IntN(2000)) * time.Millisecond)
		r.lose(old)
	}
}

// checkServing checks that a leader has every acknowledged change and accepts another
// one, with the lost hosts still lost.
func (r *plannedStopRun) checkServing() {
	r.t.Helper()
	got := r.versionWithin(r.t, r.recovery)
	assert.Assert(r.t, got >= r.version, "version %d, acknowledged %d: %v", got, r.version, r.history)
	before := r.version
	r.change()
	assert.Assert(r.t, r.version > before, "no change is accepted: %v", r.history)
}

// Guards against a planned stop that keeps the vote of the host until the host has been
// silent for some time: when another host was lost meanwhile, no leader was left, for
// good, although the successor held the whole log.
func TestLossesAroundPlannedReplacements(t *testing.T) {
	for _, c := range []promise{
		{hosts: 3, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 4, disks: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second},
		{hosts: 5, disks: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second},
		{hosts: 6, disks: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second},
	} {
		for seed := range uint64(plannedStopSeeds) {
			t.Run(fmt.Sprintf("%d of %d hosts, seed %d", c.disks, c.hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newPlannedStopRun(t, c, seed)
					r.startAll(t)
					defer r.crashAll(t)
					r.pass(10 * time.Second)
					for range 3 {
						r.change()
						r.replaceAsPlanned()
						r.checkServing()
						r.returnAll()
						r.pass(r.catchUp + time.Duration(r.rng.IntN(2000))*time.Millisecond)
					}
				})
			})
		}
	}
}

// plannedStopSeeds is the number of schedules for each deployment.
const plannedStopSeeds = 30
