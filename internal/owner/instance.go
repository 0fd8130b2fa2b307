package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// reservedConnections of an instance are left for probes and for the fence of
// a later owner.
const reservedConnections = 2

// instance is one owned upstream instance.
type instance struct {
	cfg     Config
	id      table.InstanceID
	group   table.GroupName
	address string
	epoch   table.Epoch
	pool    *pool.Pool
	slots   *slots
	probe   *sampler
	stop    context.CancelFunc
	log     logrus.FieldLogger

	gate     writeGate
	probeNow chan struct{} // asks for a probe at once
	trackNow chan struct{} // asks for the primary's position at once
	ending   atomic.Bool   // set once no new work may begin
	working  atomic.Int32  // requests from their start to their answer
	holding  atomic.Bool   // while it is told to receive no more, or again
	serving  atomic.Bool   // set once connections of earlier owners are closed

	// heardAt is when the instance answered a statement last, in nanoseconds
	// since the start of the process.
	heardAt atomic.Int64

	mu     sync.Mutex
	held   map[request.SessionID]*transaction
	health health
	seen   table.Mark // the furthest that the primary was seen
	age    ageProof
}

// transaction is a connection that belongs to one session until the end of
// its transaction.
type transaction struct {
	conn   pool.Conn
	term   table.Term // agreed when it began
	writes bool       // it entered the write gate
	inUse  bool
	doomed bool // the session ended while a statement ran
}

func newInstance(ctx context.Context, cfg Config, desc table.Instance, epoch table.Epoch) (*instance, error) {
	slots, err := newSlots(desc.Slots, cfg.SendAhead, cfg.Declare(desc.Group), cfg.Log.WithField("instance", desc.ID))
	if err != nil {
		return nil, err
	}
	dial, err := cfg.Dial(dbedge.Target{Group: desc.Group, Instance: desc.ID, Address: desc.Address}, epoch)
	if err != nil {
		return nil, err
	}
	p, err := pool.New(pool.Config{
		Dial:        dial,
		Max:         max(1, desc.Connections-reservedConnections),
		Warm:        min(desc.Slots, max(1, desc.Connections-reservedConnections)),
		IdleTimeout: cfg.Timing.Idle,
		DialTimeout: cfg.Timing.DialTimeout,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	in := &instance{
		cfg:      cfg,
		id:       desc.ID,
		group:    desc.Group,
		address:  desc.Address,
		epoch:    epoch,
		pool:     p,
		slots:    slots,
		stop:     stop,
		log:      cfg.Log.WithFields(logrus.Fields{"instance": desc.ID, "group": desc.Group, "epoch": epoch}),
		probeNow: make(chan struct{}, 1),
		trackNow: make(chan struct{}, 1),
		held:     map[request.SessionID]*transaction{},
	}
	in.probe = newSampler(func(ctx context.Context) (dbedge.Status, error) {
		ctx, stop := context.WithTimeout(ctx, cfg.Timing.ProbeTimeout)
		defer stop()
		return cfg.Prober.Probe(ctx, in.target())
	})
	go in.watch(ctx)
	if !cfg.UpstreamFloors {
		go in.trackPrimary(ctx)
	}
	return in, nil
}

func (in *instance) target() dbedge.Target {
	return dbedge.Target{Group: in.group, Instance: in.id, Address: in.address}
}

// resize takes a new number of slots and what the documents say now.
func (in *instance) resize(desc table.Instance) error {
	return in.slots.update(desc.Slots, in.cfg.Declare(in.group))
}

// shut ends probes and idle connections; transactions go on to their end.
func (in *instance) shut() {
	in.stop()
	in.pool.Close()
}

// watch closes what earlier owners left open, then probes the instance and
// keeps its pool warm until ctx ends.
func (in *instance) watch(ctx context.Context) {
	tick := time.NewTicker(in.cfg.Timing.Probe)
	defer tick.Stop()
	asked := true // by an order, or because something failed
	for {
		if (asked || in.probeDue(time.Now())) && in.probeOnce(ctx) {
			in.cfg.Changed()
		}
		if ctx.Err() != nil {
			return
		}
		if in.takeOver(ctx) {
			in.pool.Maintain(ctx, time.Now())
		}
		in.slots.tick()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			asked = false
		case <-in.probeNow:
			asked = true
		}
	}
}

// takeOver closes the connections of earlier owners, once, so that the
// instance never has more than it announced. It reports whether that is done.
func (in *instance) takeOver(ctx context.Context) bool {
	if in.serving.Load() {
		return true
	}
	if in.cfg.Fencer == nil {
		in.serving.Store(true)
		return true
	}
	term, _ := in.cfg.Authority.Term(in.group, in.id)
	ctx, stop := context.WithTimeout(ctx, in.cfg.Timing.ProbeTimeout)
	defer stop()
	if err := in.cfg.Fencer.Fence(ctx, in.target(), term, in.epoch); err != nil {
		in.log.WithError(err).Debug("take-over")
		return false
	}
	in.serving.Store(true)
	in.log.Info("instance taken over")
	return true
}

func (in *instance) running() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return int(in.working.Load()) + len(in.held)
}

