package pgedge_test

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
	"github.com/amaranthweir/amaranthweir/internal/capacity/capacitytest"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/pgedge"
	"github.com/amaranthweir/amaranthweir/standin"
)

// BenchmarkCapacityProbe measures a probe over a reused connection: the bytes in
// both directions, and the processor time together with that of the stand-in.
func BenchmarkCapacityProbe(b *testing.B) {
	const probes = 3000
	cfg := standin.DefaultConfig("g", "a")
	cfg.OpenCost = 0
	in, err := standin.Start(cfg)
	assert.NilError(b, err)
	defer in.Close()
	p, err := pgedge.New(pgedge.DefaultConfig())
	assert.NilError(b, err)
	defer p.Close()
	probe := func(address string) {
		_, err := p.Probe(b.Context(), dbedge.Target{Address: address})
		assert.NilError(b, err)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	l := &capacitytest.Listener{Listener: socket}
	defer l.Close()
	go relay(l, in.Address())
	probe(l.Addr().String())
	bytes := l.Sent.Load() + l.Received.Load()
	for range 100 {
		probe(l.Addr().String())
	}
	capacitytest.Report(b, "probe_bytes", float64(l.Sent.Load()+l.Received.Load()-bytes)/100, capacity.Bytes)
	probe(in.Address())
	used := capacitytest.CPUPerRun(probes, func(int) { probe(in.Address()) })
	capacitytest.Report(b, "probe_cpu_both_ends", used, capacity.Microsecond)
}

// relay accepts one connection and relays it to address.
func relay(l net.Listener, address string) {
	from, err := l.Accept()
	if err != nil {
		return
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(to, from) }()
	_, _ = io.Copy(from, to)
}
