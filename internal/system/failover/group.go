package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxTermJump is how far a reported term may exceed the committed term. Higher
// terms are ignored as implausible.
const maxTermJump = 1 << 20

// member is an instance of a group.
type member struct {
	inst      table.Instance // latest announcement
	announced bool
	owner     table.HostID
	epoch     table.Epoch

	hasReport        bool
	report           Report        // latest report of the current owner
	unreachableSince time.Duration // valid while report.Reachable is false
	left             bool          // the instance reported at leftAt that it leaves at once
	leftAt           time.Duration
	connectedAt      time.Duration // when the connection of readMark was open, on the leader's clock
	knowsConnection  bool          // whether connectedAt is valid
	refill           *removalCheck // whether the instance holds what it may have lost
	hasRead          bool          // whether readAt and readMark are valid
	readAt           time.Duration // leader time after which the latest successful probe began
	readMark         table.Mark    // mark that the probe returned

	reachedAt   time.Duration // arrival of the latest report with Reachable set
	fencedTerm  table.Term    // highest term in which it answered a fence
	fenceSentAt time.Duration
	fenceSent   bool
	failedTerm  table.Term // term in which its promotion timed out
}

// reachable reports whether the latest probe of the current owner succeeded.
func (m *member) reachable() bool { return m.hasReport && m.report.Reachable }

// mark returns the most advanced known mark of the instance.
func (m *member) mark() table.Mark {
	if m.hasReport && m.inst.Mark.Less(m.report.Mark) {
		return m.report.Mark
	}
	return m.inst.Mark
}

// role returns the latest known role of the instance.
func (m *member) role() table.Role {
	if m.hasReport && (m.report.Reachable || m.report.Mark.Term != 0) {
		return m.report.Role
	}
	return m.inst.Role
}

// leaving reports whether the instance reported that it is leaving.
func (m *member) leaving() bool {
	return m.inst.Leaving || m.hasReport && m.report.Leaving
}

// readSince reports whether readMark was read at or after the given leader
// time.
func (m *member) readSince(at time.Duration) bool {
	return m.hasRead && m.readAt >= at
}

// witness is the latest probe result of a host that does not own the primary.
type witness struct {
	at        time.Duration
	reachable bool
}

// proposal is the latest command that was proposed for a group.
type proposal struct {
	kind      proposalKind
	term      table.Term
	candidate table.InstanceID
	at        time.Duration

	logTermInDoubt bool // of a proposedTerm
}

type proposalKind uint8

const (
	proposedNothing proposalKind = iota
	proposedTerm
	proposedPrimary
)

// group is the leader's state of one group. Only agreed is replicated.
type group struct {
	agreed    table.Group
	hasAgreed bool // whether the group has a committed state
	expected  int  // number of instances in the service document, zero if unknown
	members   map[table.InstanceID]*member
	order     []table.InstanceID // sorted keys of members
	active    bool

	// Evidence on the primary, valid while suspected is set.
	suspected       bool
	suspectedAt     time.Duration
	witnesses       map[table.HostID]witness
	stable          bool // whether stableAt is valid
	stableAt        time.Duration
	moveRequestedAt time.Duration
	moveRequested   bool

	// State of a change of primary, valid in PhasePromoting.
	fenced   bool // the owner of the old primary can no longer acknowledge writes
	fencedAt time.Duration
	// held is set once no replica receives from the old primary. The old
	// primary then acknowledges no further write, whatever its owner does.
	held       bool
	heldAt     time.Duration
	termSeen   table.Term // committed term that this leader first saw at termSeenAt
	termSeenAt time.Duration
	floorKnown bool
	floor      table.Mark // at or above every acknowledged write
	promotion  promotion
	lastOrder  promotionOrder
	ackedKnown bool
	acked      table.Mark // highest acknowledged position according to the old primary's owner
	proposal   proposal
	// primaryProposedTerm is the term of the latest proposed SetPrimary.
	primaryProposedTerm table.Term
	minTerm             table.Term // lower bound of the next term

	planned *switchOver
	removal *removalCheck

	wait      WaitReason
	waitSince time.Duration
	missing   string // Wait.Missing
}

