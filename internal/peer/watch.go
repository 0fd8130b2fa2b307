package peer

import (
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

const (
	// callCheckInterval is the interval at which a link with waiting calls is
	// checked.
	callCheckInterval = 100 * time.Millisecond
	// maxPongDelay is how long a ping may stay unanswered, with nothing else
	// received, until the link counts as unresponsive.
	maxPongDelay = 200 * time.Millisecond
	// maxCheckDelay is how late a check may run. After a longer delay this process
	// was held up itself, which says nothing about the other host.
	maxCheckDelay = callCheckInterval
)

// errUnresponsive is the error of calls that another instance can answer, on a
// link that is unresponsive.
var errUnresponsive = errors.New("the other host does not respond")

// silenceWatch decides whether the other end of a link responds. Its times are
// durations since the link was opened. It is not safe for concurrent use.
type silenceWatch struct {
	checkedAt time.Duration
	pingedAt  time.Duration // of the unanswered ping, valid if awaiting is set
	awaiting  bool
}

// verdict is the result of a check.
type verdict uint8

const (
	responsive verdict = iota
	needsPing
	awaitsPong
	unresponsive
)

// check returns whether the other end responds, given when the last byte arrived.
func (w *silenceWatch) check(now, lastRead time.Duration) verdict {
	heldUp := now-w.checkedAt > callCheckInterval+maxCheckDelay
	w.checkedAt = now
	switch {
	case now-lastRead < callCheckInterval:
		w.awaiting = false
		return responsive
	case heldUp || !w.awaiting || lastRead > w.pingedAt:
		w.awaiting, w.pingedAt = true, now
		return needsPing
	case now-w.pingedAt < maxPongDelay:
		return awaitsPong
	default:
		return unresponsive
	}
}

// watchCalls starts the checks that run while calls wait. The caller holds l.mu.
func (l *link) watchCalls() {
	if l.watched {
		return
	}
	l.watched = true
	l.silence = silenceWatch{checkedAt: time.Since(l.opened)}
	time.AfterFunc(callCheckInterval, l.checkCalls)
}

// checkCalls checks whether the other end responds, and again after
// callCheckInterval while calls wait.
func (l *link) checkCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost || len(l.calls) == 0 {
		l.watched = false
		return
	}
	now := time.Since(l.opened)
	switch l.silence.check(now, now-l.activity.sinceLastRead()) {
	case responsive:
		l.responds.Store(true)
	case needsPing:
		l.tryPing()
	case awaitsPong:
	case unresponsive:
		l.responds.Store(false)
		l.failReroutable()
	}
	time.AfterFunc(callCheckInterval, l.checkCalls)
}

// failReroutable fails the calls that another instance can answer. The caller
// holds l.mu.
func (l *link) failReroutable() {
	for id, c := range l.calls {
		if c.reroutable {
			delete(l.calls, id)
			c.fail(errUnresponsive)
		}
	}
}

// tryPing sends a ping unless the send queue is full. It never blocks on the
// stream, because an unresponsive host may stall writes.
func (l *link) tryPing() {
	select {
	case l.queue <- queuedFrame{frame: &peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Empty{}}}}:
	default:
	}
}
