package owner

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/pgedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
	"github.com/amaranthweir/amaranthweir/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAuthority allows the given number of acknowledgements, or any number if
// allow is negative.
type fakeAuthority struct {
	mu      sync.Mutex
	allow   int
	primary bool
	outcome WriteOutcome
}

func (f *fakeAuthority) MayAcknowledge(table.GroupName, table.InstanceID, table.Term) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.allow == 0 {
		return errors.New("no lease")
	}
	f.allow--
	return nil
}

func (f *fakeAuthority) Term(table.GroupName, table.InstanceID) (table.Term, bool) {
	return 1, f.primary
}

func (f *fakeAuthority) LogTerm(g table.GroupName, id table.InstanceID) (table.Term, bool) {
	return f.Term(g, id)
}
func (f *fakeAuthority) WriteOutcome(table.GroupName, table.Mark) WriteOutcome { return f.outcome }
func (f *fakeAuthority) Changed() <-chan struct{}                              { return nil }

// fakePeers has replicas that confirm every write if confirms is set and none
// otherwise, and a primary whose position is unknown.
type fakePeers struct{ confirms bool }

func (f *fakePeers) PrimaryPosition(context.Context, table.GroupName) (request.PositionSample, error) {
	return request.PositionSample{}, errors.New("no primary")
}

func (f *fakePeers) AwaitAnyReplica(ctx context.Context, _ table.GroupName, _ table.Mark) error {
	if f.confirms {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// answers records the types of the messages of an answer.
type answers struct{ kinds string }

func (a *answers) Answer(p []byte) error {
	for len(p) > 0 {
		a.kinds += string(p[0])
		p = p[1+int(p[1])<<24+int(p[2])<<16+int(p[3])<<8+int(p[4]):]
	}
	return nil
}

// startOwner returns an owner of one stand-in that is a primary.
func startOwner(t *testing.T, a *fakeAuthority, p *fakePeers) (*Owner, *standin.Instance) {
	cfg := standin.DefaultConfig("g", "g-1")
	cfg.Primary = true
	in, err := standin.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, in.Close()) })
	platform, err := pgedge.New(pgedge.DefaultConfig())
	assert.NilError(t, err)
	t.Cleanup(platform.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New(Config{
		Authority: a, Peers: p, Prober: platform, Fencer: platform, Log: log,
		Dial:            DialSQL(upstream.Login{User: "u", Database: "d"}, DefaultTiming().DialTimeout),
		Timing:          DefaultTiming(),
		AdmissionConfig: func(table.GroupName) AdmissionConfig { return AdmissionConfig{} },
		Stamp:           func() failover.Stamp { return failover.Stamp{} },
		OnChange:        func() {},
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		o.Release("g-1")
		stop()
	})
	desc := table.Instance{ID: "g-1", Group: "g", Address: in.Address(), Slots: 2, Connections: 10}
	assert.NilError(t, o.Acquire(ctx, desc, 1))
	for !o.instances["g-1"].serving.Load() || in.Role() != table.RolePrimary {
		time.Sleep(time.Millisecond)
	}
	return o, in
}

// query returns an encoded Query message.
func query(t *testing.T, sql string) []byte {
	buf, err := (&pgproto3.Query{String: sql}).Encode(nil)
	assert.NilError(t, err)
	return buf
}

// write returns a write request that one replica must confirm.
func write(t *testing.T, sql string) *request.Request {
	return &request.Request{
		Instance: "g-1", Group: "g", Class: "w", Access: config.AccessWrite, MayCommit: true,
		Deadline: time.Now().Add(400 * time.Millisecond), AckReplicas: 1, Messages: query(t, sql),
	}
}