// position samples the mark of a primary under a valid lease.
func (in *instance) position(ctx context.Context) (request.PositionSample, error) {
	if in.cfg.UpstreamFloors {
		return in.acknowledged()
	}
	st, err := in.probe.sample(ctx)
	if err != nil {
		return request.PositionSample{}, errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	if err := in.cfg.Authority.MayAcknowledge(in.group, in.id, st.Mark.Term); err != nil {
		return request.PositionSample{}, errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	return request.PositionSample{Mark: st.Mark, TermStart: st.TermStart}, nil
}

// acknowledged returns a mark at or beyond all that was acknowledged so far, by
// this owner or an earlier one.
func (in *instance) acknowledged() (request.PositionSample, error) {
	in.mu.Lock()
	acked, known := in.health.acked, in.health.ackedSet
	in.mu.Unlock()
	if !known {
		return request.PositionSample{}, errkind.New(errkind.NoPrimary, "the position of %s is not known yet", in.id)
	}
	if err := in.cfg.Authority.MayAcknowledge(in.group, in.id, acked.Term); err != nil {
		return request.PositionSample{}, errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	return request.PositionSample{Mark: acked}, nil
}

// awaitMark returns once the replica holds m durably, in the term of m.
func (in *instance) awaitMark(ctx context.Context, m table.Mark) error {
	for {
		asked := time.Now()
		st, err := in.probe.sample(ctx)
		if err == nil {
			in.mu.Lock()
			in.age.observeReplica(asked, st)
			in.mu.Unlock()
			if st.Mark.Term == m.Term && st.Mark.Position >= m.Position {
				return nil
			}
			if st.Mark.Term > m.Term {
				return errkind.New(errkind.LeaseLost, "replica %s is in term %d", in.id, st.Mark.Term)
			}
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "replica %s did not confirm in time", in.id)
		case <-time.After(in.cfg.Timing.ReplicaPoll):
		}
	}
}

// endSession closes the connection that the session's transaction holds; the
// upstream rolls it back.
func (in *instance) endSession(s request.SessionID) {
	in.mu.Lock()
	tx := in.held[s]
	if tx != nil && tx.inUse {
		tx.doomed = true
		tx = nil
	}
	if tx != nil {
		delete(in.held, s)
	}
	in.mu.Unlock()
	if tx == nil {
		return
	}
	if tx.writes {
		in.gate.leave()
	}
	in.giveUp(tx.conn)
}

// giveUp rolls back what is open on a connection and gives it back, or closes
// it where that cannot be done. It returns at once.
func (in *instance) giveUp(c pool.Conn) {
	go func() {
		if c.Reset(context.Background()) {
			in.pool.Put(c)
			return
		}
		in.pool.Discard(c)
	}()
}
