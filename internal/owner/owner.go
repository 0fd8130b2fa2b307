// Package owner runs requests on the upstream instances that this host owns. It
// admits requests to the slots of an instance, runs them on pooled connections,
// keeps each transaction on one connection, and confirms each write before it
// is acknowledged.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

// Authority reports what this host is allowed to do. It is consulted before a
// request runs and again after the upstream has answered.
type Authority interface {
	// MayAcknowledge returns nil while this host holds a valid lease, owns
	// instance, and instance is the primary of group with its log in term.
	MayAcknowledge(group table.GroupName, instance table.InstanceID, term table.Term) error
	// Term returns the committed term of the group, and whether instance is the
	// promoted primary in that term.
	Term(group table.GroupName, instance table.InstanceID) (term table.Term, primary bool)
	// LogTerm returns the term in which the promoted primary writes its log, and
	// whether instance is that primary. It differs from Term where the platform
	// assigns the terms of logs itself.
	LogTerm(group table.GroupName, instance table.InstanceID) (term table.Term, primary bool)
	// WriteOutcome returns whether a write at m, in an older term, was kept or
	// lost.
	WriteOutcome(group table.GroupName, m table.Mark) WriteOutcome
	// Changed returns a channel that is closed at the next change of a group's
	// state or routing view.
	Changed() <-chan struct{}
}

// WriteOutcome tells whether a write that an old primary committed was kept.
type WriteOutcome uint8

// The outcomes of a write.
const (
	// OutcomePending means that no later term has a primary yet, or that the
	// recorded history of the group does not go back far enough to decide.
	OutcomePending WriteOutcome = iota
	// OutcomeKept means that the history of the group contains the write.
	OutcomeKept
	// OutcomeLost means that the history of the group continued without the
	// write.
	OutcomeLost
)

// Peers gives access to the other instances of a group through their owners.
type Peers interface {
	// PrimaryPosition samples the position of the primary of the group.
	PrimaryPosition(ctx context.Context, group table.GroupName) (request.PositionSample, error)
	// AwaitAnyReplica returns once any replica of the group holds m.
	AwaitAnyReplica(ctx context.Context, group table.GroupName, m table.Mark) error
}

// Config configures an Owner.
type Config struct {
	Authority Authority
	Peers     Peers
	Prober    dbedge.Prober
	// Fencer closes the connections that earlier owners left open. It is nil
	// where nothing can close them.
	Fencer dbedge.Fencer
	// Holder stops and resumes replication at replicas. It is nil where this is
	// not supported.
	Holder dbedge.ReplicationHolder
	// UpstreamFloors is set where an instance itself refuses a read whose floor
	// it does not hold. The age of replicas is then not tracked here.
	UpstreamFloors bool
	// OvercommitSlots is set where instances answer immediately when they are
	// busy. A statement may then be sent to an instance before one of its slots
	// is free.
	OvercommitSlots bool
	// LearnCapacity is set where fewer statements than an instance announced
	// slots for are sent to it while that is enough to use it fully.
	LearnCapacity bool
	// AdmissionConfig returns the admission settings of a group in the
	// documents in force.
	AdmissionConfig func(group table.GroupName) AdmissionConfig
	// Stamp returns the latest stamp of the control leader.
	Stamp func() failover.Stamp
	// OnChange is called when the reachability of an instance changes and when
	// a hand-over is complete.
	OnChange func()
	Log      logrus.FieldLogger
	// Dial returns a dialer that opens connections to an instance under an
	// ownership epoch.
	Dial func(t dbedge.Target, epoch table.Epoch) (pool.Dialer, error)
	// HasKeys reports whether a workspace holds a key. Requests of one that holds
	// none are not started. Nil means that callers need no key.
	HasKeys func(workspace string) bool
	// PerWorkspace reports whether requests name workspaces; see pool.Config.
	PerWorkspace func() bool
	// Timing holds the intervals and timeouts.
	Timing Timing
}

