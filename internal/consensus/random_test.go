package consensus_test

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	schedules = flag.Uint64("schedules", 2000, "number of random schedules to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first random schedule")
)

// TestRandomSchedules runs clusters with dropped, delayed and duplicated
// messages, partitions, freezes, crashes that lose or tear unsynced bytes, and
// lost disks. It checks election safety, log matching, that no committed entry
// is lost, that no caught-up host reverts to an older version, that at most one
// host holds a lease, and that all hosts are caught-up voters at the end.
func TestRandomSchedules(t *testing.T) {
	t.Logf("seeds %d to %d", *firstSeed, *firstSeed+*schedules-1)
	var (
		next   atomic.Uint64
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed = map[uint64]error{}
	)
	for range min(4, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < *schedules; i = next.Add(1) - 1 {
				if err := newSchedule(*firstSeed + i).run(); err != nil {
					mu.Lock()
					failed[*firstSeed+i] = err
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		if err := failed[seed]; err != nil {
			t.Fatalf("%d of %d schedules failed, first: %v", len(failed), *schedules, err)
		}
	}
}

// A seed must reproduce the same run, or a failure that TestRandomSchedules
// reports could not be debugged.
func TestSchedulesAreDeterministic(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+20; seed++ {
		a, b := newSchedule(seed), newSchedule(seed)
		errA, errB := a.run(), b.run()
		assert.Equal(t, errA == nil, errB == nil)
		assert.Equal(t, a.trace, b.trace, "seed %d", seed)
	}
}
