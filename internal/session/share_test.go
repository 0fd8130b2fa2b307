package session

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The workload on which the strategies for session consistency are compared.
const (
	workloadSeed        = 7
	replicaLagMillis    = 100 // milliseconds that the replica is behind the primary
	sessionCount        = 50
	workloadMillis      = 20_000
	otherWritesPerMilli = 0.2  // writes of other sessions per millisecond
	writeShare          = 0.05 // share of operations that write
	hostChangeShare     = 0.2  // share of operations at another host than the one before
	maxGapMillis        = 500  // milliseconds between two operations of a session
)

// floorStrategy is a strategy for finding the floor of a read.
type floorStrategy struct {
	name                  string
	losesFloorOnMove      bool // the floor stays at the old host when the session moves
	alwaysQueriesPrimary  bool
	replicaReadShare      float64 // share of reads that a replica serves
	primaryQueriesPerRead float64 // position queries to the primary per read
}

// run simulates the workload in virtual time and sets the results of the
// strategy.
func (s *floorStrategy) run() {
	rng := rand.New(rand.NewPCG(workloadSeed, workloadSeed))
	log := make([]table.Position, workloadMillis) // position of the primary at each millisecond
	tokens := make([]*Token, sessionCount)
	next := make([]int, sessionCount)
	reads, replica, queries := 0, 0, 0
	position := table.Position(0)
	for now := range workloadMillis {
		if rng.Float64() < otherWritesPerMilli {
			position++
		}
		for i := range tokens {
			if next[i] > now {
				continue
			}
			next[i] = now + 1 + rng.IntN(maxGapMillis)
			moves, writes := rng.Float64() < hostChangeShare, rng.Float64() < writeShare
			if tokens[i] == nil || s.alwaysQueriesPrimary || (s.losesFloorOnMove && moves) {
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
				queries++
				floor = table.Mark{Term: 1, Position: position}
				tokens[i].Raise("g", floor)
			}
			if now >= replicaLagMillis && (table.Mark{Term: 1, Position: log[now-replicaLagMillis]}).Holds(floor) {
				replica++
			}
		}
		log[now] = position
	}
	s.replicaReadShare, s.primaryQueriesPerRead = float64(replica)/float64(reads), float64(queries)/float64(reads)
}

// The token must keep more reads on replicas than a floor that stays at one
// host, and than querying the position of the primary at each read.
func TestTokenKeepsReadsOnReplicas(t *testing.T) {
	token := floorStrategy{name: "token"}
	floorAtHost := floorStrategy{name: "floor at the host", losesFloorOnMove: true}
	queryPrimary := floorStrategy{name: "ask the primary", alwaysQueriesPrimary: true}
	for _, s := range []*floorStrategy{&token, &floorAtHost, &queryPrimary} {
		s.run()
		t.Logf("seed %d: %-18s %5.1f %% of reads at replicas, %.3f questions a read",
			workloadSeed, s.name, 100*s.replicaReadShare, s.primaryQueriesPerRead)
	}
	assert.Assert(t, token.replicaReadShare >= 0.95)
	assert.Assert(t, token.replicaReadShare > floorAtHost.replicaReadShare && floorAtHost.replicaReadShare > queryPrimary.replicaReadShare)
	assert.Assert(t, token.primaryQueriesPerRead < 0.02 && floorAtHost.primaryQueriesPerRead > 0.1 && queryPrimary.primaryQueriesPerRead == 1)
}
