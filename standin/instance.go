// Package standin is a stand-in for an upstream: one instance of a group with
// a PostgreSQL wire protocol front, key-value tables, asynchronous
// replication, terms, promotion, limited slots and connections, and switches
// for faults. It exists for tests, benchmarks and the demo, and is no part of
// the shipped binary.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Instance is one running instance. Its methods are safe for concurrent use.
type Instance struct {
	cfg    Config
	store  *store
	locks  *lockTable
	slots  *slots
	faults *faults
	lag    atomic.Int64 // nanoseconds
	leave  atomic.Bool
	wake   chan struct{} // wakes the announcer

	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	listener net.Listener
	control  net.Listener
	client   *http.Client

	mu         sync.Mutex
	peers      []string
	sessions   map[int]*session
	nextNumber int
	open       int // sessions of callers
	maxOpen    int
	reserved   int // sessions of the platform
	maxReserve int
	oldest     table.Epoch // the lowest epoch that is not over
}

// Start starts an instance. Close ends it.
func Start(cfg Config) (*Instance, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	in := &Instance{
		cfg:      cfg,
		store:    newStore(),
		locks:    newLockTable(),
		slots:    newSlots(cfg.Slots),
		faults:   newFaults(),
		wake:     make(chan struct{}, 1),
		client:   &http.Client{Transport: &http.Transport{}},
		peers:    cfg.Peers,
		sessions: map[int]*session{},
	}
	in.lag.Store(int64(cfg.Lag))
	in.ctx, in.stop = context.WithCancel(context.Background())
	if err := in.listen(); err != nil {
		in.stop()
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	in.found()
	in.spawn(in.serveControl)
	in.spawn(in.acceptCallers)
	in.spawn(in.replicate)
	in.spawn(in.announce)
	return in, nil
}

func (in *Instance) listen() error {
	var err error
	if in.listener, err = net.Listen("tcp", in.cfg.Address); err != nil {
		return err
	}
	if in.control, err = net.Listen("tcp", in.cfg.ControlAddress); err != nil {
		return errors.Join(err, in.listener.Close())
	}
	return nil
}

// found makes a founding instance the primary, unless a fellow follows a term.
func (in *Instance) found() {
	if !in.cfg.Primary {
		return
	}
	for _, p := range in.askPeers() {
		if p.State.LastTerm > 0 {
			return
		}
	}
	_ = in.store.promote(1) // can't fail: the store has seen no term
}

func (in *Instance) spawn(run func()) { in.wait.Go(run) }

// Close drops every connection at once and waits until nothing runs any more.
func (in *Instance) Close() error {
	in.stop()
	err := errors.Join(ignoreClosed(in.listener.Close()), ignoreClosed(in.control.Close()))
	in.mu.Lock()
	for _, s := range in.sessions {
		_ = s.conn.Conn.Close() // the session sees it
	}
	in.mu.Unlock()
	in.wait.Wait()
	in.client.CloseIdleConnections()
	return err
}

// Kill is Close as the fault of a killed process: what is in memory is lost,
// and callers see a reset.
func (in *Instance) Kill() {
	in.mu.Lock()
	for _, s := range in.sessions {
		if c, ok := s.conn.Conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // best effort
		}
	}
	in.mu.Unlock()
	_ = in.Close() // nothing is left to be told
}

// Done ends when the instance is closed or killed.
func (in *Instance) Done() <-chan struct{} { return in.ctx.Done() }

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Address returns ip:port of the PostgreSQL protocol.
func (in *Instance) Address() string { return in.listener.Addr().String() }

// ControlAddress returns ip:port of the control port.
func (in *Instance) ControlAddress() string { return in.control.Addr().String() }

// ID returns the name of the instance.
func (in *Instance) ID() table.InstanceID { return in.cfg.Instance }

// SetPeers replaces the control addresses of the fellows.
func (in *Instance) SetPeers(addresses ...string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.peers = addresses
}

// SetLag changes the replication lag. It holds from the next pull on, also for
// entries that were held back under the old lag.
func (in *Instance) SetLag(d time.Duration) { in.lag.Store(int64(d)) }

// SetLeaving changes what the instance announces, and announces it at once.
func (in *Instance) SetLeaving(leaving bool) {
	in.leave.Store(leaving)
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// Promote makes the instance the primary of term, as amaranthweir.promote does.
func (in *Instance) Promote(term table.Term) error { return in.store.promote(term) }

// Fence ends lower terms and epochs, as amaranthweir.fence does.
func (in *Instance) Fence(term table.Term, epoch table.Epoch) { in.fence(term, epoch, nil) }

// fence also waits until the closed sessions have ended, so that none of
// their writes commits afterwards. The session that asks is spared.
func (in *Instance) fence(term table.Term, epoch table.Epoch, asking *session) {
	in.store.fence(term)
	in.mu.Lock()
	in.oldest = max(in.oldest, epoch)
	var over []*session
	for _, s := range in.sessions {
		if s != asking && s.owned && s.epoch < in.oldest {
			over = append(over, s)
		}
	}
	in.mu.Unlock()
	for _, s := range over {
		s.terminate(errOwnerOver)
	}
	for _, s := range over {
		<-s.ended
	}
}

// Role returns the role of the instance.
func (in *Instance) Role() table.Role { return in.store.state().role() }

// Mark returns the last position that the instance holds, and its term.
func (in *Instance) Mark() table.Mark { return in.store.state().Mark }

func (s state) role() table.Role {
	if s.Primary {
		return table.RolePrimary
	}
	return table.RoleReplica
}

// Rows returns a copy of the committed rows of a table.
func (in *Instance) Rows(name string) map[string]string { return in.store.rows(name) }

// Stats counts what an instance has done since its start.
type Stats struct {
	// Open and MaxOpen count the connections of callers.
	Open, MaxOpen int
	// MaxReserved counts the connections of the platform, which have a few
	// places of their own.
	MaxReserved int
	// Waiting and Running count statements; Finished those that held a slot.
	Waiting, Running, MaxRunning, Finished int
}

// Stats returns the counts.
func (in *Instance) Stats() Stats {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.slots.mu.Lock()
	defer in.slots.mu.Unlock()
	return Stats{
		Open:        in.open,
		MaxOpen:     in.maxOpen,
		MaxReserved: in.maxReserve,
		Waiting:     in.slots.waiting,
		Running:     in.slots.running,
		MaxRunning:  in.slots.maxRunning,
		Finished:    in.slots.finished,
	}
}
