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

// fakeAuthority allows as many acknowledgements as allow says; a negative
// number allows all.
type fakeAuthority struct {
	mu      sync.Mutex
	allow   int
	primary bool
	fate    Fate
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
func (f *fakeAuthority) Fate(table.GroupName, table.Mark) Fate { return f.fate }
func (f *fakeAuthority) Changed() <-chan struct{}              { return nil }

// fakePeers has replicas that confirm nothing unless confirms is set, and a
// primary of which nothing is known.
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

// answers collects the types of the messages of an answer.
type answers struct{ kinds string }

func (a *answers) Answer(p []byte) error {
	for len(p) > 0 {
		a.kinds += string(p[0])
		p = p[1+int(p[1])<<24+int(p[2])<<16+int(p[3])<<8+int(p[4]):]
	}
	return nil
}

// serve returns an owner of one stand-in that is a primary.
func serve(t *testing.T, a *fakeAuthority, p *fakePeers) (*Owner, *standin.Instance) {
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
		Dial:    DialSQL(upstream.Login{User: "u", Database: "d"}, DefaultTiming().DialTimeout),
		Timing:  DefaultTiming(),
		Declare: func(table.GroupName) Declaration { return Declaration{} },
		Stamp:   func() failover.Stamp { return failover.Stamp{} },
		Changed: func() {},
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

func query(t *testing.T, sql string) []byte {
	buf, err := (&pgproto3.Query{String: sql}).Encode(nil)
	assert.NilError(t, err)
	return buf
}

func write(t *testing.T, sql string) *request.Request {
	return &request.Request{
		Instance: "g-1", Group: "g", Class: "w", Access: config.AccessWrite, MayCommit: true,
		Deadline: time.Now().Add(400 * time.Millisecond), AckReplicas: 1, Messages: query(t, sql),
	}
}

func TestAWriteIsAcknowledgedOnlyWhenItCounts(t *testing.T) {
	const all = -1
	for _, c := range []struct {
		name     string
		allow    int // the first two are asked for before the statement runs
		confirms bool
		fate     Fate
		kind     errkind.Kind // Internal: no error
		effect   errkind.Effect
		rows     int
	}{
		{"all is well", all, true, FatePending, errkind.Internal, 0, 1},
		{"no lease", 0, true, FatePending, errkind.NoPrimary, errkind.NotRun, 0},
		{"lease lost while it waited for a slot", 1, true, FatePending, errkind.NoPrimary, errkind.NotRun, 0},
		{"lease lost while it ran", 2, true, FatePending, errkind.OutcomeUnknown, errkind.Unknown, 1},
		{"lease lost, the next term has the write", 2, true, FateKept, errkind.Internal, 0, 1},
		{"lease lost, the next term lacks the write", 2, true, FateLost, errkind.LeaseLost, errkind.NotRun, 1},
		{"no replica confirms", all, false, FatePending, errkind.OutcomeUnknown, errkind.Unknown, 1},
		{"no replica confirms, the next term has the write", all, false, FateKept, errkind.Internal, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, in := serve(t, &fakeAuthority{allow: c.allow, primary: true, fate: c.fate}, &fakePeers{confirms: c.confirms})
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
			assert.Equal(t, got.kinds, "", "a part of the answer went out")
			assert.Assert(t, !res.HasMark, "the session must not see an unconfirmed mark")
		})
	}
}

func TestAReadIsRefusedWhereItsAgeIsNotProven(t *testing.T) {
	r := func(staleness time.Duration) *request.Request {
		q := write(t, "SELECT count(*) FROM t")
		q.Access, q.AckReplicas, q.Staleness = config.AccessRead, 0, staleness
		return q
	}
	for _, c := range []struct {
		name  string
		allow int
		prim  bool
		stale time.Duration
		kind  errkind.Kind
		sent  string
	}{
		{"primary, current", -1, true, 0, errkind.Internal, "TDC"},
		{"primary, lease lost while it ran", 2, true, 0, errkind.LeaseLost, ""},
		{"primary, no lease", 0, true, time.Second, errkind.NoPrimary, ""},
		{"replica, age not proven", -1, false, time.Second, errkind.StalenessUnprovable, ""},
		{"replica, current", -1, false, 0, errkind.NoPrimary, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, _ := serve(t, &fakeAuthority{allow: c.allow, primary: c.prim}, &fakePeers{})
			var got answers
			_, err := o.Execute(t.Context(), r(c.stale), &got)
			assert.Equal(t, got.kinds, c.sent)
			if c.kind != errkind.Internal {
				assert.Assert(t, errkind.Is(err, c.kind), "%v", err)
			}
		})
	}
}

