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
	// driftEvery is how many steps lie between two ticks that a host misses
	// or counts twice.
	driftEvery = 17
)

// member is one host of a schedule: a node on a real log in a fake folder.
type member struct {
	id      consensus.NodeID
	folder  *waltest.Folder
	log     *wal.Log
	node    *consensus.Node
	version uint64 // the replicated value: the last accepted version
	shown   uint64 // highest version shown while caught up
	snapAt  uint64
	frozen  int // steps
	owed    int // ticks to count after a freeze
	down    int // steps until the restart
}

type flying struct {
	at      int
	message consensus.Message
}

type link struct{ from, to table.HostID }

type place struct{ index, term uint64 }

// schedule is one seeded run of a few hosts under faults. All that happens
// follows from the seed.
type schedule struct {
	seed    uint64
	rng     *rand.Rand
	step    int
	healed  bool
	members []*member
	wire    []flying
	cut     map[table.HostID]int // side of a partition
	links   map[link]bool        // single links that are cut
	nextInc uint64

	leaders   map[uint64]consensus.NodeID
	written   map[place]string // content and term before
	committed map[uint64]consensus.Entry
	// inTerm has, for each term, the highest index known to be committed by
	// then: every leader of a later term must hold it.
	inTerm  map[uint64]uint64
	highest uint64
	trace   uint64
	tweak   func(*waltest.Folder)
}

func newSchedule(seed uint64) *schedule {
	return &schedule{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), nextInc: 1,
		cut: map[table.HostID]int{}, links: map[link]bool{},
		leaders: map[uint64]consensus.NodeID{}, written: map[place]string{},
		committed: map[uint64]consensus.Entry{}, inTerm: map[uint64]uint64{},
	}
}

// run returns the first broken promise, and nil if all held.
func (s *schedule) run() error {
	if err := s.found(3 + 2*s.rng.IntN(2)); err != nil {
		return err
	}
	for s.step = range faultySteps + healedSteps {
		if s.step == faultySteps {
			s.heal()
		}
		if err := s.oneStep(); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", s.seed, s.step, err)
		}
	}
	if err := s.checkConverged(); err != nil {
		return fmt.Errorf("seed %d, at the end: %w", s.seed, err)
	}
	return nil
}

func (s *schedule) found(hosts int) error {
	for i := range hosts {
		id := consensus.NodeID{Host: table.HostID("h" + strconv.Itoa(i)), Incarnation: s.nextInc}
		s.members = append(s.members, &member{id: id, folder: waltest.NewFolder()})
		s.nextInc++
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
		if err := errors.Join(m.node.Found(first), s.settle(m)); err != nil {
			return err
		}
	}
	return nil
}