// promotion is the state of the promotion of a term's candidate.
type promotion struct {
	term           table.Term
	ordered        bool
	firstOrderedAt time.Duration
	lastOrderedAt  time.Duration
	termAtCall     table.Term // log term that the candidate led or followed at the first order
	done           bool
	termStart      table.Position // position at which the term begins
	logTerm        table.Term     // term of the log, zero without external terms
}

func newGroup(name table.GroupName) *group {
	return &group{
		agreed:    table.Group{Name: name},
		members:   map[table.InstanceID]*member{},
		witnesses: map[table.HostID]witness{},
	}
}

func (g *group) name() table.GroupName { return g.agreed.Name }

// member returns the instance with the given id and adds it if it is new.
func (g *group) member(id table.InstanceID) *member {
	m := g.members[id]
	if m != nil {
		return m
	}
	m = &member{inst: table.Instance{ID: id, Group: g.name()}}
	g.members[id] = m
	at, _ := slices.BinarySearch(g.order, id)
	g.order = slices.Insert(g.order, at, id)
	return m
}

// size returns the expected number of instances, or the number of known ones if
// that is higher.
func (g *group) size() int { return max(g.expected, len(g.members)) }

// plausible reports whether the term of a mark is not too far above the
// committed term.
func (g *group) plausible(m table.Mark) bool {
	return m.Term <= g.agreed.Term+maxTermJump
}

// nextTerm returns a term above all terms that the group has seen.
func (g *group) nextTerm() table.Term {
	term := max(g.agreed.Term+1, g.minTerm)
	for _, id := range g.order {
		if mark := g.members[id].mark(); g.plausible(mark) {
			term = max(term, mark.Term+1)
		}
	}
	return term
}

// mostAdvanced returns the member with the most advanced mark among those that
// accept returns true for, nil if there is none. Members that are not leaving
// are preferred.
func (g *group) mostAdvanced(accept func(*member) bool) *member {
	var best *member
	for _, id := range g.order {
		m := g.members[id]
		if !accept(m) {
			continue
		}
		if best == nil || g.isMoreAdvanced(m, best) {
			best = m
		}
	}
	return best
}

func (g *group) isMoreAdvanced(m, other *member) bool {
	if m.leaving() != other.leaving() {
		return other.leaving()
	}
	return g.entryMark(other.mark()).Less(g.entryMark(m.mark()))
}

// clearSuspicion discards the evidence on the primary.
func (g *group) clearSuspicion() {
	g.suspected = false
	g.moveRequested = false
	clear(g.witnesses)
}

// clearChange discards the state of the change of primary.
func (g *group) clearChange() {
	g.fenced = false
	g.held = false
	g.floorKnown = false
	g.ackedKnown = false
	g.promotion = promotion{}
	for _, m := range g.members {
		m.refill = nil
	}
}

// setAgreed applies the committed state a.
func (g *group) setAgreed(a table.Group) {
	old, wasKnown := g.agreed, g.hasAgreed
	g.agreed, g.hasAgreed = a, true
	g.clearSuspicion()
	if wasKnown && old.Term == a.Term && old.Phase == a.Phase {
		return
	}
	g.stable = false
	g.promotion = promotion{}
	if a.Phase == table.PhaseStable {
		g.settleOrder()
	}
	g.planned = g.planned.carryOver(a)
	// The fence and the floor remain valid for the next candidate as long as no
	// primary can have served in between.
	nextCandidate := wasKnown && old.Phase == table.PhasePromoting && a.Phase == table.PhasePromoting &&
		g.proposal.kind == proposedTerm && g.proposal.term == a.Term &&
		g.primaryProposedTerm != old.Term
	if !nextCandidate {
		g.clearChange()
	}
}

// resetFenceOnPromotion discards the recorded fence of an instance that has
// become primary again, so that the instance can be fenced again.
func (g *group) resetFenceOnPromotion(m *member, before table.Role) {
	if before == table.RoleReplica && m.role() == table.RolePrimary {
		m.fencedTerm = 0
	}
}

// reset discards all state that was collected during an earlier leadership.
func (g *group) reset() {
	g.clearSuspicion()
	g.clearChange()
	g.stable = false
	g.planned = nil
	g.removal = nil
	g.termSeen = 0
	g.proposal = proposal{}
	for _, m := range g.members {
		m.hasReport = false
		m.hasRead = false
		m.knowsConnection = false
		m.fenceSent = false
		m.failedTerm = 0
	}
}
