package routing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/system/freshness"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	ms       = time.Millisecond
	length   = 20 * time.Second
	stuckAt  = 5 * time.Second
	writeGap = 5 * ms   // one write is acknowledged in each
	observe  = 20 * ms  // owners hear from primary and replica
	gossip   = 200 * ms // the entry host hears from owners
	hop      = 2 * ms
	attempts = 3
)

// written is the position of the primary at a moment.
func written(at time.Duration) table.Position { return table.Position(max(0, at) / writeGap) }

// replica is a stand-in replica and the owner's Tracker of it.
type replica struct {
	id      table.InstanceID
	lag     time.Duration
	stuck   bool
	tracker freshness.Tracker
	waiting []*read
}

func (r *replica) position(at time.Duration) table.Position {
	if r.stuck {
		at = min(at, stuckAt)
	}
	return written(at - r.lag)
}

func (r *replica) hint(now time.Duration) routing.Hint {
	h := routing.Hint{At: now}
	h.Age, h.AgeKnown = r.tracker.Age(now)
	h.Mark, _, _ = r.tracker.Mark()
	return h
}

// read is one read on its way.
type read struct {
	query     routing.Query
	waitUntil time.Duration
	attempt   int
}

// outcome counts what became of the reads.
type outcome struct {
	reads, byReplica, byPrimary, refused, bounces, wrong int
}

type fleet struct {
	view     *routing.GroupView
	replicas []*replica
	silent   bool // the entry host gets no gossip
	out      outcome
}

func newFleet(lag time.Duration, stuck bool) *fleet {
	return &fleet{
		replicas: []*replica{{id: "r1", lag: lag, stuck: stuck}, {id: "r2", lag: lag}},
		view: &routing.GroupView{Name: "g", Term: 1, Primary: "p", Candidates: []routing.Candidate{
			{Instance: "p", Owner: "ha", Domain: "a", Role: table.RolePrimary},
			{Instance: "r1", Owner: "ha", Domain: "a"},
			{Instance: "r2", Owner: "hb", Domain: "b"},
		}},
	}
}

// step moves the trackers and the hints to now.
func (f *fleet) step(now time.Duration) {
	for _, r := range f.replicas {
		if now%observe == 0 {
			sent := now - hop
			r.tracker.ObservePrimary(sent, now, table.Mark{Term: 1, Position: written(sent + hop/2)})
			r.tracker.ObserveReplica(sent, table.Mark{Term: 1, Position: r.position(sent)})
		}
		if now%gossip == 0 && !f.silent {
			f.view = f.view.WithHint(r.id, r.hint(now))
		}
		waiting := r.waiting
		r.waiting = nil
		for _, rd := range waiting {
			f.check(now, r, rd)
		}
	}
}

// check is what the owner of r does with a read.
func (f *fleet) check(now time.Duration, r *replica, rd *read) {
	q := &rd.query
	age, ok := r.tracker.Age(now)
	fresh, holds := ok && age <= q.Staleness, !q.HasFloor || r.tracker.Holds(q.Floor)
	switch {
	case fresh && holds:
		f.served(now, r, q)
	case now < rd.waitUntil:
		r.waiting = append(r.waiting, rd)
	default:
		f.out.bounces++
		f.view = f.view.WithRejection(r.id, routing.Rejection{
			Hint: r.hint(now), Staleness: q.Staleness, Floor: q.Floor, HasFloor: q.HasFloor,
		})
		rd.attempt++
		f.route(now, rd)
	}
}

// served compares the answer with the truth.
func (f *fleet) served(now time.Duration, r *replica, q *routing.Query) {
	f.out.byReplica++
	held := r.position(now)
	if written(now-q.Staleness) > held || q.HasFloor && q.Floor.Position > held {
		f.out.wrong++
	}
}

func (f *fleet) route(now time.Duration, rd *read) {
	d := routing.Choose(now, &rd.query, f.view)
	switch {
	case d.Refused():
		f.out.refused++
	case d.Instance == "p" || rd.attempt == attempts:
		f.out.byPrimary++
	default:
		for _, r := range f.replicas {
			if r.id == d.Instance {
				rd.waitUntil = now + d.Wait
				f.check(now, r, rd)
			}
		}
	}
}

// run offers one read a millisecond; with floors, half of them follow a write
// of their session.
func (f *fleet) run(staleness time.Duration, floors bool) {
	for now := observe; now < length; now += ms {
		f.step(now)
		rd := &read{query: routing.Query{Staleness: staleness, Deadline: now + 2*time.Second, Rank: 1, Home: "a", Seed: uint64(now)}}
		if floors && now/ms%2 == 0 {
			rd.query.Floor, rd.query.HasFloor = table.Mark{Term: 1, Position: written(now - 50*ms)}, true
		}
		f.out.reads++
		f.route(now, rd)
	}
}

// minShare is the least share of stale reads that replicas serve.
const minShare = 0.95

// TestReplicasServeStaleReads runs owners, hints and reads in virtual time.
func TestReplicasServeStaleReads(t *testing.T) {
	const maxBounced = 0.05
	tests := map[string]struct {
		stuck     bool
		staleness time.Duration
		floors    bool // half of the reads follow a write of their session
		silent    bool // hints come with bounces only
	}{
		"lag":                      {false, time.Second, false, false},
		"lag, sessions that write": {false, time.Second, true, false},
		"one stuck":                {true, time.Second, false, false},
		"one stuck, old data allowed, sessions that write": {true, time.Minute, true, false},
		"little more than the lag allowed":                 {false, 120 * ms, false, false},
		"one stuck, no gossip":                             {true, time.Second, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(100*ms, tt.stuck)
			f.silent = tt.silent
			f.run(tt.staleness, tt.floors)
			t.Logf("%+v", f.out)
			reads := float64(f.out.reads)
			assert.Equal(t, f.out.wrong, 0)
			assert.Equal(t, f.out.refused, 0)
			assert.Check(t, float64(f.out.byReplica) >= minShare*reads, "%d of %v by replicas", f.out.byReplica, reads)
			assert.Check(t, float64(f.out.bounces) <= maxBounced*reads, "%d of %v bounced", f.out.bounces, reads)
		})
	}
}

// BenchmarkReplicaShare prints the share of reads that may be a second old,
// half of them after a write of their session, against the lag. The target
// holds for a lag of 100 ms.
func BenchmarkReplicaShare(b *testing.B) {
	for range b.N {
		for _, lag := range []time.Duration{10 * ms, 100 * ms, 300 * ms, 500 * ms, 900 * ms, 1500 * ms} {
			f := newFleet(lag, false)
			f.run(time.Second, true)
			share, bound := float64(f.out.byReplica)/float64(f.out.reads), 0.0
			if lag == 100*ms {
				bound = minShare
			}
			fmt.Printf(`{"name":"routing_replica_share_lag_%s","value":%.4f,"unit":"share","bound":%v,"pass":%t}`+"\n",
				lag, share, bound, share >= bound && f.out.wrong == 0)
		}
	}
}
