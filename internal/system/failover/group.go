package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxTermJump bounds how far the term of a report may lie above the agreed
// term: what lies beyond is not believed.
const maxTermJump = 1 << 20

// member is one instance of a group.
type member struct {
	inst      table.Instance // latest announcement
	announced bool
	owner     table.HostID
	epoch     table.Epoch

	reported  bool
	report    Report        // latest report of the owner in force
	downSince time.Duration // while the report says unreachable
	left      bool          // it said that it goes, at leftAt
	leftAt    time.Duration
	read      bool          // whether readAt and readMark are set
	readAt    time.Duration // the latest probe that succeeded began after this moment
	readMark  table.Mark    // what it returned

	reachedAt  time.Duration // a report said reachable at this moment
	fencedTerm table.Term    // it answered a fence of this term
	fenceAt    time.Duration
	fenceSent  bool
	failedIn   table.Term // its promotion in this term was given up
}

// reachable reports whether the owner in force reached the instance last.
func (m *member) reachable() bool { return m.reported && m.report.Reachable }

// mark returns the most advanced mark known of the instance.
func (m *member) mark() table.Mark {
	if m.reported && m.inst.Mark.Less(m.report.Mark) {
		return m.report.Mark
	}
	return m.inst.Mark
}

// role returns the role that the instance reported last.
func (m *member) role() table.Role {
	if m.reported && (m.report.Reachable || m.report.Mark.Term != 0) {
		return m.report.Role
	}
	return m.inst.Role
}

// leaving reports whether the instance said that it is going away.
func (m *member) leaving() bool {
	return m.inst.Leaving || m.reported && m.report.Leaving
}

// readSince reports whether readMark was read after at.
func (m *member) readSince(at time.Duration) bool {
	return m.read && m.readAt >= at
}

// witness is what a host that does not own the primary found.
type witness struct {
	at        time.Duration
	reachable bool
}

// proposal is the command last proposed for a group.
type proposal struct {
	kind      proposalKind
	term      table.Term
	candidate table.InstanceID
	at        time.Duration
}

type proposalKind uint8

const (
	proposedNothing proposalKind = iota
	proposedTerm
	proposedPrimary
)

// group is the soft state of one group at the leader.
type group struct {
	agreed   table.Group
	known    bool // whether agreed is set
	expected int  // instances of the whole group, zero if no document says
	members  map[table.InstanceID]*member
	order    []table.InstanceID // sorted keys of members
	active   bool

	// Evidence on the primary, while suspected.
	suspected   bool
	suspectedAt time.Duration
	witnesses   map[table.HostID]witness
	stable      bool // whether stableAt is set
	stableAt    time.Duration
	moveAt      time.Duration
	moveAsked   bool

	// Change of primary, while PhasePromoting.
	fenced   bool // the owner of the old primary can acknowledge nothing
	fencedAt time.Duration
	// held is set once no replica receives from the old primary: it then
	// acknowledges no write, whatever its owner does.
	held       bool
	heldAt     time.Duration
	termSeen   table.Term // the agreed term that this leader saw at termSeenAt
	termSeenAt time.Duration
	floorKnown bool
	floor      table.Mark // every acknowledged write lies at or below it
	promotion  promotion
	ackedKnown bool
	acked      table.Mark // as the released owner of the old primary stated
	proposal   proposal
	// primaryProposed is the term in which a SetPrimary was proposed last.
	primaryProposed table.Term
	minTerm         table.Term // the next term is at least this

	planned   *switchOver
	departure *departure

	wait      WaitReason
	waitSince time.Duration
}

// promotion is the order to promote the candidate of a term.
type promotion struct {
	term    table.Term
	sent    bool
	firstAt time.Duration
	lastAt  time.Duration
	done    bool
	start   table.Position // position at which the term began
	logTerm table.Term     // of the log, zero without external terms
}

func newGroup(name table.GroupName) *group {
	return &group{
		agreed:    table.Group{Name: name},
		members:   map[table.InstanceID]*member{},
		witnesses: map[table.HostID]witness{},
	}
}

func (g *group) name() table.GroupName { return g.agreed.Name }

// member returns the instance with that name and adds it if it is new.
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

// size returns how many instances the group has when whole.
func (g *group) size() int { return max(g.expected, len(g.members)) }

// plausible reports whether a mark may belong to the group.
func (g *group) plausible(m table.Mark) bool {
	return m.Term <= g.agreed.Term+maxTermJump
}

// nextTerm returns a term above all that the group has seen.
func (g *group) nextTerm() table.Term {
	term := max(g.agreed.Term+1, g.minTerm)
	for _, id := range g.order {
		if mark := g.members[id].mark(); g.plausible(mark) {
			term = max(term, mark.Term+1)
		}
	}
	return term
}

// best returns the member that ok accepts with the most advanced mark. One
// that is not leaving goes before one that is.
func (g *group) best(ok func(*member) bool) *member {
	var best *member
	for _, id := range g.order {
		m := g.members[id]
		if !ok(m) {
			continue
		}
		if best == nil || better(m, best) {
			best = m
		}
	}
	return best
}

func better(m, o *member) bool {
	if m.leaving() != o.leaving() {
		return o.leaving()
	}
	return o.mark().Less(m.mark())
}

// clearSuspicion forgets the evidence on the primary.
func (g *group) clearSuspicion() {
	g.suspected = false
	g.moveAsked = false
	clear(g.witnesses)
}

// clearChange forgets everything about the change of primary under way.
func (g *group) clearChange() {
	g.fenced = false
	g.held = false
	g.floorKnown = false
	g.ackedKnown = false
	g.promotion = promotion{}
}

// adopt takes the agreed state a.
func (g *group) adopt(a table.Group) {
	old, wasKnown := g.agreed, g.known
	g.agreed, g.known = a, true
	g.clearSuspicion()
	if wasKnown && old.Term == a.Term && old.Phase == a.Phase {
		return
	}
	g.stable = false
	g.promotion = promotion{}
	g.planned = g.planned.after(a)
	// The fence and the floor hold on for the next candidate as long as no
	// primary can have served in between.
	next := wasKnown && old.Phase == table.PhasePromoting && a.Phase == table.PhasePromoting &&
		g.proposal.kind == proposedTerm && g.proposal.term == a.Term &&
		g.primaryProposed != old.Term
	if !next {
		g.clearChange()
	}
}

// roleSeen notes that an instance became primary again after a fence.
func (g *group) roleSeen(m *member, before table.Role) {
	if before == table.RoleReplica && m.role() == table.RolePrimary {
		m.fencedTerm = 0
	}
}

// forget drops all that an earlier leadership learned.
func (g *group) forget() {
	g.clearSuspicion()
	g.clearChange()
	g.stable = false
	g.planned = nil
	g.departure = nil
	g.termSeen = 0
	g.proposal = proposal{}
	for _, m := range g.members {
		m.reported = false
		m.read = false
		m.fenceSent = false
		m.failedIn = 0
	}
}