func TestWriteAcknowledgedOnlyWhenConfirmed(t *testing.T) {
	const all = -1
	for _, c := range []struct {
		name     string
		allow    int // MayAcknowledge is called twice before the statement runs
		confirms bool
		outcome  WriteOutcome
		kind     errkind.Kind // Internal: no error
		effect   errkind.Effect
		rows     int
	}{
		{"confirmed under the lease", all, true, OutcomePending, errkind.Internal, 0, 1},
		{"no lease", 0, true, OutcomePending, errkind.NoPrimary, errkind.NotRun, 0},
		{"lease lost while the write waited for a slot", 1, true, OutcomePending, errkind.NoPrimary, errkind.NotRun, 0},
		{"lease lost while the write ran", 2, true, OutcomePending, errkind.OutcomeUnknown, errkind.Unknown, 1},
		{"lease lost, the next term contains the write", 2, true, OutcomeKept, errkind.Internal, 0, 1},
		{"lease lost, the next term does not contain the write", 2, true, OutcomeLost, errkind.LeaseLost, errkind.NotRun, 1},
		{"no replica confirms", all, false, OutcomePending, errkind.OutcomeUnknown, errkind.Unknown, 1},
		{"no replica confirms, the next term contains the write", all, false, OutcomeKept, errkind.Internal, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, in := startOwner(t, &fakeAuthority{allow: c.allow, primary: true, outcome: c.outcome}, &fakePeers{confirms: c.confirms})
			var got answers
			res, err := o.Execute(t.Context(), write(t, "INSERT INTO t (key, value) VALUES ('k', 'v')"), &got)
			assert.Equal(t, len(in.Rows("t")), c.rows)
			if c.kind == errkind.Internal {
				assert.NilError(t, err)
				assert.Equal(t, got.kinds, "C")
				assert.Equal(t, res.Mark, in.Mark())
				return
			}
			assert.Assert(t, errkind.Is(err, c.kind), "%v", err)
			assert.Equal(t, errkind.Of(err).Effect, c.effect)
			assert.Equal(t, got.kinds, "", "no part of the answer may be sent")
			assert.Assert(t, !res.HasMark, "an unconfirmed mark must not reach the session")
		})
	}
}

func TestReadRequiresLeaseOrProvenAge(t *testing.T) {
	r := func(staleness time.Duration) *request.Request {
		q := write(t, "SELECT count(*) FROM t")
		q.Access, q.AckReplicas, q.Staleness = config.AccessRead, 0, staleness
		return q
	}
	for _, c := range []struct {
		name      string
		allow     int
		primary   bool
		staleness time.Duration
		kind      errkind.Kind
		sent      string
	}{
		{"primary, current", -1, true, 0, errkind.Internal, "TDC"},
		{"primary, lease lost while the read ran", 2, true, 0, errkind.LeaseLost, ""},
		{"primary, no lease", 0, true, time.Second, errkind.NoPrimary, ""},
		{"replica, age not proven", -1, false, time.Second, errkind.StalenessUnprovable, ""},
		{"replica, current", -1, false, 0, errkind.NoPrimary, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, _ := startOwner(t, &fakeAuthority{allow: c.allow, primary: c.primary}, &fakePeers{})
			var got answers
			_, err := o.Execute(t.Context(), r(c.staleness), &got)
			assert.Equal(t, got.kinds, c.sent)
			if c.kind != errkind.Internal {
				assert.Assert(t, errkind.Is(err, c.kind), "%v", err)
			}
		})
	}
}

