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

// Bounds of the median latency that the proxy adds to a statement.
const (
	ownerBound = 50 * time.Microsecond
	hopBound   = 120 * time.Microsecond
	// benchRounds is the number of statements sent over each connection.
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

// BenchmarkAdded measures the latency and the allocations that the proxy adds to
// a statement, on the owner and over one hop, compared with a direct connection
// to the stand-in. The connections alternate, so that all of them see the same
// load on the machine.
func BenchmarkAdded(b *testing.B) {
	onOwner, overHop := startProxy(b, false), startProxy(b, true)
	for _, kind := range []struct{ name, sql string }{
		{"read", "/* class=lookup */ SELECT 1"},
		{"write", "UPDATE k SET value = 'v' WHERE key = 'none'"},
	} {
		callers := []*caller{onOwner.connect(b), overHop.connect(b), (&proxy{address: onOwner.up.Address()}).connect(b)}
		latencies := make([][]time.Duration, len(callers))
		allocs := make([]uint64, len(callers))
		for range benchRounds {
			for i, c := range callers {
				start := time.Now()
				c.send(&pgproto3.Query{String: kind.sql})
				c.discardAnswer()
				latencies[i] = append(latencies[i], time.Since(start))
			}
		}
		for i, c := range callers {
			allocs[i] = countAllocs(func() {
				c.send(&pgproto3.Query{String: kind.sql})
				c.discardAnswer()
			})
		}
		median := func(i int) time.Duration { slices.Sort(latencies[i]); return latencies[i][len(latencies[i])/2] }
		direct := median(2)
		result{Name: kind.name + "/direct", Value: microseconds(direct), Unit: "us"}.print()
		result{Name: kind.name + "/added_on_owner", Value: microseconds(median(0) - direct), Unit: "us", Bound: microseconds(ownerBound)}.print()
		result{Name: kind.name + "/added_over_hop", Value: microseconds(median(1) - direct), Unit: "us", Bound: microseconds(hopBound)}.print()
		result{Name: kind.name + "/allocs_on_owner", Value: float64(allocs[0]) - float64(allocs[2]), Unit: "allocs"}.print()
		result{Name: kind.name + "/allocs_over_hop", Value: float64(allocs[1]) - float64(allocs[2]), Unit: "allocs"}.print()
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// countAllocs returns the average number of allocations of the whole process per
// run.
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

// discardAnswer reads an answer up to ReadyForQuery and ignores its content.
func (c *caller) discardAnswer() {
	for {
		msg, err := c.fe.Receive()
		assert.NilError(c.t, err)
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}
