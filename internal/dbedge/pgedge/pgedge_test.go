package pgedge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/edgetest"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/pgedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin"
)

// TestContract runs the contract tests against stand-in instances.
func TestContract(t *testing.T) {
	edgetest.Run(t, func(t *testing.T) *edgetest.Fixture {
		primary, replica := startInstance(t, "a", true), startInstance(t, "b", false)
		primary.SetPeers(replica.ControlAddress())
		replica.SetPeers(primary.ControlAddress())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if replica.Mark() == (table.Mark{Term: 1}) {
				return poll.Success()
			}
			return poll.Continue("the replica has not caught up")
		}, poll.WithDelay(time.Millisecond))
		byAddress := map[string]*standin.Instance{primary.Address(): primary, replica.Address(): replica}
		return &edgetest.Fixture{
			Client:  newClient(t, pgedge.DefaultConfig()),
			Primary: primary.Address(),
			Replica: replica.Address(),
			Term:    1,
			Freeze:  func(address string) { byAddress[address].Freeze() },
			Thaw:    func(address string) { byAddress[address].Thaw() },
			Silence: func(address string) { byAddress[address].SilenceOpenConnections() },
		}
	})
}

// startInstance starts a stand-in instance in group "g".
func startInstance(t *testing.T, name table.InstanceID, primary bool) *standin.Instance {
	t.Helper()
	cfg := standin.DefaultConfig("g", name)
	cfg.OpenCost, cfg.Primary = 0, primary
	in, err := standin.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, in.Close()) })
	return in
}

func newClient(t *testing.T, cfg pgedge.Config) *pgedge.Client {
	t.Helper()
	p, err := pgedge.New(cfg)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// Successive probes share one connection, which the instance counts as reserved, not
// as a connection of callers.
func TestProbesReuseOneConnection(t *testing.T) {
	cfg := pgedge.DefaultConfig()
	cfg.ReuseTimeout = time.Hour // a slow machine must not be taken for a silent connection
	in, p := startInstance(t, "a", true), newClient(t, cfg)
	for range 10 {
		_, err := p.Probe(t.Context(), dbedge.Target{Address: in.Address()})
		assert.NilError(t, err)
	}
	assert.Equal(t, in.Stats().MaxReserved, 1)
	assert.Equal(t, in.Stats().MaxOpen, 0, "probes do not count against the connection limit for callers")
}

// BenchmarkProbe compares probes over an idle connection with probes that dial.
func BenchmarkProbe(b *testing.B) {
	cfg := standin.DefaultConfig("g", "a")
	cfg.OpenCost = 0
	in, err := standin.Start(cfg)
	assert.NilError(b, err)
	defer in.Close()
	for name, maxIdle := range map[string]int{"kept": 1, "dialed": 0} {
		b.Run(name, func(b *testing.B) {
			cfg := pgedge.DefaultConfig()
			cfg.MaxIdle = maxIdle
			p, err := pgedge.New(cfg)
			assert.NilError(b, err)
			defer p.Close()
			for b.Loop() {
				_, err := p.Probe(b.Context(), dbedge.Target{Address: in.Address()})
				assert.NilError(b, err)
			}
		})
	}
}