// Timing holds the intervals and timeouts of an Owner.
type Timing struct {
	// ProbeInterval is the interval between probes of an instance.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// HandOverTimeout is how long open transactions may delay a hand-over. The
	// instance takes no new work in that time, so idle transactions are rolled
	// back afterwards.
	HandOverTimeout time.Duration
	// ReplicaPollInterval is the interval between checks of a replica that a
	// request waits for.
	ReplicaPollInterval time.Duration
}

// DialSQL returns the Dial function of a Config for instances that speak the
// PostgreSQL protocol.
func DialSQL(login upstream.Login, timeout time.Duration) func(dbedge.Target, table.Epoch) (pool.Dialer, error) {
	return func(t dbedge.Target, epoch table.Epoch) (pool.Dialer, error) {
		return pool.DialSQL(t.Address, login, epoch, timeout)
	}
}

// DefaultTiming returns a Timing for failure domains that are a few
// milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:       100 * time.Millisecond,
		ProbeTimeout:        250 * time.Millisecond,
		DialTimeout:         time.Second,
		IdleTimeout:         time.Minute,
		HandOverTimeout:     time.Second,
		ReplicaPollInterval: 5 * time.Millisecond,
	}
}

// Owner implements request.Executor for the instances that this host owns.
type Owner struct {
	cfg Config

	mu        sync.RWMutex
	instances map[table.InstanceID]*instance
	released  map[table.InstanceID]table.Epoch // the epoch under which each instance was handed over
}

// New returns an Owner that owns no instances.
func New(cfg Config) *Owner {
	return &Owner{
		cfg:       cfg,
		instances: map[table.InstanceID]*instance{},
		released:  map[table.InstanceID]table.Epoch{},
	}
}

// Acquire starts serving an instance under an ownership epoch. A repeated call
// with the same epoch and address updates the slots and the admission settings.
func (o *Owner) Acquire(ctx context.Context, desc table.Instance, epoch table.Epoch) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if in, ok := o.instances[desc.ID]; ok {
		if in.epoch == epoch && in.address == desc.Address {
			return in.resize(desc)
		}
		in.shutdown()
		delete(o.instances, desc.ID)
	}
	in, err := newInstance(ctx, o.cfg, desc, epoch)
	if err != nil {
		return err
	}
	o.instances[desc.ID] = in
	return nil
}

// Release stops serving an instance. It does not block; open transactions
// continue until they end.
func (o *Owner) Release(id table.InstanceID) {
	o.mu.Lock()
	in := o.instances[id]
	delete(o.instances, id)
	o.mu.Unlock()
	if in != nil {
		in.shutdown()
	}
}

// Owned returns the owned instances and their epochs.
func (o *Owner) Owned() map[table.InstanceID]table.Epoch {
	o.mu.RLock()
	defer o.mu.RUnlock()
	owned := make(map[table.InstanceID]table.Epoch, len(o.instances))
	for id, in := range o.instances {
		owned[id] = in.epoch
	}
	return owned
}

// instance returns an owned instance, or an errkind.NoOwner error.
func (o *Owner) instance(id table.InstanceID) (*instance, error) {
	o.mu.RLock()
	in := o.instances[id]
	o.mu.RUnlock()
	if in == nil {
		return nil, errkind.New(errkind.NoOwner, "instance %s is not owned here", id)
	}
	return in, nil
}

// Execute implements request.Executor.
func (o *Owner) Execute(ctx context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	in, err := o.instance(r.Instance)
	if err != nil {
		return request.Result{TxStatus: request.TxIdle}, err
	}
	return in.execute(ctx, r, s)
}

// Position implements request.Executor.
func (o *Owner) Position(ctx context.Context, id table.InstanceID) (request.PositionSample, error) {
	in, err := o.instance(id)
	if err != nil {
		return request.PositionSample{}, err
	}
	return in.position(ctx)
}

// AwaitReplica implements request.Executor.
func (o *Owner) AwaitReplica(ctx context.Context, id table.InstanceID, m table.Mark) error {
	in, err := o.instance(id)
	if err != nil {
		return err
	}
	return in.awaitMark(ctx, m)
}

// EndSession implements request.Executor.
func (o *Owner) EndSession(s request.SessionID) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, in := range o.instances {
		in.endSession(s)
	}
}
