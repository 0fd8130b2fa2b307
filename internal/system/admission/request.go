package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Request is one statement that asks for a slot. The exported fields are set
// before Offer and not changed until the request has finished or was refused.
type Request struct {
	Class string
	// Rank counts when the class is not declared.
	Rank   config.Rank
	Caller string
	// Deadline is the local moment after which an answer is of no use.
	Deadline time.Duration
	// Expected is the service time; zero means what the class has taken so far.
	Expected time.Duration
	// Continuation is set for a statement of a transaction that runs already.
	// It goes before new work of its rank, for it holds a connection and locks.
	Continuation bool
	// User is not touched.
	User any

	state     state
	cancelled bool
	class     *class
	caller    *caller
	prev      *Request
	next      *Request
	heapPlace int           // place in the heap of start limits
	cost      time.Duration // expected service time
	startBy   time.Duration // latest start that meets the deadline
	wantedBy  time.Duration // latest start that meets the objective, zero if there is none
	startedAt time.Duration
}

// state is where a request stands in its life.
type state uint8

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateDone
)

func (r *Request) before(o *Request) bool { return r.startBy < o.startBy }
func (r *Request) place() int             { return r.heapPlace }
func (r *Request) moved(place int)        { r.heapPlace = place }

// Verdict says what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Start gives the request a slot until Finish.
	Start Verdict = iota
	// Refuse ends the request; no byte of it may have been sent.
	Refuse
)

// Reason says why a request was started or refused. It stands in the log line
// of each decision.
type Reason uint8

// The closed list of reasons.
const (
	// ReasonFree: a slot was free and no work came before.
	ReasonFree Reason = iota
	// ReasonTurn: its turn came after a wait.
	ReasonTurn
	// ReasonFloor: its rank had fallen behind its floor.
	ReasonFloor
	// ReasonTooLate: the deadline cannot be met any more.
	ReasonTooLate
	// ReasonQueueTooLong: the work ahead takes longer than the deadline.
	ReasonQueueTooLong
	// ReasonQueueFull: the caller has its share of a full queue.
	ReasonQueueFull
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonFree:         "free",
	ReasonTurn:         "turn",
	ReasonFloor:        "floor",
	ReasonTooLate:      "too_late",
	ReasonQueueTooLong: "queue_too_long",
	ReasonQueueFull:    "queue_full",
}

// String returns the stable name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Outcome is one decision about a request.
type Outcome struct {
	Request *Request
	Verdict Verdict
	// Kind is the kind of the refusal; it counts when Verdict is Refuse.
	Kind   errkind.Kind
	Reason Reason
}

// list is a queue of requests in order of arrival.
type list struct {
	head, tail *Request
}

func (l *list) push(r *Request) {
	r.prev, r.next = l.tail, nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
}

func (l *list) remove(r *Request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
