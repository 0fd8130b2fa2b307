package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal"
	"github.com/sirupsen/logrus"
)

// Defaults of ServerConfig.
const (
	DefaultTickInterval   = 10 * time.Millisecond
	DefaultHeartbeatTicks = 5
	DefaultElectionTicks  = 30
	DefaultSnapshotEvery  = 1000
	DefaultKeepEntries    = 1000
	DefaultTolerance      = 1
)

const (
	maxAppendBytes        = 1 << 20
	maxInflightEntries    = 1024
	inboxCapacity         = 4096
	proposalQueueCapacity = 1024
	// maxDriftPercent is the largest difference in speed between the clocks of
	// two hosts for which leases are safe.
	maxDriftPercent = 5
	// tickDelayAllowance is the number of ticks by which the lease is shortened
	// further, because ticks may be counted late.
	tickDelayAllowance = 2
)

// Transport sends messages to other control hosts.
type Transport interface {
	// Send queues msg for sending on a best-effort basis. It must not block.
	// The caller does not change msg afterwards.
	Send(to table.HostID, msg []byte)
}

// ServerConfig configures a Server. Host, DataFolder or FS, Voters and Transport
// must be set. For all other fields the zero value selects the default.
type ServerConfig struct {
	Host table.HostID
	// DataFolder is the path of the folder that holds the log and snapshots.
	DataFolder string
	// FS, if set, is used instead of the folder at DataFolder.
	FS wal.FS
	// Voters lists the control hosts that found the deployment. Unless Open is
	// set, it must include Host.
	Voters []table.HostID
	// Open lets hosts join that are not in Voters.
	Open bool
	// AllowFounding lets this host found a deployment together with the other
	// Voters. It is implied unless Open is set. A host without a log that may
	// not found a deployment waits until it can join one.
	AllowFounding bool
	// Tolerance is the number of hosts that may lose their disks at the same time.
	// An open membership keeps 2*Tolerance+1 voters if it has as many members.
	Tolerance int
	// Contacts, if set, returns further hosts that may be members now, for example
	// from settings that changed. A host that is no member asks these too.
	Contacts  func() []table.HostID
	Transport Transport
	Log       logrus.FieldLogger

	TickInterval   time.Duration
	HeartbeatTicks int
	ElectionTicks  int
	// SnapshotEvery is the number of entries applied between two snapshots.
	SnapshotEvery uint64
	// KeepEntries is the number of entries before a snapshot that stay in memory
	// for lagging hosts.
	KeepEntries uint64
	// SnapshotBytes is the size of the log files at which a snapshot is taken, if
	// it lets them be removed. The default follows from DiskBytes.
	SnapshotBytes int
	// SegmentBytes is the size at which a new segment file of the log begins. The
	// default follows from DiskBytes.
	SegmentBytes int
	// DiskBytes is the size of the disk that holds the data folder and nothing
	// else. Zero means that it is large. All voters should have disks of one size,
	// because a leader refuses only what its own disk has no room for.
	DiskBytes int
	// Now reads the local monotonic clock.
	Now func() time.Duration
	// Random returns random incarnations, stamps and seeds.
	Random func() uint64

	// uncommittedBytes and inflightBytes are limits of consensus.Config.
	uncommittedBytes, inflightBytes int
}

func (c ServerConfig) withDefaults() ServerConfig {
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	c.applyDisk()
	setDefault(&c.Tolerance, DefaultTolerance)
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.Random == nil {
		c.Random = randomNumber
	}
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.LittleEndian.Uint64(b[:])
}

func (c *ServerConfig) validate() error {
	switch {
	case c.Host == "":
		return errors.New("control: Host must be set")
	case !c.Open && !slices.Contains(c.Voters, c.Host):
		return fmt.Errorf("control: Voters must contain the host %q", c.Host)
	case len(c.Voters) > consensus.MaxMembers:
		return fmt.Errorf("control: Voters must list at most %d hosts", consensus.MaxMembers)
	case c.Transport == nil:
		return errors.New("control: Transport must be set")
	case c.FS == nil && c.DataFolder == "":
		return errors.New("control: DataFolder must be set")
	case c.TickInterval < 0 || c.HeartbeatTicks < 0 || c.ElectionTicks < 0:
		return errors.New("control: TickInterval, HeartbeatTicks and ElectionTicks must not be negative")
	case c.DiskBytes < 0 || c.SnapshotBytes < 0 || c.SegmentBytes < 0:
		return errors.New("control: DiskBytes, SnapshotBytes and SegmentBytes must not be negative")
	}
	return nil
}

