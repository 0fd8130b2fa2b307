package pool

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pg/pgtest"
	"github.com/amaranthweir/amaranthweir/internal/pg/synthetic"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
	"github.com/amaranthweir/amaranthweir/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startUpstream(t *testing.T, change func(*standin.Config)) *standin.Instance {
	t.Helper()
	cfg := standin.DefaultConfig("g1", "g1-a")
	cfg.Primary, cfg.OpenCost = true, 0
	if change != nil {
		change(&cfg)
	}
	in, err := standin.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = in.Close() })
	return in
}

func config(address string, change func(*Config)) Config {
	dial, err := DialSQL(address, upstream.Login{User: "u", Database: "ledger"}, 0, waittest.Patience)
	if err != nil {
		panic(err)
	}
	cfg := Config{
		Dial: dial, Max: 4,
		IdleTimeout: time.Minute, DialTimeout: waittest.Patience, Progress: waittest.Patience, ProbeTimeout: waittest.Patience,
	}
	if change != nil {
		change(&cfg)
	}
	return cfg
}

func newPool(t *testing.T, address string, change func(*Config)) *Pool {
	t.Helper()
	p, err := New(config(address, change))
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Close()
		waittest.Until(t, "all connections closed", func() bool { open, _ := p.Stats(); return open == 0 })
	})
	return p
}

func lend(t *testing.T, p *Pool) Conn {
	t.Helper()
	c, err := p.Get(t.Context())
	assert.NilError(t, err)
	return c
}

// ask is an exchange of one simple query; its answer goes to answer.
func ask(t *testing.T, answer *strings.Builder, sql string, settings ...string) *Exchange {
	return &Exchange{
		Settings: settings,
		Messages: pgtest.Encode(t, &pgproto3.Query{String: sql}),
		WriteAnswer: func(p []byte) error {
			answer.Write(p)
			return nil
		},
	}
}

// run runs one query on a connection and returns its answer.
func run(t *testing.T, c Conn, sql string, settings ...string) (string, error) {
	t.Helper()
	var answer strings.Builder
	_, err := c.Run(t.Context(), time.Now().Add(waittest.Patience), ask(t, &answer, sql, settings...))
	return answer.String(), err
}

// runs runs one query on any connection of the pool and wants it to succeed.
func runs(t *testing.T, p *Pool, sql string) string {
	t.Helper()
	answer := answers(t, p, sql)
	assert.Assert(t, whole(answer), "%q", answer)
	return answer
}

// answers runs one query and wants any answer.
func answers(t *testing.T, p *Pool, sql string, settings ...string) string {
	t.Helper()
	c := lend(t, p)
	answer, err := run(t, c, sql, settings...)
	assert.NilError(t, err)
	p.Put(c)
	return answer
}

// fill opens n connections and lets them rest.
func fill(t *testing.T, p *Pool, n int) {
	t.Helper()
	var conns []Conn
	for range n {
		conns = append(conns, lend(t, p))
	}
	for _, c := range conns {
		p.Put(c)
	}
}

// whole reports whether an answer is made of whole messages up to the end of a
// command.
func whole(answer string) bool {
	last, bytes := byte(0), 0
	synthetic.ForEachMessage([]byte(answer), func(kind byte, _ []byte) { last = kind })
	for rest := []byte(answer); len(rest) >= 5; {
		n := 1 + int(rest[1])<<24 + int(rest[2])<<16 + int(rest[3])<<8 + int(rest[4])
		bytes += n
		rest = rest[min(n, len(rest)):]
	}
	return last == 'C' && bytes == len(answer)
}

