package table

import "encoding/json"

// MaxTermBegins is the number of latest terms of a group whose start positions
// are kept.
const MaxTermBegins = 16

// TermBegin is the log position at which a term began. The log of older terms
// beyond that position was lost.
type TermBegin struct {
	Term  Term     `json:"term"`
	Start Position `json:"start"`
}

// TermHistory holds the start positions of the latest terms, newest first.
// Unused entries have term zero. Terms that never had a primary are left out.
type TermHistory [MaxTermBegins]TermBegin

// Add inserts a new term at the front and drops the oldest entry. It ignores a
// term that is not higher than the newest one.
func (h *TermHistory) Add(term Term, start Position) {
	if term <= h[0].Term {
		return
	}
	copy(h[1:], h[:])
	h[0] = TermBegin{Term: term, Start: start}
}

// Survived tells whether a write of a past term is still part of the log.
type Survived uint8

// The results of Survives.
const (
	SurvivedYes Survived = iota
	SurvivedNo
	// SurvivedUnknown means that more terms have begun since the mark than are
	// kept.
	SurvivedUnknown
)

// Survives reports whether the log up to m is still part of the group's history:
// no later term began at a position before m.
func (h *TermHistory) Survives(m Mark) Survived {
	for _, b := range h {
		if b.Term <= m.Term {
			return SurvivedYes
		}
		if b.Start < m.Position {
			return SurvivedNo
		}
	}
	return SurvivedUnknown
}

// Surviving returns the end of the part of a log up to m that is still part of the
// group's history: m, or the start of the later term that began before m.
func (h *TermHistory) Surviving(m Mark) Mark {
	for _, b := range h {
		if b.Term <= m.Term {
			break
		}
		m.Position = min(m.Position, b.Start)
	}
	return m
}

// EntryMark returns the mark of the log entry at m.Position: in the term that wrote
// the entry. It differs from m for an instance that has followed a newer term but
// holds no entry of it yet. Terms above the newest one of h are returned as they
// are, and entries from before the oldest one count as written in that one.
func (h *TermHistory) EntryMark(m Mark) Mark {
	if m.Term > h[0].Term {
		return m
	}
	for _, b := range h {
		if b.Term == 0 {
			break
		}
		if b.Term <= m.Term {
			m.Term = b.Term
		}
		if b.Term <= m.Term && b.Start < m.Position {
			break
		}
	}
	return m
}

// MarshalJSON encodes the used entries only.
func (h TermHistory) MarshalJSON() ([]byte, error) {
	used := []TermBegin{}
	for _, b := range h {
		if b.Term > 0 {
			used = append(used, b)
		}
	}
	return json.Marshal(used)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (h *TermHistory) UnmarshalJSON(src []byte) error {
	var used []TermBegin
	if err := json.Unmarshal(src, &used); err != nil {
		return err
	}
	*h = TermHistory{}
	copy(h[:], used)
	return nil
}

// Holds reports whether an instance at m holds the log up to o. The result is
// valid only if o is still part of the group's history. A higher term alone is
// not enough, because a replica may know the term and still lag behind the
// position.
func (m Mark) Holds(o Mark) bool {
	return m.Term >= o.Term && m.Position >= o.Position
}