// leaseTicks returns the duration of the leader lease. It is shorter than the
// election timeout of any follower whose clock drifts by at most
// maxDriftPercent.
func (c *ServerConfig) leaseTicks() int {
	return c.ElectionTicks*(100-maxDriftPercent)/100 - tickDelayAllowance
}

// mayFound reports whether this host takes part in founding a deployment.
func (c *ServerConfig) mayFound() bool {
	return slices.Contains(c.Voters, c.Host) && (c.AllowFounding || !c.Open)
}

// isPossibleMember reports whether the settings allow host to be a member.
func (c *ServerConfig) isPossibleMember(host table.HostID) bool {
	return c.Open && host != "" || slices.Contains(c.Voters, host)
}

// Server runs one control host. It takes part in the consensus and keeps the
// replicated state in memory. All methods but Run are safe for concurrent use.
type Server struct {
	cfg       ServerConfig
	fs        wal.FS
	log       logrus.FieldLogger
	replica   *replica // used only by the goroutine of Run
	inbox     chan inbound
	proposals chan proposal
	leaves    chan *leave
	stopped   chan struct{}
	status    atomic.Pointer[status]
	// queuedBytes is the size of the proposals without an answer.
	queuedBytes atomic.Int64
	// tickOrigin is the local time of tick 0.
	tickOrigin time.Duration
}

// proposal is a command, or a request to remove a member if remove is set.
type proposal struct {
	data   []byte
	remove table.HostID
	// limited is set for a command that is refused where it leaves too little room
	// for others.
	limited bool
	done    func(Result, error)
}

// status is what the methods for readers return. It is immutable: a change
// replaces the whole value.
type status struct {
	view       *View
	leader     table.HostID
	isLeader   bool
	leaseUntil time.Duration
	caughtUp   bool
	suspended  bool
	term       uint64
	members    consensus.Members
	usage      wal.Usage
	changed    chan struct{}
}

// NewServer opens the data folder and restores the state. It returns a
// *wal.CorruptError for damaged files, and wal.ErrInUse if another process uses
// the folder. Run closes the folder when it returns.
func NewServer(cfg ServerConfig) (*Server, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	cfg.Voters = slices.Compact(slices.Sorted(slices.Values(cfg.Voters)))
	fs, err := openFolder(cfg)
	if err != nil {
		return nil, err
	}
	r, err := openReplica(cfg, fs, wal.Options{})
	if err != nil {
		return nil, errors.Join(err, closeFolder(fs))
	}
	r.logBudget()
	s := &Server{
		cfg:        cfg,
		fs:         fs,
		log:        r.log,
		replica:    r,
		inbox:      make(chan inbound, inboxCapacity),
		proposals:  make(chan proposal, proposalQueueCapacity),
		leaves:     make(chan *leave, 1),
		stopped:    make(chan struct{}),
		tickOrigin: cfg.Now(),
	}
	s.status.Store(&status{view: r.state.View(), members: r.node.Members(), usage: r.wal.Usage(), changed: make(chan struct{})})
	return s, nil
}

func openFolder(cfg ServerConfig) (wal.FS, error) {
	if cfg.FS != nil {
		return cfg.FS, nil
	}
	return wal.OpenFolder(cfg.DataFolder)
}

