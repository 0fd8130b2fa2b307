package consensus_test

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
)

const (
	electionTicks = 16
	leaseTicks    = 13
	faultySteps   = 320
	healedSteps   = 200
	snapshotEvery = 12
	// driftEvery is the number of steps between clock drifts: at such a step a
	// host skips a tick, counts one more or does neither.
	driftEvery = 17
)

// member is one host of a schedule: a node whose log is a real wal.Log in an
// in-memory folder.
type member struct {
	id             consensus.NodeID
	folder         *waltest.Folder
	log            *wal.Log
	node           *consensus.Node
	version        uint64 // replicated value: the last version applied
	highestVersion uint64 // highest version while caught up
	snapshotIndex  uint64
	frozenSteps    int // steps left until the freeze ends
	pendingTicks   int // ticks to count after a freeze
	downSteps      int // steps until the restart
}

// inFlightMessage is a message and the step at which it arrives.
type inFlightMessage struct {
	dueStep int
	message consensus.Message
}

// link is one direction of the connection between two hosts.
type link struct{ from, to table.HostID }

// entryID identifies an entry of the log.
type entryID struct{ index, term uint64 }

// schedule is one run of a few hosts with injected faults. The seed determines
// the whole run.
type schedule struct {
	seed            uint64
	rng             *rand.Rand
	step            int
	healed          bool
	members         []*member
	inFlight        []inFlightMessage
	partition       map[table.HostID]int // partition that each host is in
	cutLinks        map[link]bool        // links cut in one direction
	nextIncarnation uint64

	leaders   map[uint64]consensus.NodeID
	contents  map[entryID]string // type and data of each entry
	committed map[uint64]consensus.Entry
	// committedByTerm holds, for each term, the highest index that a node applied
	// in that term. Every leader of a later term must hold that entry.
	committedByTerm  map[uint64]uint64
	highestCommitted uint64
	trace            uint64 // hash of the run so far; equal runs have equal hashes
	beforeOpen       func(*waltest.Folder)
}

func newSchedule(seed uint64) *schedule {
	return &schedule{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), nextIncarnation: 1,
		partition: map[table.HostID]int{}, cutLinks: map[link]bool{},
		leaders: map[uint64]consensus.NodeID{}, contents: map[entryID]string{},
		committed: map[uint64]consensus.Entry{}, committedByTerm: map[uint64]uint64{},
	}
}

// run executes the schedule and returns the first violated invariant, or nil.
func (s *schedule) run() error {
	if err := s.bootstrap(3 + 2*s.rng.IntN(2)); err != nil {
		return err
	}
	for s.step = range faultySteps + healedSteps {
		if s.step == faultySteps {
			s.heal()
		}
		if err := s.runStep(); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", s.seed, s.step, err)
		}
	}
	if err := s.checkConverged(); err != nil {
		return fmt.Errorf("seed %d, at the end: %w", s.seed, err)
	}
	return nil
}

// bootstrap starts hosts members with the same founding membership.
func (s *schedule) bootstrap(hosts int) error {
	for i := range hosts {
		id := consensus.NodeID{Host: table.HostID("h" + strconv.Itoa(i)), Incarnation: s.nextIncarnation}
		s.members = append(s.members, &member{id: id, folder: waltest.NewFolder()})
		s.nextIncarnation++
	}
	var ids []consensus.NodeID
	for _, m := range s.members {
		ids = append(ids, m.id)
	}
	for _, m := range s.members {
		if err := s.open(m); err != nil {
			return err
		}
		first := consensus.Snapshot{Index: 1, Term: 1, Members: consensus.NewMembers(ids...), Data: []byte("0")}
		if err := errors.Join(m.node.Initialize(first), s.processReady(m)); err != nil {
			return err
		}
	}
	return nil
}

// open starts a host with the contents of its folder.
func (s *schedule) open(m *member) error {
	if s.beforeOpen != nil {
		s.beforeOpen(m.folder)
	}
	log, c, err := wal.Open(m.folder, wal.Options{SegmentBytes: 2048})
	if err != nil {
		return err
	}
	id, err := log.Identity(m.id.Host, m.id.Incarnation)
	if err != nil || id != m.id {
		return errors.Join(err, fmt.Errorf("identity %s, want %s", id, m.id))
	}
	m.log, m.version, m.snapshotIndex = log, 0, c.Snapshot.Index
	if !c.Snapshot.IsZero() {
		m.version, _ = strconv.ParseUint(string(c.Snapshot.Data), 10, 64)
	}
	m.node, err = consensus.New(consensus.Config{
		ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: 2, LeaseTicks: leaseTicks,
		MaxAppendBytes: 64, MaxInflight: 8, KeepEntries: 4, Seed: s.rng.Uint64(),
		Snapshot: c.Snapshot, Entries: c.Entries, HardState: c.HardState,
	})
	return err
}

