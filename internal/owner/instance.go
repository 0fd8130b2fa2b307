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
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// reservedConnections is the number of connections of an instance that are left
// for probes and for the fence of a later owner.
const reservedConnections = 2

// retainedPercent is the share of the connections that are kept open for the
// workspaces that may need them. A later owner needs the rest until the instance has
// noticed that the connections of this host are dead.
const retainedPercent = 66

// instance is one upstream instance that this host owns.
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

	gate                       writeGate
	probeNow                   chan struct{} // requests an immediate probe
	trackNow                   chan struct{} // requests an immediate query of the primary's position
	handingOver                atomic.Bool   // set once no new work may begin
	activeRequests             atomic.Int32  // requests between admission and answer
	replicationOrderInProgress atomic.Bool   // set while replication is being stopped or resumed at the replica
	serving                    atomic.Bool   // set once the connections of earlier owners are closed

	// lastAnswerAt is when the instance last answered a statement, in
	// nanoseconds since the start of the process.
	lastAnswerAt atomic.Int64

	mu           sync.Mutex
	transactions map[request.SessionID]*transaction
	health       health
	reachedMark  table.Mark // the highest mark that the primary is known to have reached
	age          ageTracker
	floors       routing.Floors // where the instance checks floors itself
}

// transaction is a connection that belongs to one session until its transaction
// ends.
type transaction struct {
	conn         pool.Conn
	term         table.Term // term of the primary's log when the transaction began
	writes       bool       // has entered the write gate
	inUse        bool
	sessionEnded bool // the session ended or its caller gave up while a statement was running
}

// newInstance starts the probes of an instance and returns it. Requests are
// refused until takeOver has closed the connections of earlier owners.
func newInstance(ctx context.Context, cfg Config, desc table.Instance, epoch table.Epoch) (*instance, error) {
	slots, err := newSlots(desc.Slots, cfg.OvercommitSlots, cfg.AdmissionConfig(desc.Group), cfg.Log.WithField("instance", desc.ID))
	if err != nil {
		return nil, err
	}
	if cfg.LearnCapacity {
		slots.learnCapacity()
	}
	dial, err := cfg.Dial(dbedge.Target{Group: desc.Group, Instance: desc.ID, Address: desc.Address}, epoch)
	if err != nil {
		return nil, err
	}
	p, err := pool.New(pool.Config{
		Dial:         dial,
		PerWorkspace: cfg.PerWorkspace,
		Retain:       max(1, (desc.Connections-reservedConnections)*retainedPercent/100),
		Max:          max(1, desc.Connections-reservedConnections),
		Warm:         min(desc.Slots, max(1, desc.Connections-reservedConnections)),
		IdleTimeout:  cfg.Timing.IdleTimeout,
		DialTimeout:  cfg.Timing.DialTimeout,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	in := &instance{
		cfg:          cfg,
		id:           desc.ID,
		group:        desc.Group,
		address:      desc.Address,
		epoch:        epoch,
		pool:         p,
		slots:        slots,
		stop:         stop,
		log:          cfg.Log.WithFields(logrus.Fields{"instance": desc.ID, "group": desc.Group, "epoch": epoch}),
		probeNow:     make(chan struct{}, 1),
		trackNow:     make(chan struct{}, 1),
		transactions: map[request.SessionID]*transaction{},
	}
	in.probe = newSampler(func(ctx context.Context) (dbedge.Status, error) {
		return probeInTime(ctx, cfg.Timing.ProbeTimeout, func(ctx context.Context) (dbedge.Status, error) {
			return cfg.Prober.Probe(ctx, in.target())
		})
	})
	go in.watch(ctx)
	if !cfg.UpstreamFloors {
		go in.trackPrimary(ctx)
	}
	return in, nil
}

// target returns the instance as the target of probes, fences and holds.
func (in *instance) target() dbedge.Target {
	return dbedge.Target{Group: in.group, Instance: in.id, Address: in.address}
}

// resize applies a new number of slots and the current admission settings.
func (in *instance) resize(desc table.Instance) error {
	return in.slots.update(desc.Slots, in.cfg.AdmissionConfig(in.group))
}

// shutdown stops the probes and closes idle connections. Open transactions
// continue until they end.
func (in *instance) shutdown() {
	in.stop()
	in.pool.Close()
}

// watch probes the instance until ctx is done. It also closes the connections of
// earlier owners, and maintains the pool once they are closed.
func (in *instance) watch(ctx context.Context) {
	tick := time.NewTicker(in.cfg.Timing.ProbeInterval)
	defer tick.Stop()
	requested := true // the first probe, or one requested by an order or after a failure
	for {
		if (requested || in.isProbeDue(time.Now())) && in.probeOnce(ctx) {
			in.cfg.OnChange()
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
			requested = false
		case <-in.probeNow:
			requested = true
		}
	}
}

// takeOver closes the connections of earlier owners, once, so that the instance
// never has more connections than it announced. It reports whether they are
// closed.
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
		in.log.WithError(err).Debug("connections of earlier owners are not closed yet")
		return false
	}
	in.serving.Store(true)
	in.log.Info("instance taken over")
	return true
}

// runningCount returns the number of running requests plus the number of open
// transactions.
func (in *instance) runningCount() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return int(in.activeRequests.Load()) + len(in.transactions)
}

// position returns a mark at or after every write that the primary has
// acknowledged. It returns an error unless this host holds a valid lease.
func (in *instance) position(ctx context.Context) (request.PositionSample, error) {
	if in.cfg.UpstreamFloors {
		return in.acknowledgedPosition()
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

// acknowledgedPosition returns a mark at or after every write acknowledged so
// far, by this owner or an earlier one.
func (in *instance) acknowledgedPosition() (request.PositionSample, error) {
	in.mu.Lock()
	acked, known := in.health.acked, in.health.ackedKnown
	in.mu.Unlock()
	if !known {
		return request.PositionSample{}, errkind.New(errkind.NoPrimary, "the position of %s is not known yet", in.id)
	}
	if err := in.cfg.Authority.MayAcknowledge(in.group, in.id, acked.Term); err != nil {
		return request.PositionSample{}, errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	return request.PositionSample{Mark: acked}, nil
}

// awaitMark returns nil once the replica holds m durably in the term of m.
func (in *instance) awaitMark(ctx context.Context, m table.Mark) error {
	for {
		sentAt := time.Now()
		st, err := in.probe.sample(ctx)
		if err == nil {
			in.mu.Lock()
			in.age.observeReplica(sentAt, st)
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
		case <-time.After(in.cfg.Timing.ReplicaPollInterval):
		}
	}
}

// endSession rolls back the session's open transaction. If a statement is
// running in it, the transaction is rolled back when that statement ends.
func (in *instance) endSession(s request.SessionID) {
	in.mu.Lock()
	tx := in.transactions[s]
	if tx != nil && tx.inUse {
		tx.sessionEnded = true
		tx = nil
	}
	if tx != nil {
		delete(in.transactions, s)
	}
	in.mu.Unlock()
	if tx == nil {
		return
	}
	if tx.writes {
		in.gate.leave()
	}
	in.resetOrDiscard(tx.conn)
}

// resetOrDiscard rolls back the open transaction of a connection and returns
// the connection to the pool, or closes the connection if the rollback fails.
// It does not block.
func (in *instance) resetOrDiscard(c pool.Conn) {
	go func() {
		if c.Reset(context.Background()) {
			in.pool.Put(c)
			return
		}
		in.pool.Discard(c)
	}()
}
