package pg

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Bounds of what the proxy adds to a statement at the median.
const (
	ownerBound = 50 * time.Microsecond
	hopBound   = 120 * time.Microsecond
	// benchRounds is how many statements go each way, in turns.
	benchRounds = 4000
)

// result is one measured figure.
type result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound float64 `json:"bound"`
	Pass  bool    `json:"pass"`
}

func (r result) print() {
	r.Pass = r.Bound == 0 || r.Value <= r.Bound
	line, err := json.Marshal(r)
	if err == nil {
		fmt.Println(string(line))
	}
}

// BenchmarkAdded measures in one run what the proxy adds to a statement, on
// the owner and over one hop, beside the stand-in reached directly. Statements
// go in turns, so that all see the same machine.
func BenchmarkAdded(b *testing.B) {
	onOwner, overHop := startPath(b, false), startPath(b, true)
	for _, kind := range []struct{ name, sql string }{
		{"read", "/* class=lookup */ SELECT 1"},
		{"write", "UPDATE k SET value = 'v' WHERE key = 'none'"},
	} {
		ways := []*caller{onOwner.connect(b), overHop.connect(b), (&path{address: onOwner.up.Address()}).connect(b)}
		took := make([][]time.Duration, len(ways))
		allocs := make([]uint64, len(ways))
		for range benchRounds {
			for i, c := range ways {
				began := time.Now()
				c.send(&pgproto3.Query{String: kind.sql})
				c.drain()
				took[i] = append(took[i], time.Since(began))
			}
		}
		for i, c := range ways {
			allocs[i] = countAllocs(func() {
				c.send(&pgproto3.Query{String: kind.sql})
				c.drain()
			})
		}
		median := func(i int) time.Duration { slices.Sort(took[i]); return took[i][len(took[i])/2] }
		direct := median(2)
		result{Name: kind.name + "/direct", Value: micros(direct), Unit: "us"}.print()
		result{Name: kind.name + "/added_on_owner", Value: micros(median(0) - direct), Unit: "us", Bound: micros(ownerBound)}.print()
		result{Name: kind.name + "/added_over_hop", Value: micros(median(1) - direct), Unit: "us", Bound: micros(hopBound)}.print()
		result{Name: kind.name + "/allocs_on_owner", Value: float64(allocs[0]) - float64(allocs[2]), Unit: "allocs"}.print()
		result{Name: kind.name + "/allocs_over_hop", Value: float64(allocs[1]) - float64(allocs[2]), Unit: "allocs"}.print()
	}
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// countAllocs returns the allocations of the whole process for one run.
func countAllocs(run func()) uint64 {
	const runs = 500
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		run()
	}
	runtime.ReadMemStats(&after)
	return (after.Mallocs - before.Mallocs) / runs
}

// drain reads an answer without a look at it.
func (c *caller) drain() {
	for {
		msg, err := c.fe.Receive()
		assert.NilError(c.t, err)
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}