func TestClaims(t *testing.T) {
	o, in := startOwner(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	run := func(id, key string, settle bool) (string, error) {
		r := write(t, "INSERT INTO t (key, value) VALUES ('"+key+"', 'v')")
		r.RequestID, r.Digest, r.Settle = id, key, settle
		r.Deadline = time.Now().Add(5 * time.Second)
		var got answers
		_, err := o.Execute(t.Context(), r, &got)
		return got.kinds, err
	}
	for range 2 { // the repeated request gets the first outcome
		got, err := run("1", "a", false)
		assert.NilError(t, err)
		assert.Equal(t, got, "C")
	}
	_, err := run("1", "b", false)
	assert.Assert(t, errkind.Is(err, errkind.BadRequest), "%v", err)
	_, err = run("it's", "c", true) // settled before it ran: voided
	assert.Assert(t, errkind.Is(err, errkind.UpstreamLost) && errkind.Of(err).Effect == errkind.NotRun, "%v", err)
	got, err := run("it's", "c", false) // the next attempt runs
	assert.NilError(t, err)
	assert.Equal(t, got, "C")
	got, err = run("it's", "c", true)
	assert.NilError(t, err, "the request has run, so settle returns its first outcome")
	assert.Equal(t, got, "C")
	got, err = run("3", "a", false) // an error of the database leaves no claim
	assert.NilError(t, err)
	assert.Equal(t, got, "E")
	assert.DeepEqual(t, len(in.Rows("t")), 2)
	assert.DeepEqual(t, len(in.Rows(claimTable)), 3)
}

func TestHandOverDrainsRunningTransactions(t *testing.T) {
	o, in := startOwner(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	begin := write(t, "BEGIN")
	begin.MayCommit = false
	_, err := o.Execute(t.Context(), begin, &answers{})
	assert.NilError(t, err)
	o.HandOver("g-1", 1)
	_, err = o.Execute(t.Context(), write(t, "INSERT INTO t (key, value) VALUES ('new', 'v')"), &answers{})
	assert.Assert(t, errkind.Is(err, errkind.NoOwner) && errkind.Of(err).Effect == errkind.NotRun, "%v", err)
	assert.Equal(t, len(o.Released()), 0)
	for _, sql := range []string{"INSERT INTO t (key, value) VALUES ('old', 'v')", "COMMIT"} {
		r := write(t, sql)
		r.Continues, r.MayCommit = true, sql == "COMMIT"
		_, err = o.Execute(t.Context(), r, &answers{})
		assert.NilError(t, err)
	}
	for len(o.Released()) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, in.Rows("t")["old"], "v")
	assert.Assert(t, o.HandedOver(table.Ownership{Instance: "g-1", Epoch: 1}))
	assert.Assert(t, !o.HandedOver(table.Ownership{Instance: "g-1", Epoch: 2}))
}

// An instance takes no new work during a hand-over, so an idle transaction may
// delay the hand-over only for a limited time.
func TestHandOverRollsBackIdleTransactions(t *testing.T) {
	o, in := startOwner(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	o.cfg.Timing.HandOverTimeout = 10 * time.Millisecond
	begin := write(t, "BEGIN")
	begin.MayCommit = false
	_, err := o.Execute(t.Context(), begin, &answers{})
	assert.NilError(t, err)
	o.HandOver("g-1", 1)
	waittest.Until(t, "the hand-over", func() bool { return len(o.Released()) == 1 })
	waittest.Until(t, "all connections closed", func() bool { return in.Stats().Open == 0 })
}

// A caller that gives up while its transaction is being opened ends its session
// before the transaction is registered. Nothing would end that transaction if
// it were kept.
func TestTransactionOfCancelledCallerIsNotKept(t *testing.T) {
	o, _ := startOwner(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	in, err := o.instance("g-1")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	r := write(t, "BEGIN")
	tx, err := in.begin(ctx, r)
	assert.NilError(t, err)
	stop()
	o.EndSession(r.Session)
	in.finish(ctx, &execution{r: r, tx: tx}, pool.Outcome{TxStatus: request.TxOpen}, nil)
	assert.Equal(t, in.runningCount(), 0)
}

// historyAuthority reports a later term that began at position start: it kept
// the writes up to start and lost all others.
type historyAuthority struct {
	fakeAuthority
	start table.Position
}

func (a *historyAuthority) WriteOutcome(_ table.GroupName, m table.Mark) WriteOutcome {
	if m.Position <= a.start {
		return OutcomeKept
	}
	return OutcomeLost
}

// The position of a write lies after reachedBefore, which the primary had
// reached before the write was sent, and at or before mark, which the primary
// reported after the write. Other writes may have raised the mark, so a term
// that begins between the two leaves the outcome unknown.
func TestOutcomeOfWriteBelowSharedMark(t *testing.T) {
	const reachedBefore, mark = 10, 20
	for _, c := range []struct {
		start  table.Position // of the next term
		err    bool
		effect errkind.Effect
	}{
		{25, false, 0},
		{20, false, 0},
		{19, true, errkind.Unknown}, // others may have raised the mark: the write may have been kept
		{11, true, errkind.Unknown},
		{10, true, errkind.NotRun},
		{9, true, errkind.NotRun},
	} {
		a := &historyAuthority{start: c.start}
		in := &instance{cfg: Config{Authority: a, Peers: &fakePeers{confirms: true}}, id: "g-1", group: "g"}
		e := &execution{
			r:             &request.Request{AckReplicas: 1},
			tx:            &transaction{term: 1},
			reachedBefore: table.Mark{Term: 1, Position: reachedBefore},
		}
		err := in.confirm(t.Context(), e, pool.Outcome{HasMark: true, Mark: table.Mark{Term: 1, Position: mark}})
		assert.Equal(t, err != nil, c.err, "start %d: %v", c.start, err)
		if err != nil {
			assert.Equal(t, errkind.Of(err).Effect, c.effect, "start %d", c.start)
		}
	}
}

// Where instances check floors, the owner of a primary without a lease still
// serves a read with a floor: the floor was sampled under a lease within the
// staleness of the read, and the primary holds it. A host in a failure domain
// that is cut off can serve its callers so until the sample is too old.
func TestPrimaryWithoutLeaseServesReadsWithFloor(t *testing.T) {
	in := &instance{cfg: Config{Authority: &fakeAuthority{primary: true}, UpstreamFloors: true}}
	in.serving.Store(true)
	read := request.Request{Access: config.AccessRead, Staleness: time.Second, Floor: table.Mark{Term: 1, Position: 7}, HasFloor: true}
	assert.NilError(t, in.checkRunnable(&read))
	read.HasFloor = false
	assert.Assert(t, errkind.Is(in.checkRunnable(&read), errkind.NoPrimary))
	current := request.Request{Access: config.AccessRead}
	assert.Assert(t, errkind.Is(in.checkRunnable(&current), errkind.NoPrimary))
	assert.Assert(t, errkind.Is(in.checkRunnable(&request.Request{Access: config.AccessWrite}), errkind.NoPrimary))
}
