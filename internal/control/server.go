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

// The defaults of a ServerConfig.
const (
	DefaultTickInterval   = 10 * time.Millisecond
	DefaultHeartbeatTicks = 5
	DefaultElectionTicks  = 30
	DefaultSnapshotEvery  = 1000
	DefaultKeepEntries    = 1000
)

const (
	maxAppendBytes     = 1 << 20
	maxInflightEntries = 1024
	inboxMessages      = 4096
	proposalQueue      = 1024
	// driftPercent is by how much the clocks of two hosts may run apart.
	driftPercent = 5
	// delayTicks allows for ticks that are counted late.
	delayTicks = 2
)

// Transport carries messages to other control hosts.
type Transport interface {
	// Send hands msg over for sending: best effort, it never blocks. The
	// message is not changed afterwards.
	Send(to table.HostID, msg []byte)
}

// ServerConfig is what a Server is made from. Zero values stand for the
// defaults; Host, DataFolder or FS, Voters and Transport must be set.
type ServerConfig struct {
	Host table.HostID
	// DataFolder holds the files that must survive a restart.
	DataFolder string
	// FS replaces the folder at DataFolder.
	FS wal.FS
	// Voters lists the control hosts, this one among them.
	Voters []table.HostID
	// Open lets hosts that Voters does not list join.
	Open bool
	// AllowFounding lets this host found a deployment with Voters; it is implied unless
	// Open. Where it is false, a blank host only joins one.
	AllowFounding     bool
	Transport Transport
	Log       logrus.FieldLogger

	TickInterval   time.Duration
	HeartbeatTicks int
	ElectionTicks  int
	// SnapshotEvery is how many entries are applied between two snapshots.
	SnapshotEvery uint64
	// KeepEntries is how many entries before a snapshot stay in memory for
	// hosts that lag.
	KeepEntries uint64
	// SegmentBytes is the size of a file of the log.
	SegmentBytes int
	// Now is the local monotonic clock.
	Now func() time.Duration
	// Random is the source of incarnations and seeds.
	Random func() uint64
}

func (c ServerConfig) withDefaults() ServerConfig {
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
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
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

func (c *ServerConfig) validate() error {
	switch {
	case c.Host == "":
		return errors.New("control: Host must be set")
	case !c.Open && !slices.Contains(c.Voters, c.Host):
		return fmt.Errorf("control: Voters must contain the host %q", c.Host)
	case len(c.Voters) > consensus.MaxMembers:
		return fmt.Errorf("control: at most %d voters", consensus.MaxMembers)
	case c.Transport == nil:
		return errors.New("control: Transport must be set")
	case c.FS == nil && c.DataFolder == "":
		return errors.New("control: DataFolder must be set")
	case c.TickInterval < 0 || c.HeartbeatTicks < 0 || c.ElectionTicks < 0:
		return errors.New("control: intervals must be positive")
	}
	return nil
}

// leaseTicks is how long the leader trusts a confirmed heartbeat: less than
// any follower waits, whatever the drift of the clocks within bounds.
func (c *ServerConfig) leaseTicks() int {
	return c.ElectionTicks*(100-driftPercent)/100 - delayTicks
}

// mayFound reports whether this host takes part in founding a deployment.
func (c *ServerConfig) mayFound() bool {
	return slices.Contains(c.Voters, c.Host) && (c.AllowFounding || !c.Open)
}

// knows reports whether a host may be a member.
func (c *ServerConfig) knows(host table.HostID) bool {
	return c.Open && host != "" || slices.Contains(c.Voters, host)
}

// Server runs one control host: it takes part in the agreement and keeps the
// state in memory. All methods but Run are safe for concurrent use.
type Server struct {
	cfg       ServerConfig
	replica   *replica
	inbox     chan inbound
	proposals chan proposal
	stopped   chan struct{}
	status    atomic.Pointer[status]
	// origin is the local moment of tick 0.
	origin time.Duration
}

// proposal is a command, or the wish to remove a member.
type proposal struct {
	data   []byte
	remove table.HostID
	done   func(Result, error)
}

// status is what readers see; it is replaced as a whole.
type status struct {
	view       *View
	leader     table.HostID
	isSelf     bool
	leaseUntil time.Duration
	caughtUp   bool
	term       uint64
	members    consensus.Members
	changed    chan struct{}
}

// NewServer opens the data folder and restores the state. Damaged files give
// a *wal.CorruptError, a folder that another process works on wal.ErrInUse.
// The folder is closed when Run ends.
func NewServer(cfg ServerConfig) (*Server, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	cfg.Voters = slices.Compact(slices.Sorted(slices.Values(cfg.Voters)))
	r, err := openReplica(cfg)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:       cfg,
		replica:   r,
		inbox:     make(chan inbound, inboxMessages),
		proposals: make(chan proposal, proposalQueue),
		stopped:   make(chan struct{}),
		origin:    cfg.Now(),
	}
	s.status.Store(&status{view: r.state.View(), members: r.node.Members(), changed: make(chan struct{})})
	return s, nil
}

