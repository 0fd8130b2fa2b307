package control

import (
	"errors"
	"fmt"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal"
	"github.com/sirupsen/logrus"
)

// replica holds the node, the log and the state of one control host. It has no
// goroutine and no clock of its own: Server passes in ticks, messages and
// proposals.
type replica struct {
	cfg   ServerConfig
	log   logrus.FieldLogger
	wal   *wal.Log
	id    consensus.NodeID
	node  *consensus.Node
	state *State

	// stampBase is random, so that the stamps of different processes differ.
	stampBase    uint64
	founding     *founding
	echoes       map[table.HostID]uint64 // latest stamp received from each host
	joinRequests map[table.HostID]joinRequest
	referrals    map[table.HostID]uint64     // tick at which each host was last named as a member
	heard        map[table.HostID]uint64     // tick of the latest message from each host
	leaving      map[consensus.NodeID]uint64 // tick at which each member last asked to leave
	leave        *leave                      // nil unless this host leaves

	pending map[uint64]pendingProposal
	// answers holds one function for each answered proposal, which calls its
	// done. deliverAnswers runs them after the state that contains the results
	// is published to readers.
	answers       []func()
	snapshotIndex uint64 // applied index of the last snapshot
	// needsRoom is set if a command was refused that fits after a snapshot.
	needsRoom    bool
	loggedTerm   uint64
	loggedLeader consensus.NodeID
}

// joinRequest is the identity of a host that asked to join, and the tick at
// which a fresh echo proved that the host was running.
type joinRequest struct {
	id   consensus.NodeID
	tick uint64
}

// pendingProposal is a proposal without an answer yet. Its entry has the given
// term.
type pendingProposal struct {
	term uint64
	done func(Result, error)
}

// openReplica opens the log in fs and restores the state from it.
func openReplica(cfg ServerConfig, fs wal.FS, o wal.Options) (*replica, error) {
	o.SegmentBytes = cfg.SegmentBytes
	log, contents, err := wal.Open(fs, o)
	if err != nil {
		return nil, err
	}
	r, err := newReplica(cfg, log, contents)
	if err != nil {
		return nil, errors.Join(err, log.CloseFile())
	}
	return r, nil
}

func newReplica(cfg ServerConfig, log *wal.Log, contents wal.Contents) (*replica, error) {
	id, err := log.Identity(cfg.Host, cfg.Random())
	if err != nil {
		return nil, err
	}
	pinned, err := log.Founding()
	if err != nil {
		return nil, err
	}
	r := &replica{
		cfg: cfg, wal: log, id: id, state: NewState(),
		log:           cfg.Log.WithFields(logrus.Fields{"component": "control", "member": id.String()}),
		stampBase:     cfg.Random(),
		founding:      newFounding(id, pinned),
		echoes:        map[table.HostID]uint64{},
		joinRequests:  map[table.HostID]joinRequest{},
		referrals:     map[table.HostID]uint64{},
		heard:         map[table.HostID]uint64{},
		leaving:       map[consensus.NodeID]uint64{},
		pending:       map[uint64]pendingProposal{},
		snapshotIndex: contents.Snapshot.Index,
	}
	if contents.TornBytes > 0 {
		r.log.WithField("bytes", contents.TornBytes).Warn("cut off an unfinished write at the end of the log")
	}
	if err := r.restore(contents); err != nil {
		return nil, err
	}
	r.logRestored()
	return r, nil
}

// restore builds the state and the node from the contents of the log.
func (r *replica) restore(c wal.Contents) error {
	if !c.Snapshot.IsZero() {
		if err := r.state.Restore(c.Snapshot.Data); err != nil {
			return err
		}
	}
	node, err := consensus.New(consensus.Config{
		ID:             r.id,
		ElectionTicks:  r.cfg.ElectionTicks,
		HeartbeatTicks: r.cfg.HeartbeatTicks,
		LeaseTicks:     r.cfg.leaseTicks(),
		MaxAppendBytes: min(maxAppendBytes, r.cfg.inflightBytes),
		MaxInflight:    maxInflightEntries,
		KeepEntries:    r.cfg.KeepEntries,
		Seed:           r.cfg.Random(),
		Snapshot:       c.Snapshot,
		Entries:        c.Entries,
		HardState:      c.HardState,

		MaxInflightBytes:    uint64(r.cfg.inflightBytes),
		KeepBytes:           keepBytes,
		MaxUncommittedBytes: uint64(r.cfg.uncommittedBytes),
	})
	if err != nil {
		return err
	}
	r.node = node
	return r.processAll() // a snapshot that is due waits for Run, which survives a full disk
}