// The model: any order of calls, with connections that the upstream closes.
func TestNeverMoreThanMaxOpen(t *testing.T) {
	const limit = 3
	up := startUpstream(t, func(c *standin.Config) { c.Connections = 20 })
	r := startRelay(t, up.Address())
	rapid.Check(t, func(rt *rapid.T) {
		p, err := New(config(r.listener.Addr().String(), func(c *Config) { c.Max = limit }))
		assert.NilError(rt, err)
		lent := map[Conn]bool{}
		rt.Cleanup(func() {
			p.Close()
			for c := range lent {
				p.Put(c)
			}
			waittest.Until(rt, "all closed", func() bool { open, _ := p.Stats(); return open == 0 && up.Stats().Open == 0 })
		})
		some := func() Conn {
			for c := range lent {
				delete(lent, c)
				return c
			}
			rt.Skip("none is lent")
			return nil
		}
		now := time.Now()
		rt.Repeat(map[string]func(*rapid.T){
			"get": func(rt *rapid.T) {
				ctx, stop := context.WithTimeout(context.Background(), waittest.Patience)
				defer stop()
				if len(lent) == limit {
					stop()
				}
				c, err := p.Get(ctx)
				for errkind.Is(err, errkind.UpstreamLost) && errkind.Of(err).Effect == errkind.NotRun {
					c, err = p.Get(ctx) // the upstream closed it while it was opened
				}
				if len(lent) == limit {
					assert.Assert(rt, errkind.Is(err, errkind.DeadlineUnreachable))
					return
				}
				assert.NilError(rt, err)
				assert.Assert(rt, !lent[c], "lent twice")
				lent[c] = true
				assert.NilError(rt, c.ping(ctx, waittest.Patience))
			},
			"put":     func(*rapid.T) { p.Put(some()) },
			"discard": func(*rapid.T) { p.Discard(some()) },
			"maintain": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(rt, "seconds")) * time.Second)
				p.Maintain(context.Background(), now)
			},
			"upstream closes": func(*rapid.T) { r.cutAll() },
			"": func(rt *rapid.T) {
				open, idle := p.Stats()
				assert.Assert(rt, open <= limit && idle+len(lent) <= open, "open %d, idle %d, lent %d", open, idle, len(lent))
				assert.Assert(rt, up.Stats().MaxOpen <= limit, "upstream saw %d", up.Stats().MaxOpen)
			},
		})
	})
}

func TestUpstreamSeesNoMoreThanMaxUnderLoad(t *testing.T) {
	up := startUpstream(t, func(c *standin.Config) { c.OpenCost = time.Millisecond })
	p := newPool(t, up.Address(), nil)
	errs := make(chan error, 16)
	for i := range cap(errs) {
		go func() {
			for n := range 20 {
				c, err := p.Get(context.Background())
				if err != nil {
					errs <- err
					return
				}
				if (i+n)%3 == 0 {
					p.Discard(c)
				} else {
					p.Put(c)
				}
			}
			errs <- nil
		}()
	}
	for range cap(errs) {
		assert.NilError(t, <-errs)
	}
	assert.Assert(t, up.Stats().MaxOpen <= 4, "%d open", up.Stats().MaxOpen)
}

// A discarded connection whose statement still runs counts until it ended.
func TestDiscardCancelsWhatRuns(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	c := lend(t, p)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var answer strings.Builder
	x := ask(t, &answer, "SELECT pg_sleep(3600)")
	go func() {
		_, err := c.Run(ctx, time.Now().Add(time.Hour), x)
		done <- err
	}()
	waittest.Until(t, "statement runs", func() bool { return up.Stats().Running == 1 })
	stop()
	assert.Assert(t, errkind.Is(<-done, errkind.Cancelled))
	up.Freeze() // the upstream hears of nothing
	p.Discard(c)
	open, _ := p.Stats()
	assert.Equal(t, open, 1, "it counts until the upstream ended it")
	up.Thaw()
	runs(t, p, "SELECT 1") // the only place is free again
	assert.Equal(t, up.Stats().MaxOpen, 1)
	assert.Equal(t, up.Stats().Running, 0)
}

// A request is cut after each of its bytes, and so is its answer.
func TestCutAtEachByte(t *testing.T) {
	up := startUpstream(t, nil)
	r := startRelay(t, up.Address())
	p := newPool(t, r.listener.Addr().String(), nil)
	write := func(n int) string { return fmt.Sprintf("INSERT INTO k (key, value) VALUES ('%05d', 'v')", n) }
	request := len(pgtest.Encode(t, &pgproto3.Query{String: write(0)}, &pgproto3.Query{String: upstream.StatusQuery}))
	for _, side := range []struct {
		name     string
		up, down int
		bytes    int
		complete bool // some run to their end
	}{{name: "request", up: 1, bytes: request}, {name: "answer", down: 1, bytes: 250, complete: true}} {
		t.Run(side.name, func(t *testing.T) {
			complete := 0
			for n := range side.bytes {
				key := n + 10000*side.up
				c := lend(t, p)
				r.limit(side.up*(n+1)-1, side.down*(n+1)-1)
				var answer strings.Builder
				x := ask(t, &answer, write(key))
				x.QueryMark, x.BufferAnswer, x.BufferLimit = true, true, 1<<20
				out, err := c.Run(t.Context(), time.Now().Add(waittest.Patience), x)
				r.limit(-1, -1)
				_, stands := up.Rows("k")[fmt.Sprintf("%05d", key)]
				if err == nil {
					complete++
					assert.Assert(t, stands && out.HasMark && whole(answer.String()), "byte %d", n)
				} else {
					assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown, "byte %d: %v", n, err)
					assert.Equal(t, answer.Len(), 0)
				}
				p.Put(c)
				assert.Assert(t, strings.Contains(runs(t, p, "SELECT 4711"), "4711"), "byte %d", n)
			}
			assert.Equal(t, complete > 0, side.complete)
			assert.Assert(t, complete < side.bytes)
		})
	}
}

