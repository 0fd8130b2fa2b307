package session

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The workload that the ways to keep a session consistent are compared under.
const (
	shareSeed     = 7
	shareLag      = 100 // milliseconds that the replica is behind
	shareSessions = 50
	shareMillis   = 20_000
	shareWrites   = 0.2 // of other sessions, per millisecond
	writeShare    = 0.05
	roamShare     = 0.2 // operations that go to another host than the one before
	maxGap        = 500 // milliseconds between operations of a session
)

// way is one way to find the floor of a read.
type way struct {
	name       string
	forgets    bool // the floor stays behind when the session moves
	asksAlways bool
	atReplicas float64 // share of reads
	asks       float64 // questions to the primary per read
}

// measure runs the workload in virtual time.
func (w *way) measure() {
	rng := rand.New(rand.NewPCG(shareSeed, shareSeed))
	log := make([]table.Position, shareMillis) // position of the primary at each millisecond
	tokens := make([]*Token, shareSessions)
	next := make([]int, shareSessions)
	reads, replica, asks := 0, 0, 0
	position := table.Position(0)
	for now := range shareMillis {
		if rng.Float64() < shareWrites {
			position++
		}
		for i := range tokens {
			if next[i] > now {
				continue
			}
			next[i] = now + 1 + rng.IntN(maxGap)
			roams, writes := rng.Float64() < roamShare, rng.Float64() < writeShare
			if tokens[i] == nil || w.asksAlways || (w.forgets && roams) {
				tokens[i] = NewToken("s")
			}
			if writes {
				position++
				tokens[i].Raise("g", table.Mark{Term: 1, Position: position})
				continue
			}
			reads++
			floor, known := tokens[i].Floor("g")
			if !known {
				asks++
				floor = table.Mark{Term: 1, Position: position}
				tokens[i].Raise("g", floor)
			}
			if now >= shareLag && (table.Mark{Term: 1, Position: log[now-shareLag]}).Holds(floor) {
				replica++
			}
		}
		log[now] = position
	}
	w.atReplicas, w.asks = float64(replica)/float64(reads), float64(asks)/float64(reads)
}

// TestTokenKeepsReadsOnReplicas compares the token with a floor that is bound
// to one host and with asking the primary at each read.
func TestTokenKeepsReadsOnReplicas(t *testing.T) {
	token := way{name: "token"}
	sticky := way{name: "floor at the host", forgets: true}
	ask := way{name: "ask the primary", asksAlways: true}
	for _, w := range []*way{&token, &sticky, &ask} {
		w.measure()
		t.Logf("seed %d: %-18s %5.1f %% of reads at replicas, %.3f questions a read",
			shareSeed, w.name, 100*w.atReplicas, w.asks)
	}
	assert.Assert(t, token.atReplicas >= 0.95)
	assert.Assert(t, token.atReplicas > sticky.atReplicas && sticky.atReplicas > ask.atReplicas)
	assert.Assert(t, token.asks < 0.02 && sticky.asks > 0.1 && ask.asks == 1)
}