// heal ends all faults.
func (s *schedule) heal() {
	s.healed = true
	s.partition, s.cutLinks = map[table.HostID]int{}, map[link]bool{}
	for _, m := range s.members {
		m.downSteps, m.frozenSteps = min(m.downSteps, 1), 0
	}
}

func (s *schedule) runStep() error {
	if !s.healed {
		s.injectFault()
	}
	for _, m := range s.members {
		if err := s.stepMember(m); err != nil {
			return err
		}
	}
	if err := s.deliver(); err != nil {
		return err
	}
	return s.checkLeases()
}

// injectFault draws the fault of a step, if any, and applies it.
func (s *schedule) injectFault() {
	m := s.members[s.rng.IntN(len(s.members))]
	switch p := s.rng.IntN(1000); {
	case p < 12:
		for _, each := range s.members {
			s.partition[each.id.Host] = s.rng.IntN(2)
		}
	case p < 20:
		s.partition = map[table.HostID]int{m.id.Host: 1}
	case p < 28:
		s.partition, s.cutLinks = map[table.HostID]int{}, map[link]bool{}
	case p < 40:
		other := s.members[s.rng.IntN(len(s.members))].id.Host
		s.cutLinks[link{m.id.Host, other}] = true
		s.cutLinks[link{other, m.id.Host}] = s.rng.IntN(4) > 0
	case p < 54 && m.downSteps == 0:
		s.crash(m)
	case p < 57 && m.node != nil && m.frozenSteps == 0:
		m.countTicks()
		m.node.Handover()
	case p < 62 && m.downSteps == 0:
		m.frozenSteps = 1 + s.rng.IntN(3*electionTicks)
	case p >= 990:
		s.crashAll()
	case p < 68 && s.canWipe():
		s.crash(m)
		m.folder = waltest.NewFolder()
		m.id.Incarnation = s.nextIncarnation
		m.highestVersion = 0
		s.nextIncarnation++
	}
}

// crash stops a host for up to 25 steps. Each file keeps a random prefix of its
// unsynced bytes.
func (s *schedule) crash(m *member) {
	m.folder = m.folder.Crash(func(unsynced int) int { return s.rng.IntN(unsynced + 1) })
	m.downSteps, m.frozenSteps, m.pendingTicks = 1+s.rng.IntN(25), 0, 0
	m.node = nil
}

// crashAll stops all hosts. Each is back after a few steps, within the lease that
// the last leader held.
func (s *schedule) crashAll() {
	for _, m := range s.members {
		if m.downSteps == 0 {
			s.crash(m)
		}
		m.downSteps = 1 + s.rng.IntN(leaseTicks/2)
	}
}

// canWipe reports whether a leader with a lease exists and every host is a voter
// of its committed membership. A disk lost at any other time could exceed the
// failures that a quorum tolerates.
func (s *schedule) canWipe() bool {
	for _, m := range s.members {
		if m.node == nil || m.node.Role() != consensus.RoleLeader {
			continue
		}
		if _, leased := m.node.Lease(); !leased || !s.membershipCommitted(m) {
			return false
		}
		return !slices.ContainsFunc(s.members, func(o *member) bool { return !m.node.Members().IsVoter(o.id) })
	}
	return false
}

// membershipCommitted reports whether no EntryMembers in the log of m is
// uncommitted.
func (s *schedule) membershipCommitted(m *member) bool {
	for index := m.node.LastIndex(); index > m.node.CommitIndex(); index-- {
		for id, content := range s.contents {
			if id.index == index && content[0] == byte('0'+consensus.EntryMembers) {
				return false
			}
		}
	}
	return true
}

// stepMember runs one step of a host: it restarts the host if its down time is
// over, and otherwise counts ticks and processes pending work.
func (s *schedule) stepMember(m *member) error {
	if m.downSteps > 0 {
		m.downSteps--
		if m.downSteps > 0 {
			return nil
		}
		return s.open(m)
	}
	m.pendingTicks++
	if m.frozenSteps > 0 {
		m.frozenSteps--
		return nil
	}
	if s.step%driftEvery == 0 {
		m.pendingTicks += s.rng.IntN(3) - 1
	}
	m.countTicks()
	if m.node.Role() == consensus.RoleLeader {
		s.actAsLeader(m)
	}
	return s.processReady(m)
}