func openReplica(cfg ServerConfig) (*replica, error) {
	fs := cfg.FS
	if fs == nil {
		folder, err := wal.OpenFolder(cfg.DataFolder)
		if err != nil {
			return nil, err
		}
		fs = folder
	}
	r, err := newReplica(cfg, fs)
	if closer, ok := fs.(io.Closer); ok && err != nil {
		err = errors.Join(err, closer.Close())
	}
	return r, err
}

// Run takes part in the agreement until ctx ends. It returns nil then, and an
// error when the files can no longer be written. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.TickInterval)
	defer ticker.Stop()
	defer s.stop()
	for {
		var first func() error
		select {
		case <-ctx.Done():
			return s.handOver()
		case <-ticker.C:
		case in := <-s.inbox:
			first = func() error { return s.take(in) }
		case p := <-s.proposals:
			first = func() error { s.replica.propose(p); return nil }
		}
		if err := s.round(first); err != nil {
			s.replica.log.WithError(err).Error("the control host stops")
			return err
		}
	}
}

// round counts the ticks that have passed, then takes in all that waits and
// writes it at once.
func (s *Server) round(first func() error) error {
	if err := s.countTicks(); err != nil {
		return err
	}
	if first != nil {
		if err := first(); err != nil {
			return err
		}
	}
	if err := s.drain(); err != nil {
		return err
	}
	if err := s.replica.flush(); err != nil {
		return err
	}
	s.publish()
	s.replica.giveAnswers()
	return nil
}

func (s *Server) countTicks() error {
	due := uint64((s.cfg.Now() - s.origin) / s.cfg.TickInterval)
	limit := uint64(stampTimeouts * s.cfg.ElectionTicks)
	if now := s.replica.node.Now(); due > now+limit {
		s.origin += time.Duration(due-now-limit) * s.cfg.TickInterval
		due = now + limit
	}
	for s.replica.node.Now() < due {
		if err := s.replica.tick(); err != nil {
			return err
		}
	}
	return nil
}

// take counts the ticks before each message: a follower whose clock stood
// still while a message waited would take its lease for older than it is.
func (s *Server) take(in inbound) error {
	if err := s.countTicks(); err != nil {
		return err
	}
	return s.replica.receive(in)
}

