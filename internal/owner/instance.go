package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/platform"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// reservedConnections of an instance are left for probes and for the fence of
// a later owner.
const reservedConnections = 2

// Report is what the owner of an instance knows from its probes.
type Report struct {
	Instance  table.InstanceID
	Epoch     table.Epoch
	Reachable bool
	// Since is for how long it has been reachable or not.
	Since     time.Duration
	Role      table.Role
	Mark      table.Mark
	TermStart table.Position
}

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

	mu      sync.Mutex
	held    map[request.SessionID]*transaction
	active  int
	changed time.Time // when reachable last changed
	reached bool
	status  platform.Status
	age     ageProof
}

// transaction is a connection that belongs to one session until the end of
// its transaction.
type transaction struct {
	conn   *pool.Conn
	wrote  bool
	inUse  bool
	doomed bool // the session ended while a statement ran
}

func newInstance(ctx context.Context, cfg Config, desc table.Instance, epoch table.Epoch) (*instance, error) {
	slots, err := newSlots(desc.Slots)
	if err != nil {
		return nil, err
	}
	p, err := pool.New(pool.Config{
		Address:     desc.Address,
		User:        cfg.User,
		Password:    cfg.Password,
		Database:    cfg.Database,
		Epoch:       epoch,
		Max:         max(1, desc.Connections-reservedConnections),
		Warm:        min(desc.Slots, max(1, desc.Connections-reservedConnections)),
		IdleTimeout: cfg.Timing.Idle,
		DialTimeout: cfg.Timing.Dial,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	in := &instance{
		cfg:     cfg,
		id:      desc.ID,
		group:   desc.Group,
		address: desc.Address,
		epoch:   epoch,
		pool:    p,
		slots:   slots,
		stop:    stop,
		log:     cfg.Log.WithFields(logrus.Fields{"instance": desc.ID, "group": desc.Group, "epoch": epoch}),
		held:    map[request.SessionID]*transaction{},
		changed: time.Now(),
	}
	in.probe = newSampler(func(ctx context.Context) (platform.Status, error) {
		ctx, stop := context.WithTimeout(ctx, cfg.Timing.ProbeTimeout)
		defer stop()
		return cfg.Prober.Probe(ctx, desc.Address)
	})
	go in.watch(ctx)
	return in, nil
}

// resize takes a new number of slots.
func (in *instance) resize(desc table.Instance) error {
	return in.slots.resize(desc.Slots)
}

// shut ends probes and idle connections; transactions go on to their end.
func (in *instance) shut() {
	in.stop()
	in.pool.Close()
}

// watch probes the instance and keeps its pool warm until ctx ends.
func (in *instance) watch(ctx context.Context) {
	tick := time.NewTicker(in.cfg.Timing.Probe)
	defer tick.Stop()
	for {
		asked := time.Now()
		st, err := in.probe.sample(ctx)
		if ctx.Err() != nil {
			return
		}
		in.observe(asked, st, err)
		if err == nil {
			in.pool.Maintain(ctx, time.Now())
		}
		in.refreshAge(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// observe notes the outcome of a probe that was sent at asked.
func (in *instance) observe(asked time.Time, st platform.Status, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	if reached := err == nil; reached != in.reached {
		in.reached = reached
		in.changed = now
		in.log.WithField("reachable", reached).WithError(err).Info("probe")
	}
	if err != nil {
		return
	}
	in.status = st
	in.age.observeReplica(asked, st)
}

func (in *instance) report(now time.Time) Report {
	in.mu.Lock()
	defer in.mu.Unlock()
	return Report{
		Instance:  in.id,
		Epoch:     in.epoch,
		Reachable: in.reached,
		Since:     now.Sub(in.changed),
		Role:      in.status.Role,
		Mark:      in.status.Mark,
		TermStart: in.status.TermStart,
	}
}

func (in *instance) running() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.active + len(in.held)
}

// position samples the mark of a primary under a valid lease.
func (in *instance) position(ctx context.Context) (request.PositionSample, error) {
	st, err := in.probe.sample(ctx)
	if err != nil {
		return request.PositionSample{}, errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	if err := in.cfg.Authority.MayAcknowledge(in.group, in.id, st.Mark.Term); err != nil {
		return request.PositionSample{}, errkind.Wrap(err, errkind.NoPrimary, "%v", err)
	}
	return request.PositionSample{Mark: st.Mark, TermStart: st.TermStart}, nil
}

// awaitMark returns once the replica holds m durably, in the term of m.
func (in *instance) awaitMark(ctx context.Context, m table.Mark) error {
	for {
		asked := time.Now()
		st, err := in.probe.sample(ctx)
		if err == nil {
			in.observe(asked, st, nil)
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
	if tx != nil {
		in.pool.Discard(tx.conn)
	}
}
