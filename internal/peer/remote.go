package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Remote is a request.Executor that forwards to another host.
type Remote struct {
	address string
	timing  Timing
	dial    DialFunc

	mu       sync.Mutex
	link     *link
	opening  chan struct{} // closed when the connection attempt in progress ends
	lastErr  error         // error of the latest connection attempt
	failedAt time.Time     // end of the latest connection attempt, if it failed
	closed   bool
}

const (
	// redialInterval is the least time between two connection attempts that
	// Responsive starts.
	redialInterval = 100 * time.Millisecond
	// knownDownWait is how long a call waits for a connection attempt after
	// another attempt has failed. It is enough for a host that answers again.
	knownDownWait = 50 * time.Millisecond
)

var _ request.Executor = (*Remote)(nil)

// NewRemote returns a Remote for the host at a peer address. The Remote connects
// on first use and reconnects after its link is lost. A nil dial means plain
// TCP.
func NewRemote(address string, t Timing, dial DialFunc) *Remote {
	return &Remote{address: address, timing: t, dial: dial}
}

// connect returns the open link, or waits for a connection attempt. At most one
// attempt runs at a time.
func (r *Remote) connect(ctx context.Context) (*link, error) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil, errLinkLost
	}
	if r.link != nil && !r.link.isLost() {
		l := r.link
		r.mu.Unlock()
		return l, nil
	}
	wait := r.startOpening()
	var knownDown <-chan time.Time
	downErr := r.downError()
	r.mu.Unlock()
	if downErr != nil {
		timer := time.NewTimer(knownDownWait)
		defer timer.Stop()
		knownDown = timer.C
	}
	select {
	case <-wait:
	case <-knownDown:
		return nil, downErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		return nil, r.lastErr
	}
	return r.link, nil
}

// downError returns why the host is not expected to answer a connection attempt at
// once, or nil. The caller holds r.mu.
func (r *Remote) downError() error {
	if r.link != nil && !r.link.responds.Load() {
		return errUnresponsive
	}
	return r.lastErr
}

// startOpening starts a connection attempt unless one is in progress, and returns
// the channel that is closed at its end. The caller holds r.mu.
func (r *Remote) startOpening() <-chan struct{} {
	if r.opening == nil {
		r.opening = make(chan struct{})
		go r.open(r.opening)
	}
	return r.opening
}

// open dials the host, stores the outcome and closes done.
func (r *Remote) open(done chan struct{}) {
	l, err := openLink(context.Background(), r.address, r.timing, r.dial)
	r.mu.Lock()
	if r.closed && l != nil {
		l.close()
		l, err = nil, errLinkLost
	}
	r.link, r.lastErr, r.opening = l, err, nil
	if err != nil {
		r.failedAt = time.Now()
	}
	r.mu.Unlock()
	close(done)
}

// Responsive reports whether the host is expected to answer a request. It is false
// after a failed connection attempt until one succeeds, and while the host answers
// no pings although calls wait. While it is false, it starts connection attempts.
func (r *Remote) Responsive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.link != nil && !r.link.isLost():
		return r.link.responds.Load()
	case r.downError() != nil:
		if !r.closed && time.Since(r.failedAt) >= redialInterval {
			r.startOpening()
		}
		return false
	default:
		return true // not connected yet, or the other end closed the link
	}
}

// startCall connects if necessary and sends the first frame of a call. Its
// errors have the effect errkind.NotRun.
func (r *Remote) startCall(ctx context.Context, f *peerpb.Frame, reroutable bool) (*link, *call, error) {
	l, err := r.connect(ctx)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.NoOwner, "%s: %v", r.address, err)
	}
	c, err := l.startCall(ctx, f, reroutable)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.NoOwner, "%s: %v", r.address, err)
	}
	return l, c, nil
}

// Execute implements request.Executor.
func (r *Remote) Execute(ctx context.Context, q *request.Request, s request.Sink) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	f := &peerpb.Frame{Body: &peerpb.Frame_Request{Request: encodeRequest(q, time.Now())}}
	if err := r.verify(ctx, q); err != nil {
		return idle, err
	}
	l, c, err := r.startCall(ctx, f, q.Reroutable)
	if err != nil {
		return idle, err
	}
	consumed := 0
	for {
		a, err := c.next(ctx)
		if err != nil {
			return idle, r.abandon(l, c, f.GetId(), err)
		}
		if n := len(a.GetMessages()); n > 0 {
			if err := s.Answer(a.GetMessages()); err != nil {
				return idle, r.abandon(l, c, f.GetId(), err)
			}
			consumed += n
		}
		if !a.GetLast() {
			consumed = l.credit(ctx, f.GetId(), consumed)
			continue
		}
		res := request.Result{TxStatus: byte(a.GetTxStatus()), Mark: decodeMark(a.GetMark()), HasMark: a.GetMark() != nil}
		if a.GetHint() != nil {
			res.Hint, res.HasHint = decodeHint(a.GetHint()), true
		}
		if a.GetFailure() != nil {
			return res, decodeFailure(a.GetFailure())
		}
		l.setTransaction(q.Session, res.TxStatus != request.TxIdle)
		return res, nil
	}
}