// getting begins a Get.
func getting(p *Pool) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := p.Get(context.Background())
		done <- err
	}()
	return done
}

func TestNotRunWhereNoByteLeft(t *testing.T) {
	up := startUpstream(t, nil)
	r := startRelay(t, up.Address())
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	for _, tc := range []struct {
		name string
		kind errkind.Kind
		try  func(p *Pool) error
	}{
		{"pool closed while it dials", errkind.UpstreamLost, func(p *Pool) error {
			up.Freeze()
			err := getting(p)
			waittest.Until(t, "dials", func() bool { open, _ := p.Stats(); return open == 1 })
			p.Close()
			up.Thaw()
			return <-err
		}},
		{"closed here", errkind.UpstreamLost, func(p *Pool) error {
			c := lend(t, p)
			defer p.Discard(c)
			_ = c.shared().net.Close()
			_, err := run(t, c, "SELECT 1")
			return err
		}},
		{"closed by the upstream in a transaction", errkind.UpstreamLost, func(p *Pool) error {
			c := lend(t, p)
			defer p.Discard(c)
			assert.NilError(t, c.(*SQLConn).Exec(t.Context(), "BEGIN"))
			r.cutAll()
			var answer strings.Builder
			x := ask(t, &answer, "INSERT INTO k (key, value) VALUES ('tx', 'v')")
			x.KeepSettings = true
			_, err := c.Run(t.Context(), time.Now().Add(waittest.Patience), x)
			return err
		}},
		{"no connection became free", errkind.DeadlineUnreachable, func(p *Pool) error {
			c := lend(t, p)
			defer p.Put(c)
			_, err := p.Get(cancelled)
			return err
		}},
		{"pool closed while waiting", errkind.UpstreamLost, func(p *Pool) error {
			c := lend(t, p)
			err := getting(p)
			waittest.Until(t, "waits", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.waiting) == 1 })
			p.Close()
			p.Put(c)
			return <-err
		}},
		{"pool closed", errkind.UpstreamLost, func(p *Pool) error {
			p.Close()
			_, err := p.Get(t.Context())
			return err
		}},
		{"refused setting", errkind.BadRequest, func(p *Pool) error {
			c := lend(t, p)
			defer p.Discard(c)
			_, err := run(t, c, "INSERT INTO k (key, value) VALUES ('set', 'v')", "SET nonsense")
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.try(newPool(t, r.listener.Addr().String(), func(c *Config) { c.Max = 1 }))
			assert.Assert(t, errkind.Is(err, tc.kind), "%v", err)
			assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun, "%v", err)
			assert.Equal(t, len(up.Rows("k")), 0)
		})
	}
}

func TestConnectionClosedWhileIdleFailsNoRequest(t *testing.T) {
	up := startUpstream(t, nil)
	r := startRelay(t, up.Address())
	p := newPool(t, r.listener.Addr().String(), nil)
	fill(t, p, 3)
	r.cutAll()
	runs(t, p, "INSERT INTO k (key, value) VALUES ('x', 'v')")
	assert.Equal(t, up.Rows("k")["x"], "v")
}

func TestLateAnswerReachesNobody(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	c := lend(t, p)
	up.DelayAnswers(100 * time.Millisecond)
	var answer strings.Builder
	_, err := c.Run(t.Context(), time.Now().Add(time.Millisecond), ask(t, &answer, "SELECT 1234"))
	assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown)
	up.DelayAnswers(0)
	p.Put(c)
	got := runs(t, p, "SELECT 4711")
	assert.Assert(t, strings.Contains(got, "4711") && !strings.Contains(got, "1234"), "%q", got)
}

