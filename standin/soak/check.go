package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

const (
	// inForceBound is how long after its acknowledgement a document is in force at
	// every host.
	inForceBound = 10 * time.Second
	// recoverBound is how long a change of primary takes at most, and so the time until
	// each group acknowledges writes again once no fault lasts.
	recoverBound = 16 * time.Second
	// leaveBound is how long after it announced that it leaves an instance gets work.
	leaveBound = 5 * time.Second
	// stopMargin is the time around a stop in which another fault of the host may be why
	// a connection ended.
	stopMargin = 2 * time.Second
	// maxEvidence bounds the examples of a verdict.
	maxEvidence = 5
)

// tally accumulates a verdict.
type tally struct{ v ledger.Verdict }

func newTally(promise string) *tally { return &tally{ledger.Verdict{Promise: promise}} }

// check counts a check and, unless kept, a violation with its description.
func (t *tally) check(kept bool, format string, args ...any) {
	t.v.Checked++
	if kept {
		return
	}
	t.v.Failed++
	if len(t.v.Evidence) < maxEvidence {
		t.v.Evidence = append(t.v.Evidence, fmt.Sprintf(format, args...))
	}
}

func (t *tally) verdict() ledger.Verdict {
	t.v.Result = ledger.Kept
	if t.v.Checked == 0 {
		t.v.Result = ledger.NotChecked
	}
	if t.v.Failed > 0 {
		t.v.Result = ledger.Broken
	}
	return t.v
}

// Verdicts checks every promise.
func (h *History) Verdicts() []ledger.Verdict {
	return append(h.History.Verdicts(),
		h.transactionsWhole(), h.onePrimary(), h.noOldPrimary(), h.changesInOrder(),
		h.neverReverts(), h.inForce(), h.leaving(), h.stopsWhole(), h.recovers(), h.others())
}

// transactionsWhole checks that the rows of each transaction are there together or not
// at all.
func (h *History) transactionsWhole() ledger.Verdict {
	t := newTally("a transaction is there as a whole or not at all")
	for _, tx := range h.Transactions {
		counts := make([]int, len(tx.Rows))
		for i, row := range tx.Rows {
			counts[i] = h.RowCounts[row]
		}
		t.check(slices.Min(counts) == slices.Max(counts), "transaction ended at %v: its rows %v are there %v times", tx.End, tx.Rows, counts)
	}
	return t.verdict()
}

// groupTerm is a term of a group.
type groupTerm struct {
	group string
	term  uint64
}

// onePrimary checks that no two instances are the primary of one term.
func (h *History) onePrimary() ledger.Verdict {
	t := newTally("each term has one primary")
	primaries := map[groupTerm]string{}
	for _, r := range h.Roles {
		if !r.Primary {
			continue
		}
		key := groupTerm{r.Group, r.Term}
		other, known := primaries[key]
		primaries[key] = r.Instance
		t.check(!known || other == r.Instance, "%v: %s and %s are the primary of term %d", r.Begin, other, r.Instance, r.Term)
	}
	return t.verdict()
}

// noOldPrimary checks that the terms of acknowledged writes and the promotions of each
// group are linearizable: no write that began after a promotion took effect carries an
// earlier term.
func (h *History) noOldPrimary() ledger.Verdict {
	t := newTally("no write is acknowledged by an old primary (promotions linearizable)")
	operations := map[string][]operation{}
	promoted := map[groupTerm]bool{}
	for group, list := range h.promotions(promoted) {
		operations[group] = append(operations[group], list...)
	}
	for _, a := range h.Acks {
		if key := (groupTerm{a.Group, a.Term}); !promoted[key] {
			// The promotion took place between two readings of the role.
			promoted[key] = true
			operations[a.Group] = append(operations[a.Group], operation{end: never, optional: true, apply: promote(a.Term)})
		}
		operations[a.Group] = append(operations[a.Group], operation{begin: a.Begin, end: a.End, apply: readTerm(a.Term)})
	}
	checked := 0
	for _, group := range slices.Sorted(maps.Keys(operations)) {
		checked += len(operations[group])
		t.check(linearizable("0", operations[group]), "group %s: no order of its %d promotions and writes agrees with the times and terms", group, len(operations[group]))
	}
	t.v.Checked = checked
	return t.verdict()
}

