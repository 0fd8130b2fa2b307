package peer

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

const (
	// checkInterval is the interval at which a link with waiting calls or open
	// transactions is checked. A link without them rests: nothing is sent over it.
	checkInterval = 100 * time.Millisecond
	// maxPongDelay is how long a ping may stay unanswered, with nothing else
	// received, until the link counts as unresponsive.
	maxPongDelay = 200 * time.Millisecond
	// maxCheckDelay is how late a check may run. After a longer delay this process
	// was held up itself, which says nothing about the other host.
	maxCheckDelay = checkInterval
	// restingAfter is how long a link must have received nothing before its host is
	// pinged ahead of a request that must not be sent into silence.
	restingAfter = 500 * time.Millisecond
)

// errUnresponsive is the error of calls that another instance can answer, on a
// link that is unresponsive.
var errUnresponsive = errors.New("the other host does not respond")

// silenceWatch decides whether the other end of a link responds. Its times are
// durations since the link was opened. It is not safe for concurrent use.
type silenceWatch struct {
	startedAt time.Duration
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
	heldUp := w.heldUp(now)
	w.checkedAt = now
	switch {
	case now-lastRead < checkInterval:
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

// heldUp reports whether the check at now is so late that this process did not run.
func (w *silenceWatch) heldUp(now time.Duration) bool {
	return now-w.checkedAt > checkInterval+maxCheckDelay
}

// startWatch starts the checks that run while calls wait or transactions are open.
// The caller holds l.mu.
func (l *link) startWatch() {
	if l.watched || l.lost {
		return
	}
	l.watched = true
	now := time.Since(l.opened)
	l.silence = silenceWatch{startedAt: now, checkedAt: now}
	time.AfterFunc(checkInterval, l.check)
}

// check checks whether the other end responds, and again after checkInterval while
// calls wait or transactions are open. It closes the link once it has been silent
// for Timing.IdleTimeout.
func (l *link) check() {
	if l.runCheck() {
		l.responds.Store(false)
		l.close()
	}
}

// runCheck runs one check and reports whether the link must be closed.
func (l *link) runCheck() (mustClose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost && !l.takesNames.Load() {
		l.tryPing() // the pong tells whether the other end can decode names
	}
	if l.lost || l.isResting() {
		l.watched = false
		return false
	}
	now := time.Since(l.opened)
	lastRead := now - l.activity.sinceLastRead()
	if now-max(lastRead, l.silence.startedAt) > l.timing.IdleTimeout && !l.silence.heldUp(now) {
		return true
	}
	switch l.silence.check(now, lastRead) {
	case responsive:
		l.responds.Store(true)
		if l.sinceLastSend() >= l.timing.PingInterval {
			l.tryPing() // the other end closes a link from which it hears nothing
		}
	case needsPing:
		l.tryPing()
	case awaitsPong:
	case unresponsive:
		l.responds.Store(false)
		l.failReroutable()
	}
	time.AfterFunc(checkInterval, l.check)
	return false
}

// isResting reports whether the link needs no checks. The checks of an unresponsive
// link go on without calls until it responds or is closed, because no further calls
// are sent over it. The caller holds l.mu.
func (l *link) isResting() bool {
	return len(l.calls) == 0 && len(l.transactions) == 0 && l.responds.Load()
}

// setTransaction records whether a session has a transaction open at the other end.
func (l *link) setTransaction(s request.SessionID, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !open {
		delete(l.transactions, s)
		return
	}
	l.transactions[s] = struct{}{}
	l.startWatch()
}

// verify returns nil if the other end responds. It pings the other end if the link
// has rested, and closes the link if nothing arrives within maxPongDelay.
func (l *link) verify(ctx context.Context) error {
	if l.activity.sinceLastRead() < restingAfter {
		return nil
	}
	began := time.Now()
	received := l.nextFrame()
	l.tryPing()
	timer := time.NewTimer(maxPongDelay)
	defer timer.Stop()
	select {
	case <-received:
		return nil
	case <-l.done:
		return errLinkLost
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if time.Since(began) > maxPongDelay+maxCheckDelay {
		return nil // this process was held up itself
	}
	l.responds.Store(false)
	l.close()
	return errUnresponsive
}

// nextFrame returns a channel that is closed when the next frame arrives.
func (l *link) nextFrame() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == nil {
		l.received = make(chan struct{})
	}
	return l.received
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