// open starts a host on what its folder holds.
func (s *schedule) open(m *member) error {
	if s.tweak != nil {
		s.tweak(m.folder)
	}
	log, c, err := wal.Open(m.folder, wal.Options{SegmentBytes: 2048})
	if err != nil {
		return err
	}
	id, err := log.Identity(m.id.Host, m.id.Incarnation)
	if err != nil || id != m.id {
		return errors.Join(err, fmt.Errorf("identity %s, want %s", id, m.id))
	}
	m.log, m.version, m.snapAt = log, 0, c.Snapshot.Index
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

func (s *schedule) heal() {
	s.healed = true
	s.cut, s.links = map[table.HostID]int{}, map[link]bool{}
	for _, m := range s.members {
		m.down, m.frozen = min(m.down, 1), 0
	}
}

func (s *schedule) oneStep() error {
	if !s.healed {
		s.inject()
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

// inject draws the faults of a step.
func (s *schedule) inject() {
	m := s.members[s.rng.IntN(len(s.members))]
	switch p := s.rng.IntN(1000); {
	case p < 12:
		for _, each := range s.members {
			s.cut[each.id.Host] = s.rng.IntN(2)
		}
	case p < 20:
		s.cut = map[table.HostID]int{m.id.Host: 1}
	case p < 28:
		s.cut, s.links = map[table.HostID]int{}, map[link]bool{}
	case p < 40:
		other := s.members[s.rng.IntN(len(s.members))].id.Host
		s.links[link{m.id.Host, other}] = true
		s.links[link{other, m.id.Host}] = s.rng.IntN(4) > 0
	case p < 54 && m.down == 0:
		s.crash(m)
	case p < 57 && m.node != nil && m.frozen == 0:
		m.countTicks()
		m.node.Handover()
	case p < 62 && m.down == 0:
		m.frozen = 1 + s.rng.IntN(3*electionTicks)
	case p < 68 && s.mayWipe():
		s.crash(m)
		m.folder = waltest.NewFolder()
		m.id.Incarnation = s.nextInc
		m.shown = 0
		s.nextInc++
	}
}

func (s *schedule) crash(m *member) {
	m.folder = m.folder.Crash(func(unsynced int) int { return s.rng.IntN(unsynced + 1) })
	m.down, m.frozen, m.owed = 1+s.rng.IntN(25), 0, 0
	m.node = nil
}

// mayWipe reports whether every host is a voter of the agreed membership: only
// then may a disk be lost without losing more than the agreement can stand.
func (s *schedule) mayWipe() bool {
	for _, m := range s.members {
		if m.node == nil || m.node.Role() != consensus.RoleLeader {
			continue
		}
		if _, leased := m.node.Lease(); !leased || !s.appliedMembers(m) {
			return false
		}
		return !slices.ContainsFunc(s.members, func(o *member) bool { return !m.node.Members().IsVoter(o.id) })
	}
	return false
}

// appliedMembers reports whether the membership of m is committed.
func (s *schedule) appliedMembers(m *member) bool {
	for index := m.node.LastIndex(); index > m.node.Commit(); index-- {
		for p, content := range s.written {
			if p.index == index && content[0] == byte('0'+consensus.EntryMembers) {
				return false
			}
		}
	}
	return true
}

func (s *schedule) stepMember(m *member) error {
	if m.down > 0 {
		m.down--
		if m.down > 0 {
			return nil
		}
		return s.open(m)
	}
	m.owed++
	if m.frozen > 0 {
		m.frozen--
		return nil
	}
	if s.step%driftEvery == 0 {
		m.owed += s.rng.IntN(3) - 1
	}
	m.countTicks()
	if m.node.Role() == consensus.RoleLeader {
		s.lead(m)
	}
	return s.settle(m)
}

// countTicks comes before every message: see Server.take in package control.
func (m *member) countTicks() {
	for ; m.owed > 0; m.owed-- {
		m.node.Tick()
	}
}

// lead proposes commands and repairs the membership.
func (s *schedule) lead(m *member) {
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
		now, ok := m.node.Members().Host(o.id.Host)
		switch {
		case ok && now != o.id:
			_ = m.node.ProposeConfChange(consensus.ConfChange{Type: consensus.RemoveMember, Node: now})
		case !ok && o.node != nil:
			_ = m.node.ProposeConfChange(consensus.ConfChange{Type: consensus.AddLearner, Node: o.id})
		}
	}
}

// settle carries out what the node asks for; a crash may come at any stage.
func (s *schedule) settle(m *member) error {
	for m.node.HasReady() {
		rd := m.node.Ready()
		s.send(rd.Early)
		if s.crashesNow() {
			s.crash(m)
			return nil
		}
		if err := s.persist(m, rd); err != nil {
			return err
		}
		if s.crashesNow() {
			s.crash(m)
			return nil
		}
		s.send(rd.Messages)
		if s.crashesNow() {
			s.crash(m)
			return nil
		}
		if err := s.apply(m, rd); err != nil {
			return err
		}
		m.node.Advance()
	}
	if err := s.checkLeader(m); err != nil {
		return err
	}
	if m.node.Applied()-m.snapAt >= snapshotEvery {
		snap := m.node.Compact([]byte(strconv.FormatUint(m.version, 10)))
		m.snapAt = snap.Index
		return m.log.SaveSnapshot(snap)
	}
	return nil
}

func (s *schedule) crashesNow() bool {
	return !s.healed && s.step > 0 && s.rng.IntN(500) == 0
}

func (s *schedule) persist(m *member, rd consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := m.log.ResetTo(*rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		content := fmt.Sprintf("%d%s", e.Type, e.Data)
		if known, ok := s.written[place{e.Index, e.Term}]; ok && known != content {
			return fmt.Errorf("log matching: entry %d of term %d is %q and %q", e.Index, e.Term, known, content)
		}
		s.written[place{e.Index, e.Term}] = content
	}
	return m.log.Save(rd.HardState, rd.Entries, rd.MustSync)
}

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
			s.wire = append(s.wire, flying{at: s.step + delay, message: msg})
		}
	}
}