// promotions returns the promotions of each group, from the readings of the roles: a
// promotion took effect after the instance was last seen without the term and before it
// was first seen with it. It enters the terms into promoted.
func (h *History) promotions(promoted map[groupTerm]bool) map[string][]operation {
	operations := map[string][]operation{}
	seen := map[string]time.Duration{}
	for _, r := range h.Roles {
		key := groupTerm{r.Group, r.Term}
		if r.Primary && !promoted[key] {
			promoted[key] = true
			operations[r.Group] = append(operations[r.Group], operation{begin: seen[r.Instance], end: r.End, apply: promote(r.Term)})
		}
		seen[r.Instance] = r.Begin
	}
	return operations
}

func promote(term uint64) func(string) (string, bool) {
	return func(state string) (string, bool) {
		current, _ := strconv.ParseUint(state, 10, 64) // states are made here
		return strconv.FormatUint(term, 10), current < term
	}
}

func readTerm(term uint64) func(string) (string, bool) {
	text := strconv.FormatUint(term, 10)
	return func(state string) (string, bool) { return state, state == text }
}

// changesInOrder checks that the changes of the document are linearizable as a register
// that accepts the next version only.
func (h *History) changesInOrder() ledger.Verdict {
	t := newTally("changes of the document take effect in one order (linearizable)")
	var operations []operation
	for _, c := range h.Changes {
		o := operation{begin: c.Begin, end: c.End, apply: c.apply}
		if c.Result == ChangeUnknown {
			o.end, o.optional = never, true
		}
		operations = append(operations, o)
	}
	if len(operations) > 0 {
		t.check(linearizable("", operations), "no order of the %d changes agrees with their times and answers: %+v", len(operations), h.Changes)
		t.v.Checked = len(operations)
	}
	return t.verdict()
}

// apply applies the change to a state: the digests of the accepted versions from version
// 2 on, each followed by a space.
func (c Change) apply(state string) (string, bool) {
	digests := strings.Fields(state)
	newest := uint64(len(digests)) + 1
	known := func(version uint64, digest string) bool {
		return version == 1 || version <= newest && digests[version-2] == digest
	}
	switch {
	case c.Result == ChangeConflict:
		refused := c.Version != newest+1 && (c.Version > newest || !known(c.Version, c.Digest))
		return state, refused && c.InForceVersion == newest && known(newest, c.InForceDigest)
	case c.Version == newest+1:
		return state + c.Digest + " ", true
	default:
		return state, c.Version <= newest && known(c.Version, c.Digest)
	}
}

// neverReverts checks that the version that a process shows never falls, nor that of a
// host that is ready, also after it was started again.
func (h *History) neverReverts() ledger.Verdict {
	t := newTally("a document in force never reverts")
	type process struct {
		host  string
		start int
	}
	shown, ready := map[process]uint64{}, map[string]uint64{}
	for _, r := range h.Readings {
		p := process{r.Host, r.Start}
		t.check(r.Version >= shown[p], "%s at %v shows version %d after %d", r.Host, r.Begin, r.Version, shown[p])
		shown[p] = max(shown[p], r.Version)
		if r.Ready {
			t.check(r.Version >= ready[r.Host], "%s, ready at %v, shows version %d after %d", r.Host, r.Begin, r.Version, ready[r.Host])
			ready[r.Host] = max(ready[r.Host], r.Version)
		}
	}
	return t.verdict()
}

