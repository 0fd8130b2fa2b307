// Package session implements the session token. For each group that a session
// has used, the token holds the latest position in the history of the group
// that the session has seen. A caller carries the token from host to host, and
// each host serves the session only from instances that hold these positions.
// The package does no I/O.
package session

import (
	"cmp"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// MaxGroups is the maximum number of groups that one session may use.
const MaxGroups = 256

// Token is the decoded token of one session of one service. It is not safe
// for concurrent use.
type Token struct {
	service string
	floors  []floor // ascending by group
}

// floor records what the session has seen of one group.
type floor struct {
	group table.GroupName
	// mark combines the highest term and the highest position seen.
	mark table.Mark
	// olderMark is the highest mark seen in terms before that of mark, until
	// CheckLost has found that it survived. Its term is zero if there is none.
	olderMark table.Mark
}

// NewToken returns the token of a session that has not seen any group yet.
func NewToken(service string) *Token { return &Token{service: service} }

// Service returns the service to which the token is bound.
func (t *Token) Service() string { return t.service }

// Floor returns the mark that an instance must hold to serve the session, or
// false if the session has not used the group.
func (t *Token) Floor(group table.GroupName) (table.Mark, bool) {
	i, found := t.find(group)
	if !found {
		return table.Mark{}, false
	}
	return t.floors[i].mark, true
}

// Raise records that the session has seen the history of a group up to mark.
// What the session has seen in an older term is kept separately until CheckLost
// has checked it, because the primary may have changed between the last check
// and mark. Call CheckCapacity before using a new group.
func (t *Token) Raise(group table.GroupName, mark table.Mark) {
	i, found := t.find(group)
	if !found {
		t.floors = slices.Insert(t.floors, i, floor{group: group, mark: mark})
		return
	}
	f := &t.floors[i]
	if mark.Term != f.mark.Term {
		f.mergeOlder(lowerTerm(mark, f.mark))
	}
	f.mark.Term = max(f.mark.Term, mark.Term)
	f.mark.Position = max(f.mark.Position, mark.Position)
}

// mergeOlder merges a mark of an older term into olderMark. If the merged mark
// survived, so did both of its parts.
func (f *floor) mergeOlder(m table.Mark) {
	if f.olderMark.Term != 0 {
		m.Term = min(m.Term, f.olderMark.Term)
	}
	f.olderMark = table.Mark{Term: m.Term, Position: max(m.Position, f.olderMark.Position)}
}

// lowerTerm returns the mark with the lower term.
func lowerTerm(a, b table.Mark) table.Mark {
	if a.Term < b.Term {
		return a
	}
	return b
}

// DropFloor removes the floor of a group. It is called after CheckLost has
// returned an error, so that each loss is reported at most once.
func (t *Token) DropFloor(group table.GroupName) {
	if i, found := t.find(group); found {
		t.floors = slices.Delete(t.floors, i, i+1)
	}
}

// CheckCapacity returns an errkind.CallerLimit if the session has reached the
// maximum number of groups and does not use this one yet. It is called before a
// statement runs.
func (t *Token) CheckCapacity(group table.GroupName) error {
	if _, found := t.find(group); found || len(t.floors) < MaxGroups {
		return nil
	}
	return errkind.New(errkind.CallerLimit, "a session may use %d groups", MaxGroups)
}

// CheckLost returns an errkind.TokenLost if what the session has seen of the
// group is no longer part of the committed history of the group, or if that
// history does not go back far enough to decide. It is called before each
// statement, because a term that begins later may lose more. A floor in a term
// above the committed one is not lost: this host has not learned of that term yet.
func (t *Token) CheckLost(group table.GroupName, agreed *table.Group) error {
	i, found := t.find(group)
	if !found {
		return nil
	}
	f := &t.floors[i]
	for _, mark := range []table.Mark{f.olderMark, f.mark} {
		if err := checkSurvived(group, mark, agreed); err != nil {
			return err
		}
	}
	if latestBegunTerm(agreed) >= f.mark.Term {
		f.olderMark = table.Mark{}
	}
	return nil
}

// checkSurvived returns an errkind.TokenLost unless mark is known to have
// survived.
func checkSurvived(group table.GroupName, mark table.Mark, agreed *table.Group) error {
	if mark.Term == 0 {
		return nil
	}
	switch survival(mark, agreed) {
	case table.SurvivedYes:
		return nil
	case table.SurvivedNo:
		return errkind.New(errkind.TokenLost, "group %s: position %d of term %d was lost with that term",
			group, mark.Position, mark.Term)
	default:
		return errkind.New(errkind.TokenLost, "group %s: more than %d terms have begun since term %d",
			group, table.MaxTermBegins, mark.Term)
	}
}

// latestBegunTerm returns the latest term whose start is committed, or zero.
func latestBegunTerm(agreed *table.Group) table.Term {
	if agreed.History != (table.TermHistory{}) {
		return agreed.History[0].Term
	}
	if agreed.Phase == table.PhaseStable {
		return agreed.Term
	}
	return 0
}

// survival reports whether a mark survived, according to the history of the
// group, or to the start of its current term if no history is recorded.
func survival(mark table.Mark, agreed *table.Group) table.Survived {
	if agreed.History != (table.TermHistory{}) {
		return agreed.History.Survives(mark)
	}
	if mark.Term < latestBegunTerm(agreed) && mark.Position > agreed.TermStart {
		return table.SurvivedNo
	}
	return table.SurvivedYes
}

// find returns the index of a group in the floors and whether the group is
// there. If it is not, the index is where to insert it.
func (t *Token) find(group table.GroupName) (int, bool) {
	return slices.BinarySearchFunc(t.floors, group, func(f floor, g table.GroupName) int {
		return cmp.Compare(f.group, g)
	})
}
