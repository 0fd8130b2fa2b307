package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/routing"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// lastCause records the error kind of the last observation.
type lastCause struct{ kind errkind.Kind }

func (l *lastCause) Request(o Observation) {
	if o.Err != nil {
		l.kind = o.Err.Kind
	}
}

// stallingUpstream refuses the first attempts and then holds each request until
// its deadline.
type stallingUpstream struct {
	fakeUpstream
	refusals int
	refusal  error
	atEnd    func(ctx context.Context) error
}

func (u *stallingUpstream) Execute(ctx context.Context, _ *request.Request, _ request.Sink) (request.Result, error) {
	idle := request.Result{TxStatus: request.TxIdle}
	if u.refusals > 0 {
		u.refusals--
		return idle, u.refusal
	}
	<-ctx.Done()
	return idle, u.atEnd(ctx)
}

// stallingDirectory is a fakeDirectory whose only executor is a
// stallingUpstream.
type stallingDirectory struct {
	*fakeDirectory
	stalling *stallingUpstream
}

func (d *stallingDirectory) Executor(table.HostID) (request.Executor, bool) { return d.stalling, true }

// A request that is refused until its deadline must keep the last refusal as the
// cause in the log and in the metrics. Otherwise the log line of the failure
// only says that the deadline has passed, and the way from the request to its
// cause ends there. The deadline can end in several places, and the answer to
// the caller differs between them.
func TestCauseOfRequestRefusedUntilDeadline(t *testing.T) {
	busy := notRunError(errkind.UpstreamBusy)
	for _, c := range []struct {
		name     string
		sql      string
		refusals int
		refusal  error
		atEnd    func(ctx context.Context) error
		answer   errkind.Kind
		cause    errkind.Kind
	}{
		{
			"during the pause", "insert", 1 << 30, busy, nil, errkind.UpstreamBusy, errkind.UpstreamBusy,
		},
		{
			"during an attempt that waits for a slot", "insert", 3, busy,
			func(ctx context.Context) error {
				return errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "gave up waiting for a slot")
			},
			errkind.DeadlineUnreachable, errkind.UpstreamBusy,
		},
		{
			"during an attempt that waits for the link to the owner", "insert", 3, busy,
			func(ctx context.Context) error { return errkind.Wrap(ctx.Err(), errkind.NoOwner, "connecting") },
			errkind.NoOwner, errkind.UpstreamBusy,
		},
		{
			"during an attempt that may have run", "insert", 3, busy,
			func(ctx context.Context) error { return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "no answer") },
			errkind.OutcomeUnknown, errkind.OutcomeUnknown,
		},
		{
			// A read leaves nothing behind, so it is never in doubt.
			"during an attempt of a read beyond the retry budget", "/* class=look */ select", 3, busy,
			func(ctx context.Context) error { return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "no answer") },
			errkind.UpstreamBusy, errkind.UpstreamBusy,
		},
		{
			"during the first attempt", "insert", 0, nil,
			func(ctx context.Context) error {
				return errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "gave up waiting for a slot")
			},
			errkind.DeadlineUnreachable, errkind.DeadlineUnreachable,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, d := newSession(t)
				var observed lastCause
				s.gateway.cfg.Observer = &observed
				s.gateway.cfg.Directory = &stallingDirectory{d, &stallingUpstream{refusals: c.refusals, refusal: c.refusal, atEnd: c.atEnd}}
				_, err := execSQL(t, s, c.sql)
				assert.Assert(t, errkind.Is(err, c.answer), "%v", err)
				assert.Equal(t, observed.kind, c.cause)
			})
		})
	}
}

// When the deadline passes while the next route is chosen, routing refuses the
// request. The caller gets that refusal, the log and the metrics get the cause.
func TestCauseOfRequestWhoseDeadlinePassesDuringRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newSession(t)
		var observed lastCause
		s.gateway.cfg.Observer = &observed
		d.upstream.errs = []error{notRunError(errkind.UpstreamBusy)}
		views := &slowTable{fakeDirectory: d, readsBeforeStall: 1}
		s.gateway.cfg.Directory = views
		_, err := execSQL(t, s, "insert")
		assert.Assert(t, errkind.Is(err, errkind.DeadlineUnreachable), "%v", err)
		assert.Equal(t, observed.kind, errkind.UpstreamBusy)
	})
}

// slowTable is a fakeDirectory whose routing views are returned only after the
// deadline of every request, once they have been read readsBeforeStall times.
type slowTable struct {
	*fakeDirectory
	readsBeforeStall int
}

func (d *slowTable) Groups() *routing.Table {
	d.readsBeforeStall--
	if d.readsBeforeStall < 0 {
		time.Sleep(time.Second)
	}
	return d.fakeDirectory.Groups()
}

// A queue that refuses a request before its deadline has its own reason, which
// an earlier refusal by another cause must not hide.
func TestCauseOfRequestRefusedBeforeDeadline(t *testing.T) {
	s, d := newSession(t)
	var observed lastCause
	s.gateway.cfg.Observer = &observed
	d.upstream.errs = []error{notRunError(errkind.UpstreamBusy), notRunError(errkind.DeadlineUnreachable)}
	_, err := execSQL(t, s, "insert")
	assert.Assert(t, errkind.Is(err, errkind.DeadlineUnreachable), "%v", err)
	assert.Equal(t, observed.kind, errkind.DeadlineUnreachable)
}

// refusingPositions is an upstream whose first position query is refused. Later
// queries last longer than every deadline.
type refusingPositions struct {
	fakeUpstream
	queries int
}

func (u *refusingPositions) Position(ctx context.Context, _ table.InstanceID) (request.PositionSample, error) {
	u.queries++
	if u.queries == 1 {
		return request.PositionSample{}, errkind.New(errkind.LeaseLost, "the lease ended")
	}
	<-ctx.Done()
	return request.PositionSample{}, ctx.Err()
}

// positionDirectory is a fakeDirectory whose only executor is a
// refusingPositions.
type positionDirectory struct {
	*fakeDirectory
	positions *refusingPositions
}

func (d *positionDirectory) Executor(table.HostID) (request.Executor, bool) { return d.positions, true }

// A read whose deadline ends while it waits for a floor must name the last
// refusal of a position query, also when a further query is in flight.
func TestCauseOfReadThatWaitsForFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newSession(t)
		s.gateway.cfg.UpstreamFloors = true
		s.gateway.cfg.Directory = &positionDirectory{d, &refusingPositions{}}
		_, err := execSQL(t, s, "/* class=report */ select")
		assert.Assert(t, errkind.Is(err, errkind.StalenessUnprovable), "%v", err)
		assert.ErrorContains(t, err, "the lease ended")
		synctest.Wait()
		time.Sleep(2 * sampleTimeout) // the query in flight ends
	})
}