func (s *Server) drain() error {
	for range inboxMessages {
		select {
		case in := <-s.inbox:
			if err := s.take(in); err != nil {
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

// handOver ends the lease for readers first, then asks another host to lead.
func (s *Server) handOver() error {
	s.replica.node.Handover()
	s.publish()
	return s.replica.flush()
}

func (s *Server) publish() {
	old := s.status.Load()
	r := s.replica
	next := &status{
		view: old.view, changed: old.changed, members: r.node.Members(),
		leader: r.node.Leader().Host, isSelf: r.node.Role() == consensus.RoleLeader,
		caughtUp: r.node.CaughtUp(), term: r.node.Term(),
	}
	if until, ok := r.node.Lease(); ok {
		next.leaseUntil = s.origin + time.Duration(until)*s.cfg.TickInterval
	}
	if r.state.Revision() != old.view.Revision {
		next.view = r.state.View()
	}
	news := next.view != old.view || next.leader != old.leader || next.caughtUp != old.caughtUp ||
		(next.leaseUntil > 0) != (old.leaseUntil > 0)
	if news {
		next.changed = make(chan struct{})
	}
	s.status.Store(next)
	if news {
		close(old.changed)
	}
}

func (s *Server) stop() {
	close(s.stopped)
	s.replica.abandonWaiting()
	s.replica.giveAnswers()
	last := *s.status.Load()
	last.isSelf, last.leaseUntil, last.leader = false, 0, ""
	s.status.Store(&last)
	if err := s.replica.wal.Close(); err != nil {
		s.replica.log.WithError(err).Warn("closing the log")
	}
}

// Receive takes a message that a peer's Transport sent. Malformed bytes give
// an error. A message may be dropped when too many wait.
func (s *Server) Receive(msg []byte) error {
	return s.ReceiveFrom(func(table.HostID) error { return nil }, msg)
}

// ReceiveFrom is Receive for a message whose sender is checked: the error of
// check for the host that the message names is returned.
func (s *Server) ReceiveFrom(check func(table.HostID) error, msg []byte) error {
	in, err := decodeFrame(bytes.Clone(msg))
	if err != nil {
		return err
	}
	if err := check(in.from()); err != nil {
		return err
	}
	select {
	case s.inbox <- in:
	default:
		s.replica.log.Warn("dropped a message of a control host: too many wait")
	}
	return nil
}

// Propose carries out a command. It returns the answer once a majority holds
// the command durably and it is applied here; Result.Err tells a refusal. An
// error is of the kinds NotLeader (not run), NoQuorum (outcome unknown),
// TooLarge or ShuttingDown.
func (s *Server) Propose(ctx context.Context, c Command) (Result, error) {
	data, err := c.encode()
	if err != nil {
		return Result{}, errkind.Wrap(err, errkind.BadRequest, "the command cannot be encoded")
	}
	if len(data) > consensus.MaxProposalBytes {
		return Result{}, errkind.New(errkind.TooLarge, "%d bytes, at most %d", len(data), consensus.MaxProposalBytes)
	}
	return s.submit(ctx, proposal{data: data})
}

// RemoveMember takes a host out of the membership for good and returns once a
// majority of the others holds that durably. It waits for an earlier change of
// membership to be committed. A host that is no member is no error. The errors
// are those of Propose; the leader cannot remove itself.
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

func (s *Server) submit(ctx context.Context, p proposal) (Result, error) {
	type answer struct {
		result Result
		err    error
	}
	answers := make(chan answer, 1)
	p.done = func(r Result, err error) { answers <- answer{r, err} }
	select {
	case s.proposals <- p:
	case <-ctx.Done():
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

// Leader returns the control host that leads as far as this one knows, whether
// it is this one, and whether this one may act as the only leader now.
func (s *Server) Leader() (host table.HostID, isSelf, leaseValid bool) {
	st := s.status.Load()
	return st.leader, st.isSelf, st.isSelf && s.cfg.Now() < st.leaseUntil
}

// Term returns the term of the replicated log. Each leader has one of its own,
// and a later leader a higher one.
func (s *Server) Term() uint64 { return s.status.Load().term }

// CaughtUp reports whether this host has heard a leader since its start and
// holds all that was committed then. Before that, its state may be older than
// what it showed before a restart.
func (s *Server) CaughtUp() bool { return s.status.Load().caughtUp }

// Members returns the membership of the control hosts.
func (s *Server) Members() consensus.Members { return s.status.Load().members }

// Revision returns the revision of View.
func (s *Server) Revision() uint64 { return s.View().Revision }

// View returns the state now.
func (s *Server) View() *View { return s.status.Load().view }

// Changed returns a channel that is closed at the next change of the view, the
// leader, the lease or CaughtUp. Take it before reading them.
func (s *Server) Changed() <-chan struct{} { return s.status.Load().changed }
