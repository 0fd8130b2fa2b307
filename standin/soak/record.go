package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

// Span is a time during which a fault lasted.
type Span struct {
	Event      Event
	Begin, End time.Duration
}

// Change is an attempt of an operator to apply a version of the document.
type Change struct {
	Begin, End time.Duration
	Version    uint64
	Digest     string
	Result     ChangeResult
	// InForceVersion and InForceDigest are what a conflict names.
	InForceVersion uint64
	InForceDigest  string
}

// ChangeResult is the answer to a Change.
type ChangeResult uint8

// The results of a change.
const (
	ChangeAccepted ChangeResult = iota
	ChangeConflict
	ChangeUnknown // it may take effect at any time from its begin on
)

// Reading is the version of the document that a host showed.
type Reading struct {
	Host  string
	Start int // counts the processes of the host
	Begin time.Duration
	// Ready reports whether the host was ready before it was asked.
	Ready   bool
	Version uint64
	Digest  string
}

// RoleReading is what an instance said about itself.
type RoleReading struct {
	Group, Instance string
	Begin, End      time.Duration
	Primary         bool
	Term            uint64
}

// TermAck is an acknowledged write and the term that its session token shows.
type TermAck struct {
	Group      string
	Begin, End time.Duration
	Term       uint64
}

// WorkReading is the number of statements that an instance has finished.
type WorkReading struct {
	Instance string
	Begin    time.Duration
	Finished int
}

// Transaction is the rows that one transaction inserts.
type Transaction struct {
	Rows []ledger.Row
	End  time.Duration
}

// Cut is a write whose connection ended without an answer. No other request inserts its
// row.
type Cut struct {
	Host       string
	Begin, End time.Duration
	Row        ledger.Row
}

// History is what a run recorded. All times are measured from the start of the load.
type History struct {
	*ledger.History
	Faults       []Span
	Changes      []Change
	Readings     []Reading
	Roles        []RoleReading
	Acks         []TermAck
	Work         []WorkReading
	Transactions []Transaction
	Cuts         []Cut
	// Healed is when the last fault ended.
	Healed time.Duration
	// Problems are violations that the run saw without a checker.
	Problems []string
}

// recorder collects a History. It is safe for concurrent use.
type recorder struct {
	ledger *ledger.Ledger
	begin  time.Time

	mu   sync.Mutex
	hist History
}

func newRecorder() *recorder { return &recorder{ledger: ledger.New(), begin: time.Now()} }

// start sets the origin of all times.
func (r *recorder) start() { r.begin = time.Now() }

func (r *recorder) now() time.Duration { return time.Since(r.begin) }

// add changes the history under the lock.
func (r *recorder) add(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.hist)
}

func (r *recorder) problem(format string, args ...any) {
	r.add(func(h *History) { h.Problems = append(h.Problems, fmt.Sprintf(format, args...)) })
}

// servedSince reports whether each group has acknowledged a write that began after t.
func (r *recorder) servedSince(t time.Duration, groups []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := map[string]bool{}
	for _, a := range r.hist.Acks {
		served[a.Group] = served[a.Group] || a.Begin > t
	}
	return !slices.ContainsFunc(groups, func(g string) bool { return !served[g] })
}

// history returns the history after the end of the load.
func (r *recorder) history(rows map[ledger.Row]int, healed time.Duration) *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hist
	h.History, h.Healed = r.ledger.History(rows), healed
	return &h
}