// tick advances the node by one tick. Once per heartbeat interval the leader
// checks the membership, a host that leaves asks to be removed, and a host that is not
// a member asks to join.
func (r *replica) tick() error {
	r.node.Tick()
	r.reportAbsence()
	if r.node.Now()%uint64(r.cfg.HeartbeatTicks) != 0 {
		return nil
	}
	if r.leave != nil {
		r.continueLeave()
	}
	if r.node.Role() == consensus.RoleLeader {
		r.reconcileMembers()
		return nil
	}
	if r.leave != nil || r.node.Members().Contains(r.id) && !r.shouldAskAgain() {
		return nil
	}
	r.askHosts(r.hostsToAsk())
	return r.continueFounding()
}

// receive processes a message from a peer.
func (r *replica) receive(in inbound) error {
	r.heard[in.sender()] = r.node.Now()
	if in.hello != nil {
		return r.handleHello(*in.hello)
	}
	if err := r.node.Step(*in.message); err != nil {
		r.log.WithError(err).WithField("from", in.message.From.String()).Error("rejected a message from a control host")
	}
	return nil
}

// propose appends p to the log. deliverAnswers calls p.done exactly once, with
// the result or an error.
func (r *replica) propose(p proposal) {
	if p.remove != "" {
		r.proposeRemoval(p)
		return
	}
	index, term, err := r.proposeCommand(p)
	if err != nil {
		r.queueAnswer(p.done, Result{}, err)
		return
	}
	r.pending[index] = pendingProposal{term: term, done: p.done}
}

// proposeCommand appends the command of p if this host leads. It refuses a limited one
// that its disk or the entries without a majority leave no room for.
func (r *replica) proposeCommand(p proposal) (index, term uint64, err error) {
	if r.node.Role() != consensus.RoleLeader {
		return 0, 0, r.notLeader()
	}
	propose := r.node.Propose
	if p.limited {
		propose = r.node.ProposeWithinLimit
		if err := r.checkRoom(len(p.data)); err != nil {
			return 0, 0, err
		}
	}
	if index, term, err = propose(p.data); err != nil {
		err = errkind.Wrap(err, errkind.NoQuorum, "%v", err).WithEffect(errkind.NotRun)
	}
	return index, term, err
}

func (r *replica) notLeader() error {
	return errkind.New(errkind.NotLeader, "the leader is %q", r.node.Leader().Host)
}

// flush processes all pending work of the node and takes a snapshot if one is
// due.
func (r *replica) flush() error {
	if err := r.processAll(); err != nil {
		return err
	}
	if reason := r.snapshotReason(); reason != "" {
		return r.snapshot(reason)
	}
	return nil
}

// processAll processes all pending work of the node.
func (r *replica) processAll() error {
	for r.node.HasReady() {
		if err := r.processReady(r.node.Ready()); err != nil {
			return err
		}
		r.node.Advance()
	}
	if r.node.Role() != consensus.RoleLeader {
		r.failPending()
	}
	r.logLeader()
	return nil
}

