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

// Remote is the Executor of another host.
type Remote struct {
	address string
	timing  Timing
	dial    DialFunc

	mu      sync.Mutex
	link    *link
	opening chan struct{} // closed when the current attempt has ended
	failed  error         // of the latest attempt
	closed  bool
}

var _ request.Executor = (*Remote)(nil)

// NewRemote returns the Executor behind a peer address. It connects when it is
// first used and again after a link was lost. A nil dial is plain TCP.
func NewRemote(address string, t Timing, dial DialFunc) *Remote {
	return &Remote{address: address, timing: t, dial: dial}
}

// connected returns an open link. At most one attempt runs at a time.
func (r *Remote) connected(ctx context.Context) (*link, error) {
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
	wait := r.opening
	if wait == nil {
		wait = make(chan struct{})
		r.opening = wait
		go r.open(wait)
	}
	r.mu.Unlock()
	select {
	case <-wait:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		return nil, r.failed
	}
	return r.link, nil
}

func (r *Remote) open(done chan struct{}) {
	l, err := openLink(context.Background(), r.address, r.timing, r.dial)
	r.mu.Lock()
	if r.closed && l != nil {
		l.close()
		l, err = nil, errLinkLost
	}
	r.link, r.failed, r.opening = l, err, nil
	r.mu.Unlock()
	close(done)
}

// begin sends the first frame of a call. Its errors have the effect NotRun.
func (r *Remote) begin(ctx context.Context, f *peerpb.Frame) (*link, *call, error) {
	l, err := r.connected(ctx)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.NoOwner, "%s: %v", r.address, err)
	}
	c, err := l.start(ctx, f)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.NoOwner, "%s: %v", r.address, err)
	}
	return l, c, nil
}

// Execute implements request.Executor.
func (r *Remote) Execute(ctx context.Context, q *request.Request, s request.Sink) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	f := &peerpb.Frame{Body: &peerpb.Frame_Request{Request: encodeRequest(q, time.Now())}}
	l, c, err := r.begin(ctx, f)
	if err != nil {
		return idle, err
	}
	taken := 0
	for {
		a, err := c.next(ctx)
		if err != nil {
			return idle, r.abandon(l, c, f.GetId(), err)
		}
		if n := len(a.GetMessages()); n > 0 {
			if err := s.Answer(a.GetMessages()); err != nil {
				return idle, r.abandon(l, c, f.GetId(), err)
			}
			taken += n
		}
		if !a.GetLast() {
			taken = l.credit(ctx, f.GetId(), taken)
			continue
		}
		res := request.Result{TxStatus: byte(a.GetTxStatus()), Mark: decodeMark(a.GetMark()), HasMark: a.GetMark() != nil}
		if a.GetHint() != nil {
			res.Hint, res.HasHint = decodeHint(a.GetHint()), true
		}
		if a.GetFailure() != nil {
			return res, decodeFailure(a.GetFailure())
		}
		return res, nil
	}
}

// credit tells the owner that taken bytes of an answer were passed on, unless
// they are too few to matter. It returns how many are left to tell.
func (l *link) credit(ctx context.Context, id uint64, taken int) int {
	if taken < answerWindow/4 {
		return taken
	}
	f := &peerpb.Frame{Id: id, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: uint64(taken)}}}
	if l.send(ctx, f) != nil {
		return taken // the call ends by itself
	}
	return 0
}

// abandon gives up a call: the owner is told to cancel it, and what is known
// of its effect is said.
func (r *Remote) abandon(l *link, c *call, id uint64, err error) error {
	l.forget(id)
	if !c.fail(err) {
		return notSent(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), r.timing.IdleTimeout)
	defer stop()
	_ = l.send(ctx, &peerpb.Frame{Id: id, Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Empty{}}})
	var kind *errkind.Error
	switch {
	case errors.As(err, &kind):
		return kind
	case errors.Is(err, context.Canceled):
		return errkind.Wrap(err, errkind.Cancelled, "")
	default:
		return errkind.Wrap(err, errkind.OutcomeUnknown, "%s: %v", r.address, err)
	}
}

// notSent is the error of a call whose request never left this host.
func notSent(err error) error {
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
	a, err := r.ask(ctx, &peerpb.Frame{Body: &peerpb.Frame_Position{Position: &peerpb.PositionQuery{Instance: string(id)}}})
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
	_, err := r.ask(ctx, &peerpb.Frame{Body: &peerpb.Frame_Await{Await: q}})
	return err
}

// ask does a call with an answer of one part.
func (r *Remote) ask(ctx context.Context, f *peerpb.Frame) (*peerpb.Answer, error) {
	l, c, err := r.begin(ctx, f)
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

// EndSession implements request.Executor. Where no link is open the owner has
// ended the session already, with the link.
func (r *Remote) EndSession(s request.SessionID) {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), r.timing.IdleTimeout)
	defer stop()
	if l.send(ctx, &peerpb.Frame{Body: &peerpb.Frame_EndSession{EndSession: encodeSession(s)}}) != nil {
		l.close() // ends the session too
	}
}

// Close ends the link.
func (r *Remote) Close() {
	r.mu.Lock()
	l := r.link
	r.link, r.closed = nil, true
	r.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Call does one control call on a connection of its own; see Caller.
func Call(ctx context.Context, dial DialFunc, address, method string, in, out any) error {
	c := Caller{Dial: dial}
	defer c.Close()
	return c.Call(ctx, address, method, in, out)
}