func (s *schedule) deliver() error {
	var due []flying
	s.wire = slices.DeleteFunc(s.wire, func(f flying) bool {
		if f.at <= s.step {
			due = append(due, f)
		}
		return f.at <= s.step
	})
	for _, f := range due {
		i := slices.IndexFunc(s.members, func(m *member) bool { return m.id.Host == f.message.To.Host })
		m := s.members[i]
		from, to := f.message.From.Host, m.id.Host
		if m.down > 0 || s.cut[from] != s.cut[to] || s.links[link{from, to}] {
			continue
		}
		if m.frozen > 0 {
			f.at = s.step + 1
			s.wire = append(s.wire, f)
			continue
		}
		if err := s.receive(m, f.message); err != nil {
			return err
		}
	}
	return nil
}

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
		return fmt.Errorf("%s refused %+v: %w", m.id, msg, err)
	}
	return s.settle(m)
}

// apply runs the replicated value: a version follows only the one before it.
func (s *schedule) apply(m *member, rd consensus.Ready) error {
	if rd.Snapshot != nil {
		m.version, _ = strconv.ParseUint(string(rd.Snapshot.Data), 10, 64)
		m.snapAt = rd.Snapshot.Index
	}
	for _, e := range rd.Committed {
		known, ok := s.committed[e.Index]
		if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
			return fmt.Errorf("lost entry: %d is %d %q at %s, but %d %q was applied before",
				e.Index, e.Term, e.Data, m.id, known.Term, known.Data)
		}
		s.committed[e.Index] = e
		s.highest = max(s.highest, e.Index)
		s.inTerm[m.node.Term()] = max(s.inTerm[m.node.Term()], e.Index)
		if e.Type != consensus.EntryCommand {
			continue
		}
		text, _, _ := bytes.Cut(e.Data, []byte(" "))
		if v, _ := strconv.ParseUint(string(text), 10, 64); v == m.version+1 {
			m.version = v
		}
	}
	h := fnv.New64a()
	fmt.Fprint(h, s.trace, s.step, m.id, m.version, len(rd.Entries), len(rd.Messages), rd.HardState)
	s.trace = h.Sum64()
	return nil
}

// checkLeader checks election safety, that a leader has all that was ever
// committed, and that no host goes back.
func (s *schedule) checkLeader(m *member) error {
	if m.node.CaughtUp() {
		if m.version < m.shown {
			return fmt.Errorf("revert: %s shows version %d after %d", m.id, m.version, m.shown)
		}
		m.shown = m.version
	}
	if m.node.Role() != consensus.RoleLeader {
		return nil
	}
	term := m.node.Term()
	if other, ok := s.leaders[term]; ok && other != m.id {
		return fmt.Errorf("election safety: %s and %s lead term %d", other, m.id, term)
	}
	_, before := s.leaders[term]
	s.leaders[term] = m.id
	for earlier, index := range s.inTerm {
		if !before && earlier < term && m.node.LastIndex() < index {
			return fmt.Errorf("lost entry: %s leads term %d with %d entries, %d were committed in term %d",
				m.id, term, m.node.LastIndex(), index, earlier)
		}
	}
	return nil
}

func (s *schedule) checkLeases() error {
	var holders []consensus.NodeID
	for _, m := range s.members {
		if m.down > 0 || m.frozen > 0 || m.owed > 0 {
			continue
		}
		if _, ok := m.node.Lease(); ok {
			holders = append(holders, m.id)
		}
	}
	if len(holders) > 1 {
		return fmt.Errorf("leases: held by %v at once", holders)
	}
	return nil
}

func (s *schedule) checkConverged() error {
	for _, m := range s.members {
		if m.down > 0 || !m.node.CaughtUp() || !m.node.Members().IsVoter(m.id) {
			return fmt.Errorf("%s has not come back: %+v", m.id, m.node)
		}
		if m.node.Applied() < s.highest-min(s.highest, 8) {
			return fmt.Errorf("%s has applied %d of %d entries", m.id, m.node.Applied(), s.highest)
		}
	}
	return nil
}
