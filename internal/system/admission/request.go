package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Request is one statement that asks for a slot. The exported fields are set
// before Offer and do not change until the request has finished or was refused.
type Request struct {
	Class string
	// Rank applies if the class is not declared.
	Rank config.Rank
	// Workspace is the workspace of the caller, or empty.
	Workspace string
	Caller    string
	// Deadline is the local time after which an answer is useless.
	Deadline time.Duration
	// Expected is the expected service time. Zero selects the smoothed service
	// time of the class.
	Expected time.Duration
	// Continuation marks a statement of a transaction that is already running.
	// It is served before new work of its rank because the transaction holds a
	// connection and locks.
	Continuation bool
	// User holds data of the code that offers the request. The package does not
	// use it.
	User any

	state            state
	cancelled        bool
	class            *class
	workspace        *flow
	caller           *flow
	share            *share
	prev             *Request
	next             *Request
	heapIndex        int           // index in the heap Queue.byStartLimit
	cost             time.Duration // expected service time
	startBy          time.Duration // latest start that meets the deadline
	objectiveStartBy time.Duration // latest start that meets the objective, zero if there is none
	startedAt        time.Duration
}

// state is the stage of a request between its offer and its end.
type state uint8

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateDone
)

func (r *Request) before(o *Request) bool { return r.startBy < o.startBy }
func (r *Request) index() int             { return r.heapIndex }
func (r *Request) setIndex(i int)         { r.heapIndex = i }

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Start gives the request a slot until Finish.
	Start Verdict = iota
	// Refuse ends the request before any byte of it is sent.
	Refuse
)

// Reason is the cause of a decision. The log line of a refusal contains its name.
type Reason uint8

// The reasons.
const (
	// ReasonFree: a slot was free and no other request had precedence.
	ReasonFree Reason = iota
	// ReasonTurn: the request was next in order after it had waited.
	ReasonTurn
	// ReasonFloor: the rank of the request was behind its floor.
	ReasonFloor
	// ReasonTooLate: the deadline can no longer be met.
	ReasonTooLate
	// ReasonQueueTooLong: the expected queueing delay exceeds the deadline.
	ReasonQueueTooLong
	// ReasonQueueFull: the queue is full and the caller has its fair share of it.
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

// Outcome is the decision on one request.
type Outcome struct {
	Request *Request
	Verdict Verdict
	// Kind is the kind of the refusal. It applies if Verdict is Refuse.
	Kind   errkind.Kind
	Reason Reason
}

// list is a linked list of requests in order of arrival.
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
