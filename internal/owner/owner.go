// Package owner runs requests on the instances that this host owns: it gives
// out their slots, lends their connections, keeps transactions on one
// connection, and confirms each write before it is acknowledged.
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

// Authority says what this host may do. It is asked before a request runs and
// again after the upstream answered.
type Authority interface {
	// MayAcknowledge returns nil while this host holds a valid lease on
	// instance as the primary of group whose log is in term.
	MayAcknowledge(group table.GroupName, instance table.InstanceID, term table.Term) error
	// Term returns the agreed term of the group and whether instance is its
	// promoted primary.
	Term(group table.GroupName, instance table.InstanceID) (term table.Term, primary bool)
	// LogTerm returns the term of the log of the group's primary, and whether
	// instance is that primary.
	LogTerm(group table.GroupName, instance table.InstanceID) (term table.Term, primary bool)
	// Fate tells what became of a write of an older term.
	Fate(group table.GroupName, m table.Mark) Fate
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Fate is what became of a write that an old primary committed.
type Fate uint8

// The fates.
const (
	// FatePending means that no later term has a primary yet.
	FatePending Fate = iota
	// FateKept means that the history of the group has the write.
	FateKept
	// FateLost means that the history went on without the write.
	FateLost
)

// Peers reaches the replicas of a group at their owners.
type Peers interface {
	// PrimaryPosition samples the position of the primary of the group.
	PrimaryPosition(ctx context.Context, group table.GroupName) (request.PositionSample, error)
	// AwaitAnyReplica returns once one replica of the group holds m.
	AwaitAnyReplica(ctx context.Context, group table.GroupName, m table.Mark) error
}

// Config describes an Owner.
type Config struct {
	Authority Authority
	Peers     Peers
	Prober    dbedge.Prober
	// Fencer is nil where nothing closes what earlier owners left open.
	Fencer dbedge.Fencer
	// Holder is nil where replicas cannot be held.
	Holder dbedge.Holder
	// UpstreamFloors is set where an instance itself refuses a read that its
	// log is too short for. No age of replicas is then tracked here.
	UpstreamFloors bool
	// SendAhead is set where instances answer at once that they are busy: a
	// statement may then be on its way to one before a slot is free there.
	SendAhead bool
	// Declare returns what the documents in force say about a group.
	Declare func(group table.GroupName) Declaration
	// Stamp returns the latest stamp of the control leader.
	Stamp func() failover.Stamp
	// Changed is called when the reachability of an instance changed.
	Changed func()
	Log     logrus.FieldLogger
	// Dial returns how connections to an instance are opened under an epoch.
	Dial func(t dbedge.Target, epoch table.Epoch) (pool.Dialer, error)
	// Timing holds the intervals and time-outs.
	Timing Timing
}

// Timing holds the intervals and time-outs of an Owner.
type Timing struct {
	// Probe is the interval between probes of an instance, ProbeTimeout bounds
	// one.
	Probe        time.Duration
	ProbeTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Idle is after how long a spare connection is closed.
	Idle time.Duration
	// HandOver is how long transactions may hold a hand-over up; those that rest
	// after it are rolled back, for the instance takes no new work.
	HandOver time.Duration
	// ReplicaPoll is the interval between looks at a replica that a write
	// waits for.
	ReplicaPoll time.Duration
}

// DialSQL is the Dial of a Config for instances that speak the PostgreSQL
// protocol.
func DialSQL(login upstream.Login, timeout time.Duration) func(dbedge.Target, table.Epoch) (pool.Dialer, error) {
	return func(t dbedge.Target, epoch table.Epoch) (pool.Dialer, error) {
		return pool.DialSQL(t.Address, login, epoch, timeout)
	}
}

// DefaultTiming suits failure domains a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Probe:        100 * time.Millisecond,
		ProbeTimeout: 250 * time.Millisecond,
		DialTimeout:         time.Second,
		Idle:         time.Minute,
		HandOver:     time.Second,
		ReplicaPoll:  5 * time.Millisecond,
	}
}

// Owner is the Executor for the instances that this host owns.
type Owner struct {
	cfg Config

	mu        sync.RWMutex
	instances map[table.InstanceID]*instance
	released  map[table.InstanceID]table.Epoch // handed over under that epoch
}

// New returns an Owner of no instances.
func New(cfg Config) *Owner {
	return &Owner{
		cfg:       cfg,
		instances: map[table.InstanceID]*instance{},
		released:  map[table.InstanceID]table.Epoch{},
	}
}

// Acquire begins to serve an instance under an ownership epoch. A second call
// with the same epoch updates slots and connections.
func (o *Owner) Acquire(ctx context.Context, desc table.Instance, epoch table.Epoch) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if in, ok := o.instances[desc.ID]; ok {
		if in.epoch == epoch && in.address == desc.Address {
			return in.resize(desc)
		}
		in.shut()
		delete(o.instances, desc.ID)
	}
	in, err := newInstance(ctx, o.cfg, desc, epoch)
	if err != nil {
		return err
	}
	o.instances[desc.ID] = in
	return nil
}

// Release stops serving an instance. It returns at once; transactions go on
// to their end.
func (o *Owner) Release(id table.InstanceID) {
	o.mu.Lock()
	in := o.instances[id]
	delete(o.instances, id)
	o.mu.Unlock()
	if in != nil {
		in.shut()
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
