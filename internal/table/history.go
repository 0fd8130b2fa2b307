package table

import "encoding/json"

// MaxTermBegins is how many of the latest terms of a group keep the position
// at which they began.
const MaxTermBegins = 16

// TermBegin is the position at which a term began. What an older term holds
// beyond it was lost.
type TermBegin struct {
	Term  Term     `json:"term"`
	Start Position `json:"start"`
}

// TermHistory holds where the latest terms began, newest first. Unused places
// have term zero. Terms that never had a primary are not in it.
type TermHistory [MaxTermBegins]TermBegin

// Add puts the newest term in front and drops the oldest one. A term that is
// not above the newest changes nothing.
func (h *TermHistory) Add(term Term, start Position) {
	if term <= h[0].Term {
		return
	}
	copy(h[1:], h[:])
	h[0] = TermBegin{Term: term, Start: start}
}

// Survived says what of a past term is still part of the history.
type Survived uint8

// The answers about a past point.
const (
	SurvivedYes Survived = iota
	SurvivedNo
	// SurvivedUnknown means that more terms have begun since than are kept.
	SurvivedUnknown
)

// Survives reports whether what m names is still part of the history: no later
// term began before it.
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

// MarshalJSON writes the used places only.
func (h TermHistory) MarshalJSON() ([]byte, error) {
	used := []TermBegin{}
	for _, b := range h {
		if b.Term > 0 {
			used = append(used, b)
		}
	}
	return json.Marshal(used)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (h *TermHistory) UnmarshalJSON(src []byte) error {
	var used []TermBegin
	if err := json.Unmarshal(src, &used); err != nil {
		return err
	}
	*h = TermHistory{}
	copy(h[:], used)
	return nil
}

// Holds reports whether an instance at m holds all that o names, provided that
// o survived. A later term alone is not enough: a replica may know of the term
// and still lag behind the position.
func (m Mark) Holds(o Mark) bool {
	return m.Term >= o.Term && m.Position >= o.Position
}
