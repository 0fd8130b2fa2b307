package freshness

import "github.com/amaranthweir/amaranthweir/internal/table"

// historyCapacity is the number of term starts that a History stores.
const historyCapacity = 16

// Verdict tells whether a mark of an older term belongs to the current history.
type Verdict uint8

// The verdicts.
const (
	// Unproven means that a term start after the mark is missing.
	Unproven Verdict = iota
	// Kept means that the mark belongs to the history of the current term.
	Kept
	// Lost means that a later term began below the mark, so that the mark
	// is not part of the history.
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

// History stores the start positions of the latest terms of a group. The zero
// value is empty and ready for use.
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

// Term returns the latest term, zero if none is known.
func (h *History) Term() table.Term {
	if h.count == 0 {
		return 0
	}
	return h.terms[h.count-1]
}

// Check decides whether m belongs to the history of the latest term, which is
// the case if no term after m.Term began below m.Position. A term that began
// below m.Position makes m Lost regardless of later terms.
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
