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

// documentState is the state of one service in documentModel.
type documentState struct {
	version uint64
	digest  string
}

// request is the input of an operation: a put, or a read if digest is empty.
type request struct {
	service string
	documentState
}

// response is the output of an operation: the document that a read returned, or
// whether a put was accepted and the document in force after it.
type response struct {
	accepted bool
	documentState
}

// documentModel is the sequential specification of documents, one partition for
// each service.
var documentModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byService := map[string][]porcupine.Operation{}
		for _, o := range history {
			service := o.Input.(request).service
			byService[service] = append(byService[service], o)
		}
		var partitions [][]porcupine.Operation
		for _, operations := range byService {
			partitions = append(partitions, operations)
		}
		return partitions
	},
	Init: func() any { return documentState{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(documentState), input.(request), output.(response)
		switch {
		case in.digest == "":
			return out.documentState == current, current
		case out.accepted:
			return in.version == current.version+1, in.documentState
		default:
			return in.version != current.version+1 && out.documentState == current, current
		}
	},
}

// history records the operations of concurrent clients. A counter orders their
// calls and returns.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (h *history) record(client int, in request, do func() response) {
	call := h.clock.Add(1)
	out := do()
	returned := h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
}

// client performs 25 random reads and puts of the next version. It resends each
// put until it gets an answer.
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
		in := request{service, documentState{version, c.PutDocument.Digest}}
		h.record(number, in, func() response {
			r := n.proposeUntilAnswered(t, c)
			return response{r.Refusal == Accepted, documentState{r.Document.Version, r.Document.Digest}}
		})
	}
}

// read reads the document from a host that still holds a lease after the read.
func (n *network) read(t *testing.T, rng *rand.Rand, service string) response {
	for range 10000 {
		s := n.server(n.voters[rng.IntN(len(n.voters))])
		if s != nil {
			d := s.View().Documents[service]
			if _, _, leased := s.Leader(); leased {
				return response{documentState: documentState{d.Version, d.Digest}}
			}
		}
		time.Sleep(DefaultTickInterval)
	}
	t.Error("no host holds a lease")
	return response{}
}

// injectFaults isolates and crashes random hosts, one at a time, until ctx is
// done.
func (n *network) injectFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for ctx.Err() == nil {
		host := n.voters[rng.IntN(len(n.voters))]
		pause := time.Duration(10+rng.IntN(100)) * DefaultTickInterval
		switch rng.IntN(3) {
		case 0:
			n.setIsolated(host, true)
			time.Sleep(pause)
			n.setIsolated(host, false)
		case 1:
			n.crash(t, host)
			time.Sleep(pause)
			n.start(t, host)
		default:
			time.Sleep(pause)
		}
	}
}

// Concurrent puts and reads must be linearizable although hosts are isolated and
// crash. A failure would be a lost or reverted document, or a stale read.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withLeader(t, func(t *testing.T, n *network, _ *Server) {
				h := &history{}
				ctx, cancel := context.WithCancel(t.Context())
				var clients, faults sync.WaitGroup
				faults.Go(func() { n.injectFaults(ctx, t, rand.New(rand.NewPCG(seed, 99))) })
				for i := range 4 {
					clients.Go(func() { n.client(t, h, rand.New(rand.NewPCG(seed, uint64(i))), i) })
				}
				clients.Wait()
				cancel()
				faults.Wait()
				synctest.Wait()
				assert.Equal(t, len(h.ops), 100)
				assert.Assert(t, porcupine.CheckOperations(documentModel, h.ops))
			})
		})
	}
}
