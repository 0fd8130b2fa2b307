// Package session holds the session token: for each group that a session has
// used, the latest point of the group's history that the session has seen. A
// caller hands the token from host to host, and each host serves the session
// only from instances that hold these points. The package is pure.
package session

import (
	"cmp"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// MaxGroups is how many groups one session may use.
const MaxGroups = 256

// Token is the decoded token of one session of one service. It is not safe
// for concurrent use.
type Token struct {
	service string
	floors  []floor // ascending by group
}

// floor is what the session has seen of a group.
type floor struct {
	group table.GroupName
	// mark has the highest term and the highest position seen.
	mark table.Mark
	// before is the highest point seen in terms below that of mark, until
	// CheckLost has found that it survived; term zero means none.
	before table.Mark
}

// NewToken returns the token of a session that has seen nothing yet.
func NewToken(service string) *Token { return &Token{service: service} }

// Service returns the service that the token is bound to.
func (t *Token) Service() string { return t.service }

// Floor returns the point that an instance must hold to serve the session,
// and false where the session has not used the group.
func (t *Token) Floor(group table.GroupName) (table.Mark, bool) {
	i, found := t.find(group)
	if !found {
		return table.Mark{}, false
	}
	return t.floors[i].mark, true
}

// Raise records that the session has seen the history of a group up to mark.
// What it has seen of an older term is kept beside until CheckLost has looked
// at it, since a change of primary may have come between the latest check and
// mark. The caller checks for room before it uses a new group.
func (t *Token) Raise(group table.GroupName, mark table.Mark) {
	i, found := t.find(group)
	if !found {
		t.floors = slices.Insert(t.floors, i, floor{group: group, mark: mark})
		return
	}
	f := &t.floors[i]
	if mark.Term != f.mark.Term {
		f.keepBefore(lowerTerm(mark, f.mark))
	}
	f.mark.Term = max(f.mark.Term, mark.Term)
	f.mark.Position = max(f.mark.Position, mark.Position)
}

// keepBefore joins a point of an older term with the one that is kept. If the
// joined point survived then both did.
func (f *floor) keepBefore(m table.Mark) {
	if f.before.Term != 0 {
		m.Term = min(m.Term, f.before.Term)
	}
	f.before = table.Mark{Term: m.Term, Position: max(m.Position, f.before.Position)}
}

// lowerTerm returns the mark with the lower term.
func lowerTerm(a, b table.Mark) table.Mark {
	if a.Term < b.Term {
		return a
	}
	return b
}

// DropFloor drops the floor of a group, after the caller was told of a loss.
func (t *Token) DropFloor(group table.GroupName) {
	if i, found := t.find(group); found {
		t.floors = slices.Delete(t.floors, i, i+1)
	}
}

// CheckCapacity returns an errkind.CallerLimit when the session may not use one
// more group. It is asked before a statement runs.
func (t *Token) CheckCapacity(group table.GroupName) error {
	if _, found := t.find(group); found || len(t.floors) < MaxGroups {
		return nil
	}
	return errkind.New(errkind.CallerLimit, "a session may use %d groups", MaxGroups)
}

// CheckLost returns an errkind.TokenLost when what the session has seen of the
// group is no longer part of its agreed history, or is too old to tell. It is
// asked before each statement, since a term that has not begun yet may lose
// more. A floor of a term above the agreed one is not lost: this host has yet
// to learn of that term.
func (t *Token) CheckLost(group table.GroupName, agreed *table.Group) error {
	i, found := t.find(group)
	if !found {
		return nil
	}
	f := &t.floors[i]
	for _, mark := range []table.Mark{f.before, f.mark} {
		if err := checkSurvived(group, mark, agreed); err != nil {
			return err
		}
	}
	if began(agreed) >= f.mark.Term {
		f.before = table.Mark{}
	}
	return nil
}

// checkSurvived returns an errkind.TokenLost unless mark survived.
func checkSurvived(group table.GroupName, mark table.Mark, agreed *table.Group) error {
	if mark.Term == 0 {
		return nil
	}
	switch survives(mark, agreed) {
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

// began returns the latest term whose start is agreed.
func began(agreed *table.Group) table.Term {
	if agreed.History != (table.TermHistory{}) {
		return agreed.History[0].Term
	}
	if agreed.Phase == table.PhaseStable {
		return agreed.Term
	}
	return 0
}

// survives asks the history of the group, or its current term where none is
// recorded.
func survives(mark table.Mark, agreed *table.Group) table.Survived {
	if agreed.History != (table.TermHistory{}) {
		return agreed.History.Survives(mark)
	}
	if mark.Term < began(agreed) && mark.Position > agreed.TermStart {
		return table.SurvivedNo
	}
	return table.SurvivedYes
}

// find returns the place of a group in the floors.
func (t *Token) find(group table.GroupName) (int, bool) {
	return slices.BinarySearchFunc(t.floors, group, func(f floor, g table.GroupName) int {
		return cmp.Compare(f.group, g)
	})
}