func TestClaims(t *testing.T) {
	o, in := serve(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	run := func(id, key string, settle bool) (string, error) {
		r := write(t, "INSERT INTO t (key, value) VALUES ('"+key+"', 'v')")
		r.RequestID, r.Digest, r.Settle = id, key, settle
		r.Deadline = time.Now().Add(5 * time.Second)
		var got answers
		_, err := o.Execute(t.Context(), r, &got)
		return got.kinds, err
	}
	for range 2 { // the second time it gets the first outcome
		got, err := run("1", "a", false)
		assert.NilError(t, err)
		assert.Equal(t, got, "C")
	}
	_, err := run("1", "b", false)
	assert.Assert(t, errkind.Is(err, errkind.BadRequest), "%v", err)
	_, err = run("it's", "c", true) // settled before it ran: shut out
	assert.Assert(t, errkind.Is(err, errkind.UpstreamLost) && errkind.Of(err).Effect == errkind.NotRun, "%v", err)
	got, err := run("it's", "c", false) // the next attempt runs
	assert.NilError(t, err)
	assert.Equal(t, got, "C")
	got, err = run("it's", "c", true)
	assert.NilError(t, err, "it has run: the first outcome")
	assert.Equal(t, got, "C")
	got, err = run("3", "a", false) // an error of the database leaves no claim
	assert.NilError(t, err)
	assert.Equal(t, got, "E")
	assert.DeepEqual(t, len(in.Rows("t")), 2)
	assert.DeepEqual(t, len(in.Rows(claimTable)), 3)
}

func TestHandOverLetsRunningWorkEnd(t *testing.T) {
	o, in := serve(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
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

// A transaction that rests holds the hand-over up for a while, but not for
// ever: the instance takes no new work in that time.
func TestHandOverEndsTransactionsThatRest(t *testing.T) {
	o, in := serve(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	o.cfg.Timing.HandOver = 10 * time.Millisecond
	begin := write(t, "BEGIN")
	begin.MayCommit = false
	_, err := o.Execute(t.Context(), begin, &answers{})
	assert.NilError(t, err)
	o.HandOver("g-1", 1)
	waittest.Until(t, "the hand-over", func() bool { return len(o.Released()) == 1 })
	waittest.Until(t, "all connections closed", func() bool { return in.Stats().Open == 0 })
}

// The caller gave up while its transaction was being opened: the end of its
// session came before there was a transaction to end.
func TestTransactionOfACallerThatGaveUpIsNotKept(t *testing.T) {
	o, _ := serve(t, &fakeAuthority{allow: -1, primary: true}, &fakePeers{confirms: true})
	in, err := o.instance("g-1")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	r := write(t, "BEGIN")
	tx, err := in.begin(ctx, r)
	assert.NilError(t, err)
	stop()
	o.EndSession(r.Session)
	in.end(ctx, &execution{r: r, tx: tx}, pool.Outcome{TxStatus: request.TxOpen}, nil)
	assert.Equal(t, in.running(), 0)
}

// startAuthority has a later term that began at start.
type startAuthority struct {
	fakeAuthority
	start table.Position
}

func (a *startAuthority) Fate(_ table.GroupName, m table.Mark) Fate {
	if m.Position <= a.start {
		return FateKept
	}
	return FateLost
}

// TestFateOfAWriteWhoseMarkOthersRaised has a write that lies somewhere after
// low, where the primary was before it, and at the latest at mark, where the
// primary was when it was asked behind the write.
func TestFateOfAWriteWhoseMarkOthersRaised(t *testing.T) {
	const low, mark = 10, 20
	for _, c := range []struct {
		start  table.Position // of the next term
		err    bool
		effect errkind.Effect
	}{
		{25, false, 0},
		{20, false, 0},
		{19, true, errkind.Unknown}, // others raised the mark: it may be kept
		{11, true, errkind.Unknown},
		{10, true, errkind.NotRun},
		{9, true, errkind.NotRun},
	} {
		a := &startAuthority{start: c.start}
		in := &instance{cfg: Config{Authority: a, Peers: &fakePeers{confirms: true}}, id: "g-1", group: "g"}
		e := &execution{
			r:   &request.Request{AckReplicas: 1},
			tx:  &transaction{term: 1},
			low: table.Mark{Term: 1, Position: low},
		}
		err := in.confirm(t.Context(), e, pool.Outcome{HasMark: true, Mark: table.Mark{Term: 1, Position: mark}})
		assert.Equal(t, err != nil, c.err, "start %d: %v", c.start, err)
		if err != nil {
			assert.Equal(t, errkind.Of(err).Effect, c.effect, "start %d", c.start)
		}
	}
}
