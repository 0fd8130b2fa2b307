package freshness

import "github.com/amaranthweir/amaranthweir/internal/table"

// historyCapacity is how many changes of term a History remembers.
const historyCapacity = 16

// Verdict says what is known about a mark of an older term.
type Verdict uint8

// The verdicts.
const (
	// Unproven means that a term start between the mark and now is not known.
	Unproven Verdict = iota
	// Kept means that the mark belongs to the history of the current term.
	Kept
	// Lost means that a later term began below the mark.
	Lost
)

// String returns the name of the verdict for log lines.
func (v Verdict) String() string {
	switch v {
	case Kept:
		return "kept"
	case Lost:
		return "lost"
	default:
		return "unproven"
	}
}

// History remembers at which positions the latest terms of a group began. The
// zero value knows nothing.
type History struct {
	terms  [historyCapacity]table.Term
	starts [historyCapacity]table.Position
	count  int
}

// Set records that term began at start. Terms at or below the latest one are
// ignored.
func (h *History) Set(term table.Term, start table.Position) {
	if term <= h.Term() {
		return
	}
	if h.count == historyCapacity {
		copy(h.terms[:], h.terms[1:])
		copy(h.starts[:], h.starts[1:])
		h.count--
	}
	h.terms[h.count] = term
	h.starts[h.count] = start
	h.count++
}

// Term returns the latest term, zero when none is known.
func (h *History) Term() table.Term {
	if h.count == 0 {
		return 0
	}
	return h.terms[h.count-1]
}

// Check says whether m belongs to the history of the latest term. It does
// when no term after m.Term began below m.Position; one that did has cut it
// off for good, whatever the terms after it hold.
func (h *History) Check(m table.Mark) Verdict {
	if h.count == 0 || m.Term > h.Term() {
		return Unproven
	}
	known := table.Term(0)
	for i := h.count - 1; i >= 0 && h.terms[i] > m.Term; i-- {
		if h.starts[i] < m.Position {
			return Lost
		}
		known++
	}
	if known == h.Term()-m.Term {
		return Kept
	}
	return Unproven
}
