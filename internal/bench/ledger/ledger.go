// Package ledger records the requests that callers sent to a service under load
// and checks the promises of the service against this history. The checks are pure
// functions of the recorded history.
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

// KindRanTwice is the outcome kind of a write that found its row already present. The
// write must have run before, because no other request inserts that row.
const KindRanTwice = "duplicate_key"

// KindNoAnswer is the kind of a failed request for which no host returned an
// error.
const KindNoAnswer = "no_answer"

// duplicateKey is the SQLSTATE of a unique violation.
const duplicateKey = "23505"

// Outcome describes how a request ended. An empty Kind is an answer without error.
type Outcome struct {
	Kind   string // kind of the error, or empty
	Effect errkind.Effect
}

// Acknowledged is the outcome of a request that was answered without error.
var Acknowledged = Outcome{Effect: errkind.Ran}

// OK reports whether the request was answered without error.
func (o Outcome) OK() bool { return o.Kind == "" }

// NotRun reports whether the request failed with an error that states that it did
// not run.
func (o Outcome) NotRun() bool { return !o.OK() && o.Effect == errkind.NotRun }

// Unsettled reports whether the outcome is unknown and a repeat under the same
// request id may resolve it.
func (o Outcome) Unsettled() bool {
	return !o.OK() && o.Effect == errkind.Unknown && o.Kind != KindRanTwice
}

// OutcomeOf returns the outcome for the error of a request. It parses the kind and
// the effect from the detail of a PostgreSQL error. The effect is unknown if the
// error has no such detail or no host answered.
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

// MergeOutcomes combines the outcome of a request with the outcome of its repeat
// under the same request id. An acknowledged request stays acknowledged, unless the
// repeat shows that it ran twice. A repeat that did not run says nothing about the
// first attempt.
func MergeOutcomes(first, repeat Outcome) Outcome {
	if repeat.Kind != KindRanTwice && (first.OK() || repeat.NotRun()) {
		return first
	}
	return repeat
}

// Op is the operation of a request, as the verdicts distinguish them.
type Op uint8

// The operations.
const (
	OpWrite         Op = iota // inserts a row that no other request inserts
	OpRead                    // looks for a row
	OpHeartbeat               // sets the counter of a row to a higher number than every earlier one
	OpHeartbeatRead           // reads the counter of a row
)

// Row identifies a row in a group.
type Row struct{ Group, Table, Key string }

// Record describes one finished request. Its times are measured from the start of
// the run on a monotonic clock.
type Record struct {
	Op      Op
	Class   string
	Rank    config.Rank
	Session int // the caller; requests of one session do not overlap
	// RoutingKey is the routing key of the request.
	RoutingKey string
	// Row is the row that the request inserts or looks for, or whose counter it
	// sets or reads. Its key is empty if a read looks for no particular row, or if
	// the request failed before a row was chosen.
	Row       Row
	Outcome   Outcome
	Intended  time.Duration // when the request should have been sent
	Begin     time.Duration // when it was sent
	End       time.Duration // when its answer arrived
	Found     bool          // for OpRead: whether the answer contained the row
	Counter   int64         // for the heartbeat operations
	Staleness time.Duration // for reads: how old the answer may be
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
	Settled int `json:"settled"` // the outcome was unknown, the repeat was acknowledged
	// AfterAck counts the repeats of writes that had been acknowledged.
	AfterAck int `json:"after_acknowledgement"`
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{refusals: map[string]int{}} }

// Add records a finished request.
func (l *Ledger) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	l.counts.Add(r.Outcome)
}

// CountRefusal counts a refusal that does not belong to a recorded request, such as
// a connection that could not be opened.
func (l *Ledger) CountRefusal(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[kind]++
}

// CountRepeat counts a repeat of a write. It takes the outcome before the repeat and
// the outcome of the repeat.
func (l *Ledger) CountRepeat(first, repeat Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats.Sent++
	switch {
	case first.OK():
		l.repeats.AfterAck++
	case repeat.OK():
		l.repeats.Settled++
	}
}

// History returns the history so far. The row counts say how often each written row
// was found after the load.
func (l *Ledger) History(rowCounts map[Row]int) *History {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &History{Records: slices.Clip(l.records), RowCounts: rowCounts, Refusals: maps.Clone(l.refusals), Repeats: l.repeats}
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

// Counts holds the number of requests by outcome.
type Counts struct{ OK, NotRun, Unknown int }

// Count returns the number of requests so far, by outcome.
func (l *Ledger) Count() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Add counts one request with the outcome.
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
