// Package standin simulates an upstream for tests, benchmarks and the demo: one
// instance of a group that speaks the PostgreSQL wire protocol and has key-value
// tables, asynchronous replication, terms, promotion, limits on concurrent
// statements and connections, and switches for fault injection. The released
// binary does not contain it.
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

// Instance is a running stand-in instance. Its methods are safe for concurrent use.
type Instance struct {
	cfg     Config
	store   *store
	locks   *lockTable
	slots   *slots
	faults  *faults
	lag     atomic.Int64 // nanoseconds
	leaving atomic.Bool
	wake    chan struct{} // triggers an announcement

	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	listener net.Listener
	control  net.Listener
	client   *http.Client

	mu          sync.Mutex
	peers       []string
	sessions    map[int]*session
	nextNumber  int
	open        int // sessions of callers
	maxOpen     int
	reserved    int // sessions of the platform
	maxReserved int
	minEpoch    table.Epoch // the lowest epoch that is not fenced; lower ones are refused
}

// Start starts an instance and returns once it listens. Close stops it.
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
	in.bootstrapPrimary()
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

// bootstrapPrimary makes an instance with Config.Primary the primary of term 1,
// unless a peer already follows a term: a primary that restarts after a failover
// must not become the primary again.
func (in *Instance) bootstrapPrimary() {
	if !in.cfg.Primary {
		return
	}
	for _, p := range in.queryPeers() {
		if p.State.LastTerm > 0 {
			return
		}
	}
	_ = in.store.promote(1) // cannot fail: the store has no term yet
}

func (in *Instance) spawn(run func()) { in.wait.Go(run) }

// Close closes every connection and waits until all goroutines of the instance
// have ended.
func (in *Instance) Close() error {
	in.stop()
	err := errors.Join(ignoreClosed(in.listener.Close()), ignoreClosed(in.control.Close()))
	in.mu.Lock()
	for _, s := range in.sessions {
		_ = s.conn.Conn.Close() // makes the session end
	}
	in.mu.Unlock()
	in.wait.Wait()
	in.client.CloseIdleConnections()
	return err
}

// Kill simulates a killed process: it resets the connections of callers and
// closes the instance. The data in memory is lost.
func (in *Instance) Kill() {
	in.mu.Lock()
	for _, s := range in.sessions {
		if c, ok := s.conn.Conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // best effort
		}
	}
	in.mu.Unlock()
	_ = in.Close() // a killed process reports no error
}

// Done returns a channel that is closed when the instance is closed or killed.
func (in *Instance) Done() <-chan struct{} { return in.ctx.Done() }

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Address returns the ip:port on which the instance speaks the PostgreSQL protocol.
func (in *Instance) Address() string { return in.listener.Addr().String() }

// ControlAddress returns the ip:port of the control port.
func (in *Instance) ControlAddress() string { return in.control.Addr().String() }

// ID returns the name of the instance.
func (in *Instance) ID() table.InstanceID { return in.cfg.Instance }

// SetPeers replaces the control addresses of the peers.
func (in *Instance) SetPeers(addresses ...string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.peers = addresses
}

// SetLag changes the replication lag. The new lag applies from the next pull on,
// also to entries that the old lag still delays.
func (in *Instance) SetLag(d time.Duration) { in.lag.Store(int64(d)) }

// SetLeaving sets whether the instance announces that it leaves, and triggers an
// announcement.
func (in *Instance) SetLeaving(leaving bool) {
	in.leaving.Store(leaving)
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// Promote makes the instance the primary of term, as amaranthweir.promote does.
func (in *Instance) Promote(term table.Term) error { return in.store.promote(term) }

// Fence fences the terms below term and the epochs below epoch, as
// amaranthweir.fence does.
func (in *Instance) Fence(term table.Term, epoch table.Epoch) { in.fence(term, epoch, nil) }

// fence fences the terms below term and terminates the sessions of owners whose
// epoch is below epoch, except for requester. It waits until these sessions have
// ended, so that none of their writes commits after fence returns.
func (in *Instance) fence(term table.Term, epoch table.Epoch, requester *session) {
	in.store.fence(term)
	in.mu.Lock()
	in.minEpoch = max(in.minEpoch, epoch)
	var fenced []*session
	for _, s := range in.sessions {
		if s != requester && s.hasEpoch && s.epoch < in.minEpoch {
			fenced = append(fenced, s)
		}
	}
	in.mu.Unlock()
	for _, s := range fenced {
		s.terminate(errEpochFenced)
	}
	for _, s := range fenced {
		<-s.ended
	}
}

// Role returns the current role of the instance.
func (in *Instance) Role() table.Role { return in.store.state().role() }

// Mark returns the term and the position of the last entry that the instance has.
func (in *Instance) Mark() table.Mark { return in.store.state().Mark }

func (s state) role() table.Role {
	if s.Primary {
		return table.RolePrimary
	}
	return table.RoleReplica
}

// Rows returns a copy of the committed rows of a table.
func (in *Instance) Rows(name string) map[string]string { return in.store.rows(name) }

// Stats holds counters of an instance since its start.
type Stats struct {
	// Open and MaxOpen are the current and the highest number of open
	// connections of callers.
	Open, MaxOpen int
	// MaxReserved is the highest number of open connections of the platform,
	// which have their own limit, ReservedConnections.
	MaxReserved int
	// Waiting is the number of statements that wait for a slot, Running the number
	// of statements that hold one, MaxRunning the highest value of Running, and
	// Finished the number of statements that have released their slot.
	Waiting, Running, MaxRunning, Finished int
}

// Stats returns the current counters.
func (in *Instance) Stats() Stats {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.slots.mu.Lock()
	defer in.slots.mu.Unlock()
	return Stats{
		Open:        in.open,
		MaxOpen:     in.maxOpen,
		MaxReserved: in.maxReserved,
		Waiting:     in.slots.waiting,
		Running:     in.slots.running,
		MaxRunning:  in.slots.maxRunning,
		Finished:    in.slots.finished,
	}
}