// verify returns nil if q may be sent. A request whose outcome would be unknown
// without an answer is not sent over a link that has rested until the host has
// answered a ping. Its errors have the effect errkind.NotRun.
func (r *Remote) verify(ctx context.Context, q *request.Request) error {
	if q.Reroutable || q.Continues {
		return nil
	}
	l, err := r.connect(ctx)
	if err == nil {
		err = l.verify(ctx)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.NoOwner, "%s: %v", r.address, err)
	}
	return nil
}

// credit sends the owner flow-control credit for consumed bytes of an answer.
// Amounts below a quarter of the window are not sent yet, but accumulated. credit
// returns the number of consumed bytes for which no credit has been sent.
func (l *link) credit(ctx context.Context, id uint64, consumed int) int {
	if consumed < answerWindowBytes/4 {
		return consumed
	}
	f := &peerpb.Frame{Id: id, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: uint64(consumed)}}}
	if l.send(ctx, f) != nil {
		return consumed // the call fails with the link
	}
	return 0
}

// abandon ends a call after err. If the request may have been sent, abandon asks
// the owner to cancel it. The returned error states the known effect.
func (r *Remote) abandon(l *link, c *call, id uint64, err error) error {
	l.removeCall(id)
	if !c.fail(err) {
		return notSentError(err)
	}
	if errors.Is(err, errUnresponsive) { // a cancellation would not arrive either
		return errkind.Wrap(err, errkind.OutcomeUnknown, "%s: %v", r.address, err)
	}
	ctx, stop := context.WithTimeout(context.Background(), r.timing.IdleTimeout)
	defer stop()
	_ = l.send(ctx, &peerpb.Frame{Id: id, Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Empty{}}})
	var e *errkind.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.Canceled):
		return errkind.Wrap(err, errkind.Cancelled, "")
	default:
		return errkind.Wrap(err, errkind.OutcomeUnknown, "%s: %v", r.address, err)
	}
}

// notSentError returns the error of a call whose request was never sent.
func notSentError(err error) error {
	if errors.Is(err, context.Canceled) {
		return errkind.Wrap(err, errkind.Cancelled, "").WithEffect(errkind.NotRun)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(err, errkind.DeadlineUnreachable, "the link to the owner is busy")
	}
	return errkind.Wrap(err, errkind.NoOwner, "%v", err)
}

// Position implements request.Executor.
func (r *Remote) Position(ctx context.Context, id table.InstanceID) (request.PositionSample, error) {
	a, err := r.query(ctx, &peerpb.Frame{Body: &peerpb.Frame_Position{Position: &peerpb.PositionQuery{Instance: string(id)}}})
	if err != nil {
		return request.PositionSample{}, err
	}
	return request.PositionSample{
		Mark:      decodeMark(a.GetMark()),
		TermStart: table.Position(a.GetTermStart()),
		Age:       time.Duration(a.GetAgeNanos()),
	}, nil
}

// AwaitReplica implements request.Executor.
func (r *Remote) AwaitReplica(ctx context.Context, id table.InstanceID, m table.Mark) error {
	q := &peerpb.AwaitQuery{Instance: string(id), Mark: encodeMark(m)}
	if deadline, ok := ctx.Deadline(); ok {
		q.RemainingNanos = int64(time.Until(deadline))
	}
	_, err := r.query(ctx, &peerpb.Frame{Body: &peerpb.Frame_Await{Await: q}})
	return err
}

// query performs a call whose answer is a single frame.
func (r *Remote) query(ctx context.Context, f *peerpb.Frame) (*peerpb.Answer, error) {
	l, c, err := r.startCall(ctx, f, false)
	if err != nil {
		return nil, err
	}
	a, err := c.next(ctx)
	if err != nil {
		return nil, r.abandon(l, c, f.GetId(), err)
	}
	if a.GetFailure() != nil {
		return nil, decodeFailure(a.GetFailure())
	}
	return a, nil
}

// EndSession implements request.Executor. If no link is open, the owner has
// already ended the session together with the link.
func (r *Remote) EndSession(s request.SessionID) {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l == nil {
		return
	}
	l.setTransaction(s, false)
	ctx, stop := context.WithTimeout(context.Background(), r.timing.IdleTimeout)
	defer stop()
	if l.send(ctx, &peerpb.Frame{Body: &peerpb.Frame_EndSession{EndSession: encodeSession(s)}}) != nil {
		l.close() // losing the link also ends the session at the owner
	}
}

// Close closes the link. Later calls fail.
func (r *Remote) Close() {
	r.mu.Lock()
	l := r.link
	r.link, r.closed = nil, true
	r.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Call performs a single control call over a new connection; see
// ControlClient.Call.
func Call(ctx context.Context, dial DialFunc, address, method string, in, out any) error {
	c := ControlClient{Dial: dial}
	defer c.Close()
	return c.Call(ctx, address, method, in, out)
}
