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
	// routedLength is longer, because a routed profile has less urgent work.
	routedLength = 60 * time.Second
)

// TestPolicyKeepsItsTargets compares the policies in one table and holds the
// chosen one against the targets, with the same mix at every instance.
func TestPolicyKeepsItsTargets(t *testing.T) {
	t.Logf("seed %d", seed)
	lines, err := Report(os.Stdout, []Profile{Orderdesk(), Ledger()}, length, seed)
	assert.NilError(t, err)
	for _, l := range lines {
		assert.Check(t, l.Pass, "%s: %v, the bound is %v", l.Name, l.Value, l.Bound)
	}
}

// TestRoutedPolicyKeepsItsTargets does the same for the chosen policy where
// routing sends writes to primaries and stale reads to replicas first.
func TestRoutedPolicyKeepsItsTargets(t *testing.T) {
	t.Logf("seed %d", seed)
	for _, p := range []Profile{Orderdesk().Route(), Ledger().Route()} {
		trio, err := Measure(p, "chosen", Chosen, routedLength, seed)
		assert.NilError(t, err)
		for _, l := range trio.Lines() {
			t.Logf("%+v", l)
			assert.Check(t, l.Pass, "%s: %v, the bound is %v", l.Name, l.Value, l.Bound)
		}
	}
}

// TestBothFloodsWithAnInstanceLost floods the lowest and the most urgent rank at
// once, with one instance less, and compares with the calm run of all.
func TestBothFloodsWithAnInstanceLost(t *testing.T) {
	t.Logf("seed %d", seed)
	for _, p := range []Profile{Orderdesk(), Ledger()} {
		calm, err := Run(p, Chosen, length, seed)
		assert.NilError(t, err)
		lost := p.LoseInstance()
		high, err := Run(lost.Flood(p.Loads[len(p.Loads)-1].Class, floodTimes).Flood(p.Loads[0].Class, floodTimes), Chosen, length, seed)
		assert.NilError(t, err)
		trio := Trio{Profile: lost, Policy: "chosen", Calm: calm, High: high}
		for _, l := range trio.highLines() {
			t.Logf("%+v", l)
			assert.Check(t, l.Pass, "%s: %v, the bound is %v", l.Name, l.Value, l.Bound)
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	a, err := Measure(Ledger(), "chosen", Chosen, time.Second, seed)
	assert.NilError(t, err)
	b, err := Measure(Ledger(), "chosen", Chosen, time.Second, seed)
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Lines(), b.Lines())
}

// BenchmarkReport prints the whole comparison once, with routed profiles and
// with background statements of twice the length, whose ratio is over the
// bound. Run it with -benchtime 1x.
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