// inForce checks that each accepted change is in force at every host that is ready, and
// that this takes at most inForceBound in which no fault of a host or a link lasts.
func (h *History) inForce() ledger.Verdict {
	t := newTally(fmt.Sprintf("an accepted document is in force everywhere within %v", inForceBound))
	for _, c := range h.Changes {
		if c.Result != ChangeAccepted {
			continue
		}
		due := h.afterCalm(c.End, inForceBound, Kind.harmsHosts)
		for _, r := range h.Readings {
			if r.Begin > due && r.Ready {
				t.check(r.Version >= c.Version, "%s at %v shows version %d, but %d was accepted at %v", r.Host, r.Begin, r.Version, c.Version, c.End)
			}
		}
	}
	return t.verdict()
}

// harmsHosts reports whether the fault can keep a host from learning of a change.
func (k Kind) harmsHosts() bool {
	return k.isFault() && k != InstPause && k != InstKill && k != InstLeave
}

// afterCalm returns the end of the first time of the given length, from begin on, in
// which no fault that counts lasts.
func (h *History) afterCalm(begin, length time.Duration, counts func(Kind) bool) time.Duration {
	faults := slices.Clone(h.Faults)
	slices.SortFunc(faults, func(a, b Span) int { return int(a.Begin - b.Begin) })
	for _, f := range faults {
		if counts(f.Event.Kind) && f.End >= begin && f.Begin <= begin+length {
			begin = f.End
		}
	}
	return begin + length
}

// leaving checks that an instance gets no new work once it has announced for leaveBound
// that it leaves.
func (h *History) leaving() ledger.Verdict {
	t := newTally(fmt.Sprintf("a leaving upstream gets no new work after %v", leaveBound))
	for _, f := range h.Faults {
		if f.Event.Kind != InstLeave {
			continue
		}
		first := -1
		for _, w := range h.Work {
			if w.Instance != f.Event.Target || w.Begin < f.Begin+leaveBound || w.Begin > f.End-observeInterval {
				continue
			}
			if first < 0 {
				first = w.Finished
				continue
			}
			t.check(w.Finished == first, "%s leaves since %v and has finished %d statements more by %v", w.Instance, f.Begin, w.Finished-first, w.Begin)
		}
	}
	return t.verdict()
}

// stopsWhole checks that a host that stops answers what it has read: no write took effect
// whose connection ended without an answer, during a stop beside which neither the host
// nor one of its links had a fault.
func (h *History) stopsWhole() ledger.Verdict {
	t := newTally("a planned stop of a host cuts no request")
	for _, f := range h.Faults {
		if f.Event.Kind != HostStop || h.disturbed(f) {
			continue
		}
		t.check(true, "")
		for _, c := range h.Cuts {
			if c.Host == f.Event.Target && c.End > f.Begin && c.Begin < f.End && h.RowCounts[c.Row] > 0 {
				t.check(false, "%s stopped at %v: the write of %v at %v took effect and got no answer", c.Host, f.Begin, c.Row, c.Begin)
			}
		}
	}
	return t.verdict()
}

// disturbed reports whether another fault of the host or its links lasted within
// stopMargin of the stop.
func (h *History) disturbed(stop Span) bool {
	return slices.ContainsFunc(h.Faults, func(f Span) bool {
		return f != stop && f.Event.Kind.isFault() && strings.Contains(f.Event.Target, stop.Event.Target) &&
			f.Begin <= stop.End+stopMargin && f.End >= stop.Begin-stopMargin
	})
}

// recovers checks that each group acknowledges a write within recoverBound after the
// last fault.
func (h *History) recovers() ledger.Verdict {
	t := newTally(fmt.Sprintf("each group serves writes again within %v of the last fault", recoverBound))
	groups := map[string]bool{}
	for _, r := range h.Records {
		groups[r.Row.Group] = true
	}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		gap, found := h.GapAfter(h.Healed, group)
		t.check(found && gap <= recoverBound, "%s: acknowledged a write %v after the last fault (found: %v)", group, gap, found)
	}
	return t.verdict()
}

// others counts the violations that were seen without a checker.
func (h *History) others() ledger.Verdict {
	t := newTally("all processes run and the deployment becomes whole again")
	t.check(true, "")
	for _, p := range h.Problems {
		t.check(false, "%s", p)
	}
	return t.verdict()
}
