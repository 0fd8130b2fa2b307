// Package ledger keeps what callers saw of a service under load, and judges
// the promises of the service by it. The verdicts are pure functions over a
// recorded history.
package ledger

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// KindRanTwice is the kind of an outcome whose row was there before: its
// request ran twice, for no other request inserts that row.
const KindRanTwice = "duplicate_key"

// KindNoAnswer is the kind of an outcome without an error answer of a host.
const KindNoAnswer = "no_answer"

// duplicateKey is the SQLSTATE of a row that is there already.
const duplicateKey = "23505"

// Outcome is how a request ended. The zero value is an answer without error.
type Outcome struct {
	Kind   string // of the error, or empty
	Effect errkind.Effect
}

// Acknowledged is the outcome of a request that was answered without error.
var Acknowledged = Outcome{Effect: errkind.Ran}

// OK reports whether the request was answered without error.
func (o Outcome) OK() bool { return o.Kind == "" }

// NotRun reports whether the caller was told that the request did not run.
func (o Outcome) NotRun() bool { return !o.OK() && o.Effect == errkind.NotRun }

// Unsettled reports whether a repeat under the same request id may tell more.
func (o Outcome) Unsettled() bool {
	return !o.OK() && o.Effect == errkind.Unknown && o.Kind != KindRanTwice
}

// OutcomeOf reads the kind and the effect from the detail of an error answer.
// An error without them, or no answer, leaves the effect unknown.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Acknowledged
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return Outcome{KindNoAnswer, errkind.Unknown}
	}
	if pg.Code == duplicateKey {
		return Outcome{KindRanTwice, errkind.Unknown}
	}
	text, ok := strings.CutPrefix(pg.Detail, "kind: ")
	kind, effect, _ := strings.Cut(text, "; effect: ")
	if !ok {
		return Outcome{"sqlstate_" + pg.Code, errkind.Unknown}
	}
	if effect == errkind.NotRun.String() {
		return Outcome{kind, errkind.NotRun}
	}
	return Outcome{kind, errkind.Unknown}
}

// MergeOutcomes joins the outcome of a request with that of its repeat under the same
// request id. What was acknowledged stays so, unless the repeat shows that it
// ran twice. A repeat that was not run says nothing about the first attempt.
func MergeOutcomes(first, again Outcome) Outcome {
	if again.Kind != KindRanTwice && (first.OK() || again.NotRun()) {
		return first
	}
	return again
}

// Op is what a request does, as far as the verdicts need to know.
type Op uint8

// The operations.
const (
	OpWrite         Op = iota // inserts a row that no other request inserts
	OpRead                    // looks for a row
	OpHeartbeat               // sets the counter of a row to a number above all before
	OpHeartbeatRead           // reads the counter of a row
)

// Row names a row of a group.
type Row struct{ Group, Table, Key string }

// Record is one request and its end. Times are since the start of the run, on
// a monotonic clock.
type Record struct {
	Op      Op
	Class   string
	Rank    config.Rank
	Session int // the caller; requests of one session do not overlap
	// Shard is the routing key of the request.
	Shard string
	// Row is written, looked for or carries the counter; its key is empty when
	// a read looks for no particular row.
	Row       Row
	Outcome   Outcome
	Intended  time.Duration // when the request should have been sent
	Begin     time.Duration // when it was sent
	End       time.Duration // when its answer was there
	Found     bool          // of OpRead: the row was in the answer
	Counter   int64         // of the heartbeat operations
	Staleness time.Duration // of reads: how old the answer may be
}

// Ledger collects records. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	records  []Record
	refusals map[string]int
	repeats  Repeats
	counts   Counts
}

// Repeats counts the writes that were sent again under their request id.
type Repeats struct {
	Sent    int `json:"sent"`
	Settled int `json:"settled"` // outcome unknown at first, acknowledged now
	// AfterAck counts those that had been acknowledged before.
	AfterAck int `json:"after_acknowledgement"`
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{refusals: map[string]int{}} }

// Add adds a request that has ended.
func (l *Ledger) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	l.counts.Add(r.Outcome)
}

// CountRefusal counts a refusal that belongs to no request, such as a connection
// that could not be opened.
func (l *Ledger) CountRefusal(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[kind]++
}

// Repeated counts a repeat of a write.
func (l *Ledger) Repeated(first, again Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats.Sent++
	switch {
	case first.OK():
		l.repeats.AfterAck++
	case again.OK():
		l.repeats.Settled++
	}
}

// History returns what was collected so far, with the number of times each
// written row was found at the end.
func (l *Ledger) History(there map[Row]int) *History {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &History{Records: slices.Clip(l.records), There: there, Refusals: maps.Clone(l.refusals), Repeats: l.repeats}
}

// Writes returns the records of OpWrite so far.
func (l *Ledger) Writes() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var writes []Record
	for _, r := range l.records {
		if r.Op == OpWrite {
			writes = append(writes, r)
		}
	}
	return writes
}

// Counts are the requests so far by what their callers know.
type Counts struct{ OK, NotRun, Unknown int }

// Count counts the requests so far.
func (l *Ledger) Count() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Add counts one request.
func (c *Counts) Add(o Outcome) {
	switch {
	case o.OK():
		c.OK++
	case o.NotRun():
		c.NotRun++
	default:
		c.Unknown++
	}
}