// processReady performs the steps of rd in the order that consensus.Ready
// requires.
func (r *replica) processReady(rd consensus.Ready) error {
	for i := range rd.EarlyMessages {
		r.send(&rd.EarlyMessages[i])
	}
	if rd.Snapshot != nil {
		if err := r.wal.ResetTo(*rd.Snapshot); err != nil {
			return err
		}
	}
	if err := r.wal.Save(rd.HardState, rd.Entries, rd.MustSync); err != nil {
		return err
	}
	for i := range rd.Messages {
		r.send(&rd.Messages[i])
	}
	if rd.Snapshot != nil {
		if err := r.state.Restore(rd.Snapshot.Data); err != nil {
			return err
		}
		r.snapshotIndex = rd.Snapshot.Index
	}
	for _, e := range rd.Committed {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *replica) send(m *consensus.Message) {
	frame, err := m.AppendBinary([]byte{frameConsensus})
	if err != nil || len(frame) > consensus.MaxMessageBytes {
		r.log.WithField("bytes", len(frame)).Error("dropped a message to a control host: too large")
		return
	}
	r.cfg.Transport.Send(m.To.Host, frame)
}

// apply applies a committed entry to the state and answers its proposal, if it
// was proposed here.
func (r *replica) apply(e consensus.Entry) error {
	var result Result
	switch e.Type {
	case consensus.EntryCommand:
		command, err := decodeCommand(e.Data)
		if err != nil {
			return fmt.Errorf("entry %d of the log: %w", e.Index, err)
		}
		result = r.state.Apply(command)
		if r.node.Role() == consensus.RoleLeader {
			r.logResult(command, result)
		}
	case consensus.EntryMembers:
		r.logMembers(e)
	case consensus.EntryEmpty:
	}
	p, ok := r.pending[e.Index]
	if !ok {
		return nil
	}
	delete(r.pending, e.Index)
	if p.term != e.Term {
		r.queueAnswer(p.done, Result{}, r.notLeader())
		return nil
	}
	r.queueAnswer(p.done, result, nil)
	return nil
}

// queueAnswer queues the answer to a proposal for deliverAnswers.
func (r *replica) queueAnswer(done func(Result, error), result Result, err error) {
	r.answers = append(r.answers, func() { done(result, err) })
}

// deliverAnswers passes all queued answers to their proposals.
func (r *replica) deliverAnswers() {
	for _, deliver := range r.answers {
		deliver()
	}
	r.answers = nil
}

// failPending answers all pending proposals with NoQuorum. The host is no longer
// the leader, or stops, and cannot know whether they will be committed.
func (r *replica) failPending() {
	for index, p := range r.pending {
		delete(r.pending, index)
		r.queueAnswer(p.done, Result{}, errkind.New(errkind.NoQuorum, "the leader changed before the command was committed"))
	}
}

// snapshot stores a snapshot of the state and compacts the log. The log line shows
// the reason.
func (r *replica) snapshot(reason string) error {
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	entries, before := r.node.AppliedIndex()-r.snapshotIndex, r.wal.Usage()
	s := r.node.Compact(data)
	if err := r.wal.SaveSnapshot(s); err != nil {
		return err
	}
	r.snapshotIndex, r.needsRoom = s.Index, false
	r.logUsage().WithFields(logrus.Fields{
		"reason": reason, "index": s.Index, "bytes": len(data), "entries": entries, "freed_bytes": before.SegmentBytes - r.wal.Usage().SegmentBytes,
	}).Info("snapshot taken")
	return nil
}

// logResult logs the result of a command. It leaves out document bodies and
// keys.
func (r *replica) logResult(c Command, result Result) {
	fields := logrus.Fields{"refusal": result.Refusal.String(), "revision": result.Revision}
	switch {
	case c.PutDocument != nil:
		p := c.PutDocument
		fields["service"], fields["version"], fields["digest"], fields["operator"] = p.Service, p.Version, p.Digest, p.Operator
	case c.ReplaceDeployment != nil:
		fields["version"], fields["in_force"] = c.ReplaceDeployment.Version, r.state.view.Deployment.Version
	case c.BeginTerm != nil:
		fields["group"], fields["term"], fields["candidate"] = c.BeginTerm.Group, c.BeginTerm.Term, c.BeginTerm.Candidate
	case c.SetPrimary != nil:
		fields["group"], fields["term"], fields["primary"] = c.SetPrimary.Group, c.SetPrimary.Term, c.SetPrimary.Primary
	case c.AssignOwners != nil:
		fields["ownerships"] = len(c.AssignOwners.Ownerships)
	case c.SetKeys != nil:
		fields["version"] = c.SetKeys.Version
	}
	if result.Refusal != Accepted {
		fields["in_force"] = result.inForce()
	}
	r.log.WithFields(fields).Infof("%s: %s", c.name(), result.Refusal)
}

func (r *replica) logLeader() {
	if r.loggedTerm == r.node.Term() && r.loggedLeader == r.node.Leader() {
		return
	}
	r.loggedTerm, r.loggedLeader = r.node.Term(), r.node.Leader()
	r.log.WithFields(logrus.Fields{
		"term": r.loggedTerm, "leader": string(r.loggedLeader.Host), "role": r.node.Role().String(),
	}).Info("control leader changed")
}

func (r *replica) logMembers(e consensus.Entry) {
	var m consensus.Members
	if err := m.UnmarshalBinary(e.Data); err == nil {
		r.log.WithFields(logrus.Fields{"voters": fmt.Sprint(m.Voters), "learners": fmt.Sprint(m.Learners)}).
			Info("control membership changed")
	}
}