// countTicks counts the pending ticks. It must be called before every message;
// Server.handleInbound in package control states the reason.
func (m *member) countTicks() {
	for ; m.pendingTicks > 0; m.pendingTicks-- {
		m.node.Tick()
	}
}

// actAsLeader proposes commands, and membership changes that make the current
// incarnation of every host a voter.
func (s *schedule) actAsLeader(m *member) {
	if s.rng.IntN(3) == 0 {
		_, _, _ = m.node.Propose([]byte(strconv.FormatUint(m.version+1, 10) + " by " + m.id.String()))
	}
	if s.step%4 != 0 {
		return
	}
	for _, id := range m.node.Members().Learners {
		_ = m.node.ProposeConfChange(consensus.ConfChange{Type: consensus.PromoteLearner, Node: id})
	}
	for _, o := range s.members {
		current, ok := m.node.Members().OnHost(o.id.Host)
		switch {
		case ok && current != o.id:
			_ = m.node.ProposeConfChange(consensus.ConfChange{Type: consensus.RemoveMember, Node: current})
		case !ok && o.node != nil:
			_ = m.node.ProposeConfChange(consensus.ConfChange{Type: consensus.AddLearner, Node: o.id})
		}
	}
}

// processReady processes all pending work of the node. The host may crash after
// any stage.
func (s *schedule) processReady(m *member) error {
	for m.node.HasReady() {
		rd := m.node.Ready()
		s.send(rd.EarlyMessages)
		if s.drawCrash() {
			s.crash(m)
			return nil
		}
		if err := s.persist(m, rd); err != nil {
			return err
		}
		if s.drawCrash() {
			s.crash(m)
			return nil
		}
		s.send(rd.Messages)
		if s.drawCrash() {
			s.crash(m)
			return nil
		}
		if err := s.apply(m, rd); err != nil {
			return err
		}
		m.node.Advance()
	}
	if err := s.checkNode(m); err != nil {
		return err
	}
	if m.node.AppliedIndex()-m.snapshotIndex >= snapshotEvery {
		snap := m.node.Compact([]byte(strconv.FormatUint(m.version, 10)))
		m.snapshotIndex = snap.Index
		return m.log.SaveSnapshot(snap)
	}
	return nil
}

// drawCrash reports whether the host crashes at this stage.
func (s *schedule) drawCrash() bool {
	return !s.healed && s.step > 0 && s.rng.IntN(500) == 0
}

// persist makes the snapshot, entries and hard state of rd durable, and checks
// log matching.
func (s *schedule) persist(m *member, rd consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := m.log.ResetTo(*rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		content := fmt.Sprintf("%d%s", e.Type, e.Data)
		if known, ok := s.contents[entryID{e.Index, e.Term}]; ok && known != content {
			return fmt.Errorf("log matching: entry %d of term %d is %q and %q", e.Index, e.Term, known, content)
		}
		s.contents[entryID{e.Index, e.Term}] = content
	}
	return m.log.Save(rd.HardState, rd.Entries, rd.MustSync)
}

// send puts messages in flight. Before the heal it may drop, duplicate or delay
// them.
func (s *schedule) send(messages []consensus.Message) {
	for _, msg := range messages {
		copies := 1
		if !s.healed {
			copies = [...]int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[s.rng.IntN(10)]
		}
		for range copies {
			delay := 1 + s.rng.IntN(2)
			if !s.healed && s.rng.IntN(20) == 0 {
				delay = s.rng.IntN(6 * electionTicks)
			}
			s.inFlight = append(s.inFlight, inFlightMessage{dueStep: s.step + delay, message: msg})
		}
	}
}

// deliver passes due messages to their hosts. It drops those for hosts that are
// down or unreachable, and holds those for frozen hosts back.
func (s *schedule) deliver() error {
	var due []inFlightMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool {
		if f.dueStep <= s.step {
			due = append(due, f)
		}
		return f.dueStep <= s.step
	})
	for _, f := range due {
		i := slices.IndexFunc(s.members, func(m *member) bool { return m.id.Host == f.message.To.Host })
		m := s.members[i]
		from, to := f.message.From.Host, m.id.Host
		if m.downSteps > 0 || s.partition[from] != s.partition[to] || s.cutLinks[link{from, to}] {
			continue
		}
		if m.frozenSteps > 0 {
			f.dueStep = s.step + 1
			s.inFlight = append(s.inFlight, f)
			continue
		}
		if err := s.receive(m, f.message); err != nil {
			return err
		}
	}
	return nil
}

