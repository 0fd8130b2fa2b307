package policybench

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	seed   = 1
	length = 20 * time.Second
	// routedLength is longer than length because a routed profile has less
	// urgent work.
	routedLength = 60 * time.Second
)

// The admission queue must meet the targets with the same mix of work at every
// instance. The test also prints a comparison with the baseline policies.
func TestPolicyMeetsTargets(t *testing.T) {
	t.Logf("seed %d", seed)
	lines, err := Report(os.Stdout, []Profile{Orderdesk(), Ledger()}, length, seed)
	assert.NilError(t, err)
	for _, l := range lines {
		assert.Check(t, l.Pass, "%s: %v, the bound is %v", l.Name, l.Value, l.Bound)
	}
}

// The admission queue must meet the targets when routing sends writes to
// primaries and stale reads to replicas first.
func TestRoutedPolicyMeetsTargets(t *testing.T) {
	t.Logf("seed %d", seed)
	for _, p := range []Profile{Orderdesk().Route(), Ledger().Route()} {
		comparison, err := Measure(p, "chosen", AdmissionQueue, routedLength, seed)
		assert.NilError(t, err)
		for _, l := range comparison.Lines() {
			t.Logf("%+v", l)
			assert.Check(t, l.Pass, "%s: %v, the bound is %v", l.Name, l.Value, l.Bound)
		}
	}
}

// The targets must be met when the lowest and the most urgent rank flood at
// once and one instance is missing. The latencies are compared with a run of
// all instances without a flood.
func TestBothFloodsWithOneInstanceLost(t *testing.T) {
	t.Logf("seed %d", seed)
	for _, p := range []Profile{Orderdesk(), Ledger()} {
		noFlood, err := Run(p, AdmissionQueue, length, seed)
		assert.NilError(t, err)
		lost := p.LoseInstance()
		high, err := Run(lost.Flood(p.Loads[len(p.Loads)-1].Class, floodTimes).Flood(p.Loads[0].Class, floodTimes), AdmissionQueue, length, seed)
		assert.NilError(t, err)
		comparison := Comparison{Profile: lost, Policy: "chosen", NoFlood: noFlood, HighFlood: high}
		for _, l := range comparison.highLines() {
			t.Logf("%+v", l)
			assert.Check(t, l.Pass, "%s: %v, the bound is %v", l.Name, l.Value, l.Bound)
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	a, err := Measure(Ledger(), "chosen", AdmissionQueue, time.Second, seed)
	assert.NilError(t, err)
	b, err := Measure(Ledger(), "chosen", AdmissionQueue, time.Second, seed)
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Lines(), b.Lines())
}

// BenchmarkReport prints the whole comparison once. It adds routed profiles and
// profiles with background statements of twice the length, whose p99 ratio
// exceeds the bound. Run it with -benchtime 1x.
func BenchmarkReport(b *testing.B) {
	profiles := []Profile{
		Orderdesk(), Ledger(), Orderdesk().Route(), Ledger().Route(),
		Orderdesk().Lengthen("proof_preview", 2), Ledger().Lengthen("stock_report", 2),
		Orderdesk().Route().Lengthen("proof_preview", 2), Ledger().Route().Lengthen("stock_report", 2),
	}
	for range b.N {
		_, err := Report(os.Stdout, profiles, routedLength, seed)
		assert.NilError(b, err)
	}
}