// The end of one request's context must not reach the next request.
func TestCancelAtTheEndOfAnAnswer(t *testing.T) {
	p := newPool(t, startUpstream(t, nil).Address(), func(c *Config) { c.Max = 1 })
	for range 300 {
		ctx, stop := context.WithCancel(t.Context())
		c := lend(t, p)
		_, err := c.Run(ctx, time.Now().Add(waittest.Patience), &Exchange{
			Messages: pgtest.Encode(t, &pgproto3.Query{String: "SELECT 1"}),
			WriteAnswer:     func([]byte) error { stop(); return nil },
		})
		assert.NilError(t, err)
		p.Put(c)
		runs(t, p, "SELECT 2")
	}
}

func TestSettingsBelongToTheirSession(t *testing.T) {
	p := newPool(t, startUpstream(t, nil).Address(), func(c *Config) { c.Max = 1 })
	for _, tc := range []struct {
		settings []string
		a, b     string // what SHOW tells; empty: unset
	}{
		{[]string{"SET my.a = 'x;y'", "SET my.b = '2'"}, "x;y", "2"},
		{[]string{"SET my.a = 'x'"}, "x", ""},
		{nil, "", ""},
		{[]string{"SET my.a = 'it''s' -- note", "SET my.b = '3'"}, "it's", "3"},
		{[]string{"SET my.a = '1'", "SET my.a = '2'"}, "2", ""},
	} {
		for name, want := range map[string]string{"my.a": tc.a, "my.b": tc.b} {
			got := answers(t, p, "SHOW "+name, tc.settings...)
			if want == "" {
				assert.Assert(t, strings.Contains(got, "42704"), "%v: %s is %q", tc.settings, name, got)
			} else {
				assert.Assert(t, strings.Contains(got, want), "%v: %s is %q", tc.settings, name, got)
			}
		}
	}
	c := lend(t, p) // a request that changes settings itself
	var answer strings.Builder
	x := ask(t, &answer, "SET my.a = 'leak'")
	x.ChangesSettings = true
	_, err := c.Run(t.Context(), time.Now().Add(waittest.Patience), x)
	assert.NilError(t, err)
	p.Put(c)
	assert.Assert(t, strings.Contains(answers(t, p, "SHOW my.a"), "42704"))
}

func TestTransactionIsNeverLentOn(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	c := lend(t, p)
	_, err := run(t, c, "BEGIN; INSERT INTO k (key, value) VALUES ('x', 'v')")
	assert.NilError(t, err)
	p.Put(c)
	next := lend(t, p)
	assert.Assert(t, next != c)
	p.Put(next)
	assert.Equal(t, len(up.Rows("k")), 0)
}

// prepared is an exchange that runs a statement by name.
func prepared(t *testing.T, answer *strings.Builder, name, sql string) *Exchange {
	x := ask(t, answer, "")
	x.Prepares = []request.Prepare{{Name: name, Parse: pgtest.Encode(t, &pgproto3.Parse{Name: name, Query: sql})}}
	x.Messages = pgtest.Encode(t, &pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
	return x
}

func TestPreparedStatementsOfAConnection(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	runPrepared := func(name, sql string) string {
		c := lend(t, p)
		var answer strings.Builder
		_, err := c.Run(t.Context(), time.Now().Add(waittest.Patience), prepared(t, &answer, name, sql))
		assert.NilError(t, err)
		p.Put(c)
		return answer.String()
	}
	first := lend(t, p)
	p.Put(first)
	for range 2 { // the second time nothing is sent for it
		got := runPrepared("p1", "SELECT 4711")
		assert.Assert(t, strings.HasPrefix(got, "2\x00") && strings.Contains(got, "4711"), "%q", got)
	}
	for i := range maxPrepared {
		runPrepared(fmt.Sprintf("q%d", i), "SELECT 1")
	}
	second := lend(t, p)
	assert.Assert(t, second != first, "a connection with too many statements is replaced")
	p.Put(second)
	got := runPrepared("bad", "SELEKT")
	assert.Assert(t, strings.Contains(got, "42601"), "%q", got)
	third := lend(t, p)
	assert.Assert(t, third != second, "which statements exist on it is not known")
	p.Put(third)
}