// receive passes msg, encoded and decoded once, to the node of m.
func (s *schedule) receive(m *member, msg consensus.Message) error {
	encoded, err := msg.AppendBinary(nil)
	if err != nil {
		return err
	}
	var decoded consensus.Message
	if err := decoded.UnmarshalBinary(encoded); err != nil {
		return err
	}
	m.countTicks()
	if err := m.node.Step(decoded); err != nil {
		return fmt.Errorf("%s rejected %+v: %w", m.id, msg, err)
	}
	return s.processReady(m)
}

// apply applies the committed entries to the replicated value, which accepts a
// version only if it is one above the last, and checks that all hosts commit
// the same entries.
func (s *schedule) apply(m *member, rd consensus.Ready) error {
	if rd.Snapshot != nil {
		m.version, _ = strconv.ParseUint(string(rd.Snapshot.Data), 10, 64)
		m.snapshotIndex = rd.Snapshot.Index
	}
	for _, e := range rd.Committed {
		known, ok := s.committed[e.Index]
		if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
			return fmt.Errorf("lost entry: %d is %d %q at %s, but %d %q was applied before",
				e.Index, e.Term, e.Data, m.id, known.Term, known.Data)
		}
		s.committed[e.Index] = e
		s.highestCommitted = max(s.highestCommitted, e.Index)
		s.committedByTerm[m.node.Term()] = max(s.committedByTerm[m.node.Term()], e.Index)
		if e.Type != consensus.EntryCommand {
			continue
		}
		number, _, _ := bytes.Cut(e.Data, []byte(" "))
		if v, _ := strconv.ParseUint(string(number), 10, 64); v == m.version+1 {
			m.version = v
		}
	}
	h := fnv.New64a()
	fmt.Fprint(h, s.trace, s.step, m.id, m.version, len(rd.Entries), len(rd.Messages), rd.HardState)
	s.trace = h.Sum64()
	return nil
}

// checkNode checks election safety, that a new leader holds every entry
// committed in an earlier term, and that no caught-up host reverts to an older
// version.
func (s *schedule) checkNode(m *member) error {
	if m.node.CaughtUp() {
		if m.version < m.highestVersion {
			return fmt.Errorf("revert: %s has version %d after %d", m.id, m.version, m.highestVersion)
		}
		m.highestVersion = m.version
	}
	if m.node.Role() != consensus.RoleLeader {
		return nil
	}
	term := m.node.Term()
	if other, ok := s.leaders[term]; ok && other != m.id {
		return fmt.Errorf("election safety: %s and %s lead term %d", other, m.id, term)
	}
	_, known := s.leaders[term]
	s.leaders[term] = m.id
	for earlier, index := range s.committedByTerm {
		if !known && earlier < term && m.node.LastIndex() < index {
			return fmt.Errorf("lost entry: %s leads term %d with last index %d, but index %d was committed in term %d",
				m.id, term, m.node.LastIndex(), index, earlier)
		}
	}
	return nil
}

// checkLeases checks that at most one running host holds a lease.
func (s *schedule) checkLeases() error {
	var holders []consensus.NodeID
	for _, m := range s.members {
		if m.downSteps > 0 || m.frozenSteps > 0 || m.pendingTicks > 0 {
			continue
		}
		if _, ok := m.node.Lease(); ok {
			holders = append(holders, m.id)
		}
	}
	if len(holders) > 1 {
		return fmt.Errorf("leases: held by %v at the same time", holders)
	}
	return nil
}

// checkConverged checks that every host is a caught-up voter and has applied
// all but at most the last 8 known committed entries.
func (s *schedule) checkConverged() error {
	for _, m := range s.members {
		if m.downSteps > 0 || !m.node.CaughtUp() || !m.node.Members().IsVoter(m.id) {
			return fmt.Errorf("%s has not recovered: %+v", m.id, m.node)
		}
		if m.node.AppliedIndex() < s.highestCommitted-min(s.highestCommitted, 8) {
			return fmt.Errorf("%s has applied %d of %d entries", m.id, m.node.AppliedIndex(), s.highestCommitted)
		}
	}
	return nil
}
