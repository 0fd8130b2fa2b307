package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// register is the document of one service as the model of a history sees it.
type register struct {
	version uint64
	digest  string
}

// request is a put, or a read if digest is empty.
type request struct {
	service string
	register
}

// response is what a read saw, or for a put whether it was accepted and, if
// not, what was in force.
type response struct {
	accepted bool
	register
}

var documents = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			service := o.Input.(request).service
			parts[service] = append(parts[service], o)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(register), input.(request), output.(response)
		switch {
		case in.digest == "":
			return out.register == now, now
		case out.accepted:
			return in.version == now.version+1, in.register
		default:
			return in.version != now.version+1 && out.register == now, now
		}
	},
}

// history records operations of clients in their order of call and return.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (h *history) record(client int, in request, do func() response) {
	call := h.clock.Add(1)
	out := do()
	back := h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: back})
}

// client puts next versions and reads, and sends each put until it is answered.
func (n *network) client(t *testing.T, h *history, rng *rand.Rand, number int) {
	for op := range 25 {
		service := fmt.Sprint("s", rng.IntN(2))
		time.Sleep(time.Duration(rng.IntN(40)) * DefaultTickInterval)
		if rng.IntN(2) == 0 {
			h.record(number, request{service: service}, func() response { return n.read(t, rng, service) })
			continue
		}
		version := n.read(t, rng, service).version + 1
		c := put(service, version, fmt.Sprint(number, op))
		in := request{service, register{version, c.PutDocument.Digest}}
		h.record(number, in, func() response {
			r := n.persist(t, c)
			return response{r.Refusal == Accepted, register{r.Document.Version, r.Document.Digest}}
		})
	}
}

// read looks at any host that holds the lease after it was looked at.
func (n *network) read(t *testing.T, rng *rand.Rand, service string) response {
	for range 10000 {
		s := n.server(n.voters[rng.IntN(len(n.voters))])
		if s != nil {
			d := s.View().Documents[service]
			if _, _, leased := s.Leader(); leased {
				return response{register: register{d.Version, d.Digest}}
			}
		}
		time.Sleep(DefaultTickInterval)
	}
	t.Error("no host holds a lease")
	return response{}
}

// disturb cuts off and crashes hosts, one at a time, until ctx ends.
func (n *network) disturb(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for ctx.Err() == nil {
		host := n.voters[rng.IntN(len(n.voters))]
		pause := time.Duration(10+rng.IntN(100)) * DefaultTickInterval
		switch rng.IntN(3) {
		case 0:
			n.isolate(host, true)
			time.Sleep(pause)
			n.isolate(host, false)
		case 1:
			n.stop(t, host)
			time.Sleep(pause)
			n.start(t, host)
		default:
			time.Sleep(pause)
		}
	}
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			started(t, func(t *testing.T, n *network, _ *Server) {
				h := &history{}
				ctx, cancel := context.WithCancel(t.Context())
				var clients, faults sync.WaitGroup
				faults.Go(func() { n.disturb(ctx, t, rand.New(rand.NewPCG(seed, 99))) })
				for i := range 4 {
					clients.Go(func() { n.client(t, h, rand.New(rand.NewPCG(seed, uint64(i))), i) })
				}
				clients.Wait()
				cancel()
				faults.Wait()
				synctest.Wait()
				assert.Equal(t, len(h.ops), 100)
				assert.Assert(t, porcupine.CheckOperations(documents, h.ops))
			})
		})
	}
}
