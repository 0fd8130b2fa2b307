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
	dial, err := DialSQL(address, upstream.Login{User: "u", Database: "ledger"}, 0, waittest.Timeout)
	if err != nil {
		panic(err)
	}
	cfg := Config{
		Dial: dial, Max: 4,
		IdleTimeout: time.Minute, DialTimeout: waittest.Timeout, SilenceTimeout: waittest.Timeout, ProbeTimeout: waittest.Timeout,
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

// getConn gets a connection from the pool.
func getConn(t *testing.T, p *Pool) Conn {
	t.Helper()
	c, err := p.Get(t.Context())
	assert.NilError(t, err)
	return c
}

// newQuery returns an exchange with one simple query whose answer is written to
// answer.
func newQuery(t *testing.T, answer *strings.Builder, sql string, settings ...string) *Exchange {
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
	_, err := c.Run(t.Context(), time.Now().Add(waittest.Timeout), newQuery(t, &answer, sql, settings...))
	return answer.String(), err
}

// mustRun runs one query on a connection of the pool and requires a complete,
// successful answer.
func mustRun(t *testing.T, p *Pool, sql string) string {
	t.Helper()
	answer := queryPool(t, p, sql)
	assert.Assert(t, isComplete(answer), "%q", answer)
	return answer
}

// queryPool runs one query on a connection of the pool and returns the answer,
// which may be an error message.
func queryPool(t *testing.T, p *Pool, sql string, settings ...string) string {
	t.Helper()
	c := getConn(t, p)
	answer, err := run(t, c, sql, settings...)
	assert.NilError(t, err)
	p.Put(c)
	return answer
}

// fill gets n connections at once and puts them back, so that n are idle.
func fill(t *testing.T, p *Pool, n int) {
	t.Helper()
	var conns []Conn
	for range n {
		conns = append(conns, getConn(t, p))
	}
	for _, c := range conns {
		p.Put(c)
	}
}

// isComplete reports whether an answer consists of complete messages, the last of
// which is a CommandComplete.
func isComplete(answer string) bool {
	last, bytes := byte(0), 0
	synthetic.ForEachMessage([]byte(answer), func(kind byte, _ []byte) { last = kind })
	for rest := []byte(answer); len(rest) >= 5; {
		n := 1 + int(rest[1])<<24 + int(rest[2])<<16 + int(rest[3])<<8 + int(rest[4])
		bytes += n
		rest = rest[min(n, len(rest)):]
	}
	return last == 'C' && bytes == len(answer)
}

// Random sequences of calls, during which the upstream also closes connections,
// never open more than Max connections. Neither the count of the pool nor that of
// the upstream may exceed Max.
func TestNeverMoreThanMaxOpen(t *testing.T) {
	const limit = 3
	up := startUpstream(t, func(c *standin.Config) { c.Connections = 20 })
	r := startRelay(t, up.Address())
	rapid.Check(t, func(rt *rapid.T) {
		p, err := New(config(r.listener.Addr().String(), func(c *Config) { c.Max = limit }))
		assert.NilError(rt, err)
		inUse := map[Conn]bool{}
		rt.Cleanup(func() {
			p.Close()
			for c := range inUse {
				p.Put(c)
			}
			waittest.Until(rt, "all closed", func() bool { open, _ := p.Stats(); return open == 0 && up.Stats().Open == 0 })
		})
		release := func() Conn {
			for c := range inUse {
				delete(inUse, c)
				return c
			}
			rt.Skip("no connection is in use")
			return nil
		}
		now := time.Now()
		rt.Repeat(map[string]func(*rapid.T){
			"get": func(rt *rapid.T) {
				ctx, stop := context.WithTimeout(context.Background(), waittest.Timeout)
				defer stop()
				if len(inUse) == limit {
					stop()
				}
				c, err := p.Get(ctx)
				for errkind.Is(err, errkind.UpstreamLost) && errkind.Of(err).Effect == errkind.NotRun {
					c, err = p.Get(ctx) // the upstream closed the connection during the dial
				}
				if len(inUse) == limit {
					assert.Assert(rt, errkind.Is(err, errkind.DeadlineUnreachable))
					return
				}
				assert.NilError(rt, err)
				assert.Assert(rt, !inUse[c], "handed out twice")
				inUse[c] = true
				assert.NilError(rt, c.ping(ctx, waittest.Timeout))
			},
			"put":     func(*rapid.T) { p.Put(release()) },
			"discard": func(*rapid.T) { p.Discard(release()) },
			"maintain": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(rt, "seconds")) * time.Second)
				p.Maintain(context.Background(), now)
			},
			"upstream closes": func(*rapid.T) { r.cutAll() },
			"": func(rt *rapid.T) {
				open, idle := p.Stats()
				assert.Assert(rt, open <= limit && idle+len(inUse) <= open, "open %d, idle %d, in use %d", open, idle, len(inUse))
				assert.Assert(rt, up.Stats().MaxOpen <= limit, "the upstream counted %d", up.Stats().MaxOpen)
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

// A discarded connection whose statement still runs counts as open until the
// upstream has ended it. Otherwise the pool would dial another one and exceed the
// limit at the upstream.
func TestDiscardCancelsRunningStatement(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	c := getConn(t, p)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var answer strings.Builder
	x := newQuery(t, &answer, "SELECT pg_sleep(3600)")
	go func() {
		_, err := c.Run(ctx, time.Now().Add(time.Hour), x)
		done <- err
	}()
	waittest.Until(t, "the statement runs", func() bool { return up.Stats().Running == 1 })
	stop()
	assert.Assert(t, errkind.Is(<-done, errkind.Cancelled))
	up.Freeze() // the upstream receives neither the cancel request nor the close
	p.Discard(c)
	open, _ := p.Stats()
	assert.Equal(t, open, 1, "the connection counts as open until the upstream has ended it")
	up.Thaw()
	mustRun(t, p, "SELECT 1") // the connection limit allows a dial again
	assert.Equal(t, up.Stats().MaxOpen, 1)
	assert.Equal(t, up.Stats().Running, 0)
}

// The connection is cut after each byte of a write, and after each byte of its
// answer. A cut write has an unknown effect, and an answer is passed on only if
// complete.
func TestCutAfterEachByte(t *testing.T) {
	up := startUpstream(t, nil)
	r := startRelay(t, up.Address())
	p := newPool(t, r.listener.Addr().String(), nil)
	write := func(n int) string { return fmt.Sprintf("INSERT INTO k (key, value) VALUES ('%05d', 'v')", n) }
	request := len(pgtest.Encode(t, &pgproto3.Query{String: write(0)}, &pgproto3.Query{String: upstream.StatusQuery}))
	for _, side := range []struct {
		name     string
		up, down int
		bytes    int
		complete bool // whether some exchanges are expected to succeed
	}{{name: "request", up: 1, bytes: request}, {name: "answer", down: 1, bytes: 250, complete: true}} {
		t.Run(side.name, func(t *testing.T) {
			complete := 0
			for n := range side.bytes {
				key := n + 10000*side.up
				c := getConn(t, p)
				r.limit(side.up*(n+1)-1, side.down*(n+1)-1)
				var answer strings.Builder
				x := newQuery(t, &answer, write(key))
				x.QueryMark, x.BufferAnswer, x.BufferLimit = true, true, 1<<20
				out, err := c.Run(t.Context(), time.Now().Add(waittest.Timeout), x)
				r.limit(-1, -1)
				_, committed := up.Rows("k")[fmt.Sprintf("%05d", key)]
				if err == nil {
					complete++
					assert.Assert(t, committed && out.HasMark && isComplete(answer.String()), "byte %d", n)
				} else {
					assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown, "byte %d: %v", n, err)
					assert.Equal(t, answer.Len(), 0)
				}
				p.Put(c)
				assert.Assert(t, strings.Contains(mustRun(t, p, "SELECT 4711"), "4711"), "byte %d", n)
			}
			assert.Equal(t, complete > 0, side.complete)
			assert.Assert(t, complete < side.bytes)
		})
	}
}

// getAsync calls Get in the background and returns the channel that receives its
// error.
func getAsync(p *Pool) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := p.Get(context.Background())
		done <- err
	}()
	return done
}

// A request has the effect NotRun if it fails before a byte of it is sent.
func TestNotRunBeforeFirstByte(t *testing.T) {
	up := startUpstream(t, nil)
	r := startRelay(t, up.Address())
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	for _, tc := range []struct {
		name string
		kind errkind.Kind
		try  func(p *Pool) error
	}{
		{"pool closed during dial", errkind.UpstreamLost, func(p *Pool) error {
			up.Freeze()
			err := getAsync(p)
			waittest.Until(t, "a dial in progress", func() bool { open, _ := p.Stats(); return open == 1 })
			p.Close()
			up.Thaw()
			return <-err
		}},
		{"closed by this host", errkind.UpstreamLost, func(p *Pool) error {
			c := getConn(t, p)
			defer p.Discard(c)
			_ = c.base().net.Close()
			_, err := run(t, c, "SELECT 1")
			return err
		}},
		{"closed by the upstream in a transaction", errkind.UpstreamLost, func(p *Pool) error {
			c := getConn(t, p)
			defer p.Discard(c)
			assert.NilError(t, c.(*SQLConn).Exec(t.Context(), "BEGIN"))
			r.cutAll()
			var answer strings.Builder
			x := newQuery(t, &answer, "INSERT INTO k (key, value) VALUES ('tx', 'v')")
			x.KeepSettings = true
			_, err := c.Run(t.Context(), time.Now().Add(waittest.Timeout), x)
			return err
		}},
		{"no connection became free", errkind.DeadlineUnreachable, func(p *Pool) error {
			c := getConn(t, p)
			defer p.Put(c)
			_, err := p.Get(cancelled)
			return err
		}},
		{"pool closed while waiting", errkind.UpstreamLost, func(p *Pool) error {
			c := getConn(t, p)
			err := getAsync(p)
			waittest.Until(t, "a waiter", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.waiters) == 1 })
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
			c := getConn(t, p)
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

// Idle connections that the upstream has closed are replaced before a request is
// sent on them.
func TestConnectionClosedWhileIdleFailsNoRequest(t *testing.T) {
	up := startUpstream(t, nil)
	r := startRelay(t, up.Address())
	p := newPool(t, r.listener.Addr().String(), nil)
	fill(t, p, 3)
	r.cutAll()
	mustRun(t, p, "INSERT INTO k (key, value) VALUES ('x', 'v')")
	assert.Equal(t, up.Rows("k")["x"], "v")
}

// An answer that arrives after the deadline of its request is not taken for the
// answer to the next request.
func TestLateAnswerIsDropped(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	c := getConn(t, p)
	up.DelayAnswers(100 * time.Millisecond)
	var answer strings.Builder
	_, err := c.Run(t.Context(), time.Now().Add(time.Millisecond), newQuery(t, &answer, "SELECT 1234"))
	assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown)
	up.DelayAnswers(0)
	p.Put(c)
	got := mustRun(t, p, "SELECT 4711")
	assert.Assert(t, strings.Contains(got, "4711") && !strings.Contains(got, "1234"), "%q", got)
}

// A context that is cancelled while its answer completes must not interrupt the
// next request on the connection: the interrupt runs in another goroutine and may
// come late.
func TestCancelAtEndOfAnswer(t *testing.T) {
	p := newPool(t, startUpstream(t, nil).Address(), func(c *Config) { c.Max = 1 })
	for range 300 {
		ctx, stop := context.WithCancel(t.Context())
		c := getConn(t, p)
		_, err := c.Run(ctx, time.Now().Add(waittest.Timeout), &Exchange{
			Messages:    pgtest.Encode(t, &pgproto3.Query{String: "SELECT 1"}),
			WriteAnswer: func([]byte) error { stop(); return nil },
		})
		assert.NilError(t, err)
		p.Put(c)
		mustRun(t, p, "SELECT 2")
	}
}

// Session settings never carry over to another session on the same connection.
func TestSettingsAreResetBetweenSessions(t *testing.T) {
	p := newPool(t, startUpstream(t, nil).Address(), func(c *Config) { c.Max = 1 })
	for _, tc := range []struct {
		settings []string
		a, b     string // the values that SHOW returns; empty: unset
	}{
		{[]string{"SET my.a = 'x;y'", "SET my.b = '2'"}, "x;y", "2"},
		{[]string{"SET my.a = 'x'"}, "x", ""},
		{nil, "", ""},
		{[]string{"SET my.a = 'it''s' -- note", "SET my.b = '3'"}, "it's", "3"},
		{[]string{"SET my.a = '1'", "SET my.a = '2'"}, "2", ""},
	} {
		for name, want := range map[string]string{"my.a": tc.a, "my.b": tc.b} {
			got := queryPool(t, p, "SHOW "+name, tc.settings...)
			if want == "" {
				assert.Assert(t, strings.Contains(got, "42704"), "%v: %s is %q", tc.settings, name, got)
			} else {
				assert.Assert(t, strings.Contains(got, want), "%v: %s is %q", tc.settings, name, got)
			}
		}
	}
	c := getConn(t, p) // a request that changes settings itself
	var answer strings.Builder
	x := newQuery(t, &answer, "SET my.a = 'leak'")
	x.ChangesSettings = true
	_, err := c.Run(t.Context(), time.Now().Add(waittest.Timeout), x)
	assert.NilError(t, err)
	p.Put(c)
	assert.Assert(t, strings.Contains(queryPool(t, p, "SHOW my.a"), "42704"))
}

// A connection that is put back inside a transaction is closed, which rolls the
// transaction back.
func TestOpenTransactionIsNotReused(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	c := getConn(t, p)
	_, err := run(t, c, "BEGIN; INSERT INTO k (key, value) VALUES ('x', 'v')")
	assert.NilError(t, err)
	p.Put(c)
	next := getConn(t, p)
	assert.Assert(t, next != c)
	p.Put(next)
	assert.Equal(t, len(up.Rows("k")), 0)
}

// newPrepared returns an exchange that runs a prepared statement by name.
func newPrepared(t *testing.T, answer *strings.Builder, name, sql string) *Exchange {
	x := newQuery(t, answer, "")
	x.Prepares = []request.Prepare{{Name: name, Parse: pgtest.Encode(t, &pgproto3.Parse{Name: name, Query: sql})}}
	x.Messages = pgtest.Encode(t, &pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
	return x
}

// A statement is prepared once per connection. A connection is replaced when it
// has too many prepared statements, or when preparing one has failed.
func TestPreparedStatementsPerConnection(t *testing.T) {
	up := startUpstream(t, nil)
	p := newPool(t, up.Address(), func(c *Config) { c.Max = 1 })
	runPrepared := func(name, sql string) string {
		c := getConn(t, p)
		var answer strings.Builder
		_, err := c.Run(t.Context(), time.Now().Add(waittest.Timeout), newPrepared(t, &answer, name, sql))
		assert.NilError(t, err)
		p.Put(c)
		return answer.String()
	}
	first := getConn(t, p)
	p.Put(first)
	for range 2 { // the second time no Parse is sent
		got := runPrepared("p1", "SELECT 4711")
		assert.Assert(t, strings.HasPrefix(got, "2\x00") && strings.Contains(got, "4711"), "%q", got)
	}
	for i := range maxPrepared {
		runPrepared(fmt.Sprintf("q%d", i), "SELECT 1")
	}
	second := getConn(t, p)
	assert.Assert(t, second != first, "a connection with too many statements is replaced")
	p.Put(second)
	got := runPrepared("bad", "SELEKT")
	assert.Assert(t, strings.Contains(got, "42601"), "%q", got)
	third := getConn(t, p)
	assert.Assert(t, third != second, "a connection is replaced when it is unknown which statements exist on it")
	p.Put(third)
}