func closeFolder(fs wal.FS) error {
	if closer, ok := fs.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// Run takes part in the consensus until ctx is done, and then returns nil. While
// the disk refuses writes, it takes no part and tries again. It returns an error
// if the log is damaged. It must be called exactly once.
func (s *Server) Run(ctx context.Context) error {
	defer s.stop()
	for {
		err := s.serve(ctx)
		if isStorageError(err) {
			s.suspend(err)
			err = s.resume(ctx)
		}
		if err != nil {
			s.log.WithError(err).Error("the control host stops after an error")
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// serve processes ticks, messages and proposals until ctx is done or an error
// occurs.
func (s *Server) serve(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.TickInterval)
	defer ticker.Stop()
	for {
		var first func() error
		select {
		case <-ctx.Done():
			return s.handOver()
		case <-ticker.C:
		case in := <-s.inbox:
			first = func() error { return s.handleInbound(in) }
		case p := <-s.proposals:
			first = func() error { s.replica.propose(p); return nil }
		case l := <-s.leaves:
			first = func() error { s.replica.startLeave(l); return nil }
		}
		if err := s.processBatch(first); err != nil {
			return err
		}
	}
}

// processBatch counts the ticks that have passed, passes all queued messages and
// proposals to the replica, and writes the results to the log together. first, if
// not nil, processes the item that Run has taken from a queue.
func (s *Server) processBatch(first func() error) error {
	if err := s.countTicks(); err != nil {
		return err
	}
	if first != nil {
		if err := first(); err != nil {
			return err
		}
	}
	if err := s.drainQueues(); err != nil {
		return err
	}
	if s.replica.handOverToLeave() {
		s.publishStatus() // readers must see the end of the lease before the successor campaigns
	}
	if err := s.replica.flush(); err != nil {
		return err
	}
	s.publishStatus()
	s.replica.deliverAnswers()
	return nil
}

// countTicks processes the ticks that are due, but at most stampTimeouts election
// timeouts of them. If more are due, as after a pause of the process, it skips the
// excess by moving tickOrigin.
func (s *Server) countTicks() error {
	due := uint64((s.cfg.Now() - s.tickOrigin) / s.cfg.TickInterval)
	limit := uint64(stampTimeouts * s.cfg.ElectionTicks)
	if now := s.replica.node.Now(); due > now+limit {
		s.tickOrigin += time.Duration(due-now-limit) * s.cfg.TickInterval
		due = now + limit
	}
	for s.replica.node.Now() < due {
		if err := s.replica.tick(); err != nil {
			return err
		}
	}
	return nil
}

// handleInbound counts the due ticks before it processes a message. Otherwise a
// follower whose clock had not advanced while the message was queued would
// record the contact at too early a tick, and could vote for another candidate
// before the lease expires.
func (s *Server) handleInbound(in inbound) error {
	if err := s.countTicks(); err != nil {
		return err
	}
	return s.replica.receive(in)
}

// drainQueues processes queued messages and proposals until there are none, at
// most inboxCapacity of them.
func (s *Server) drainQueues() error {
	for range inboxCapacity {
		select {
		case in := <-s.inbox:
			if err := s.handleInbound(in); err != nil {
				return err
			}
		case p := <-s.proposals:
			s.replica.propose(p)
		default:
			return nil
		}
	}
	return nil
}

// handOver gives up the leadership. Readers must see the end of the lease before
// another host is asked to campaign.
func (s *Server) handOver() error {
	s.replica.node.Handover()
	s.publishStatus()
	return s.replica.flush()
}

// publishStatus replaces the status that readers see. It closes the channel that
// Changed returned if one of the values named there has changed.
func (s *Server) publishStatus() {
	old := s.status.Load()
	r := s.replica
	next := &status{
		view: old.view, changed: old.changed, members: r.node.Members(),
		leader: r.node.Leader().Host, isLeader: r.node.Role() == consensus.RoleLeader,
		caughtUp: r.node.CaughtUp(), term: r.node.Term(), usage: r.wal.Usage(),
	}
	if until, ok := r.node.Lease(); ok {
		next.leaseUntil = s.tickOrigin + time.Duration(until)*s.cfg.TickInterval
	}
	// After the log was opened again, the state may at first be older than the
	// view that readers have.
	if r.state.Revision() > old.view.Revision {
		next.view = r.state.View()
	}
	changed := next.suspended != old.suspended || next.view != old.view || next.leader != old.leader || next.caughtUp != old.caughtUp ||
		(next.leaseUntil > 0) != (old.leaseUntil > 0)
	if changed {
		next.changed = make(chan struct{})
	}
	s.status.Store(next)
	if changed {
		close(old.changed)
	}
}

// stop answers pending proposals, clears the leader in the status and closes the
// log.
func (s *Server) stop() {
	close(s.stopped)
	s.replica.failPending()
	s.replica.deliverAnswers()
	err := s.closeStorage()
	s.publishInactive(false)
	if err != nil {
		s.log.WithError(err).Warn("cannot close the log")
	}
}

// closeStorage closes the log, unless suspend has closed it, and the data folder.
func (s *Server) closeStorage() error {
	if s.Suspended() {
		return closeFolder(s.fs)
	}
	return s.replica.wal.Close()
}

// publishInactive replaces the status by one without a leader.
func (s *Server) publishInactive(suspended bool) {
	old := s.status.Load()
	next := *old
	next.isLeader, next.leaseUntil, next.leader, next.suspended = false, 0, "", suspended
	next.changed = make(chan struct{})
	s.status.Store(&next)
	close(old.changed)
}

// Receive queues a message that the Transport of another control host sent. It
// returns an error if msg is malformed. It drops the message if the inbox is
// full.
func (s *Server) Receive(msg []byte) error {
	return s.ReceiveFrom(func(table.HostID) error { return nil }, msg)
}

// ReceiveFrom is like Receive, but first calls check with the host that the
// message names as its sender. It returns the error of check, if any, and then
// does not queue the message.
func (s *Server) ReceiveFrom(check func(table.HostID) error, msg []byte) error {
	in, err := decodeFrame(bytes.Clone(msg))
	if err != nil {
		return err
	}
	if err := check(in.sender()); err != nil {
		return err
	}
	select {
	case s.inbox <- in:
	default:
		s.log.Warn("dropped a message from a control host: the inbox is full")
	}
	return nil
}

// Propose appends a command to the replicated log. It returns the result once
// the command is durable on a quorum and applied on this host. Result.Err is not
// nil if the command was refused. The error of Propose is of kind NotLeader (the
// command was not run), NoQuorum (the outcome is unknown, unless the effect of
// the error is NotRun), TooLarge (also if the disk has no room for it),
// ShuttingDown or BadRequest.
func (s *Server) Propose(ctx context.Context, c Command) (Result, error) {
	data, err := c.encode()
	if err != nil {
		return Result{}, errkind.Wrap(err, errkind.BadRequest, "the command cannot be encoded")
	}
	if len(data) > consensus.MaxProposalBytes {
		return Result{}, errkind.New(errkind.TooLarge, "%d bytes, at most %d", len(data), consensus.MaxProposalBytes)
	}
	return s.submit(ctx, proposal{data: data, limited: c.isConfiguration()})
}

// RemoveMember removes a host from the membership and returns once the removal
// is durable on a quorum of the remaining voters. It retries while an earlier
// membership change is not committed. It returns nil if the host is not a
// member. The errors are those of Propose; the leader cannot remove itself.
func (s *Server) RemoveMember(ctx context.Context, host table.HostID) error {
	for {
		_, err := s.submit(ctx, proposal{remove: host})
		if !errkind.Is(err, errkind.NoQuorum) || errkind.Of(err).Effect != errkind.NotRun {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(s.cfg.TickInterval):
		}
	}
}

// submit queues p and waits for its answer until ctx is done or the server
// stops.
func (s *Server) submit(ctx context.Context, p proposal) (Result, error) {
	type answer struct {
		result Result
		err    error
	}
	size := int64(len(p.data))
	if s.queuedBytes.Add(size) > queuedProposalBytes && p.limited {
		s.queuedBytes.Add(-size)
		return Result{}, errkind.New(errkind.NoQuorum, "too many commands wait").WithEffect(errkind.NotRun)
	}
	answers := make(chan answer, 1)
	p.done = func(r Result, err error) {
		s.queuedBytes.Add(-size)
		answers <- answer{r, err}
	}
	select {
	case s.proposals <- p:
	case <-ctx.Done():
		s.queuedBytes.Add(-size)
		return Result{}, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "too many commands wait").WithEffect(errkind.NotRun)
	case <-s.stopped:
		return Result{}, errkind.New(errkind.ShuttingDown, "")
	}
	select {
	case a := <-answers:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, errkind.Wrap(ctx.Err(), errkind.NoQuorum, "no answer in time")
	case <-s.stopped:
		return Result{}, errkind.New(errkind.ShuttingDown, "").WithEffect(errkind.Unknown)
	}
}

// Leader returns the leader that this host knows of, whether that is this host,
// and whether this host holds a valid lease now.
func (s *Server) Leader() (host table.HostID, isSelf, leaseValid bool) {
	st := s.status.Load()
	return st.leader, st.isLeader, st.isLeader && s.cfg.Now() < st.leaseUntil
}

// Term returns the current term of the replicated log. A term has at most one
// leader, and a later leader has a higher term.
func (s *Server) Term() uint64 { return s.status.Load().term }

// CaughtUp reports whether this host has applied, since its start, an entry of
// the current leader and every entry that it may have applied before its start.
// Until then its state may be older than the state that it returned before a
// restart.
func (s *Server) CaughtUp() bool { return s.status.Load().caughtUp }

// Suspended reports whether this host takes no part in the consensus because its
// disk refuses writes.
func (s *Server) Suspended() bool { return s.status.Load().suspended }

// DiskUsage returns the size of the files of the log.
func (s *Server) DiskUsage() wal.Usage { return s.status.Load().usage }

// Members returns the membership of the control hosts.
func (s *Server) Members() consensus.Members { return s.status.Load().members }

// Revision returns the revision of the current View.
func (s *Server) Revision() uint64 { return s.View().Revision }

// View returns an immutable snapshot of the current state.
func (s *Server) View() *View { return s.status.Load().view }

// Changed returns a channel that is closed at the next change of the view, the
// leader, CaughtUp, Suspended, or whether this host holds a lease. To miss no change, call
// Changed before reading these values.
func (s *Server) Changed() <-chan struct{} { return s.status.Load().changed }
