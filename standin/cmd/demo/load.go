package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

// The classes of the document that the load uses.
const (
	classTicket     = "weighbridge-ticket"
	classSettlement = "settlement"
	classLookup     = "booking-lookup"
	classReport     = "stock-report"
)

// The tables that the load writes.
const (
	tickets     = "tickets"
	settlements = "settlements"
)

const (
	// requestTimeout is when a caller gives up.
	requestTimeout = 10 * time.Second
	// roamEvery is after how many requests a caller moves to another host.
	roamEvery = 25
	// maxRepeats bounds the repeats of a write whose outcome is unknown.
	maxRepeats = 5
	// repeatOneIn is the share of acknowledged writes that are repeated.
	repeatOneIn = 20
)

// load is the callers and what they saw.
type load struct {
	flags   flags
	cluster *deploy.Cluster
	yards   []deploy.Key
	ledger  *ledger.Ledger
	begin   time.Time
	callers sync.WaitGroup
}

func newLoad(f flags, c *deploy.Cluster, yards []deploy.Key) *load {
	return &load{flags: f, cluster: c, yards: yards, ledger: ledger.New()}
}

// start starts the callers; they end by themselves.
func (l *load) start(ctx context.Context) {
	l.begin = time.Now()
	end := l.begin.Add(l.flags.Duration)
	for i := range l.flags.Callers {
		c := &caller{load: l, number: i, host: i, random: rand.New(rand.NewPCG(l.flags.Seed, uint64(i)))}
		l.callers.Go(func() { c.run(ctx, end) })
	}
}

func (l *load) wait() { l.callers.Wait() }

// since returns the time since the start of the load.
func (l *load) since() time.Duration { return time.Since(l.begin) }

// caller is one session that roams from host to host.
type caller struct {
	load    *load
	number  int
	host    int
	random  *rand.Rand
	conn    *pgx.Conn
	token   string
	written int
	// last is the latest row of each yard whose write was acknowledged.
	last map[deploy.Key]ledger.Row
}

func (c *caller) run(ctx context.Context, end time.Time) {
	c.last = map[deploy.Key]ledger.Row{}
	defer c.hangUp(ctx)
	for n := 1; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if n%roamEvery == 0 {
			c.roam(ctx)
		}
		if c.connected(ctx) {
			c.request(ctx)
		}
		if deploy.Pause(ctx, c.load.flags.Pause) != nil {
			return
		}
	}
}

// connected connects to the caller's host, with the token of the session.
func (c *caller) connected(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	query := url.Values{"sslmode": {"disable"}, "default_query_exec_mode": {"exec"}}
	if c.token != "" {
		query.Set(bench.TokenParameter, c.token)
	}
	h := c.load.cluster.Hosts[c.host%len(c.load.cluster.Hosts)]
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://caller-%d@%s/%s?%s", c.number, h.Caller, service, query.Encode()))
	if err != nil {
		c.load.ledger.CountRefusal("connect: " + ledger.OutcomeOf(err).Kind)
		c.host++
		return false
	}
	c.conn = conn
	return true
}

// roam moves the session to the next host.
func (c *caller) roam(ctx context.Context) {
	c.hangUp(ctx)
	c.host++
}

func (c *caller) hangUp(ctx context.Context) {
	if c.conn != nil {
		_ = c.conn.Close(ctx) // it may be closed by now
	}
}

// request sends one request of the mix.
func (c *caller) request(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	y := c.load.yards[c.random.IntN(len(c.load.yards))]
	switch pick := c.random.IntN(100); {
	case pick < 15:
		c.write(ctx, classTicket, tickets, y)
	case pick < 25:
		c.write(ctx, classSettlement, settlements, y)
	case pick < 60:
		c.lookup(ctx, y)
	default:
		c.report(ctx, y)
	}
}

// write inserts a row that no other request inserts. While its outcome is
// unknown it is repeated at other hosts under its request id, and so are some
// that were acknowledged, as after a lost answer.
func (c *caller) write(ctx context.Context, class, table string, y deploy.Key) {
	c.written++
	r := c.record(ledger.OpWrite, class, ledger.Row{Group: y.Group, Table: table, Key: fmt.Sprintf("%s/%d-%d", y.Name, c.number, c.written)})
	r.Outcome = c.insert(ctx, class, r.Row, y)
	r.End = c.load.since()
	for range maxRepeats {
		if !r.Outcome.Unsettled() {
			break
		}
		r.Outcome = c.repeat(ctx, r.Outcome, func() ledger.Outcome { return c.insert(ctx, class, r.Row, y) })
		r.End = c.load.since()
	}
	if r.Outcome.OK() && c.random.IntN(repeatOneIn) == 0 {
		r.Outcome = c.repeat(ctx, r.Outcome, func() ledger.Outcome { return c.insert(ctx, class, r.Row, y) })
	}
	c.load.ledger.Add(r)
	if r.Outcome.OK() {
		c.last[y] = r.Row
	}
}

// record begins the record of a request.
func (c *caller) record(op ledger.Op, class string, row ledger.Row) ledger.Record {
	now := c.load.since()
	return ledger.Record{Op: op, Class: class, Session: c.number, Row: row, Intended: now, Begin: now}
}

// repeat sends a request again, at the next host.
func (c *caller) repeat(ctx context.Context, first ledger.Outcome, send func() ledger.Outcome) ledger.Outcome {
	c.roam(ctx)
	if deploy.Pause(ctx, c.load.flags.Pause) != nil || !c.connected(ctx) {
		return first
	}
	again := send()
	c.load.ledger.Repeated(first, again)
	return ledger.MergeOutcomes(first, again)
}

func (c *caller) insert(ctx context.Context, class string, r ledger.Row, y deploy.Key) ledger.Outcome {
	query := fmt.Sprintf("/* class=%s key=%s request_id=%s */ INSERT INTO %s (key, value) VALUES ($1, $2)", class, y.Name, r.Key, r.Table)
	_, err := c.conn.Exec(ctx, query, r.Key, "1")
	if err == nil {
		c.keepToken()
	}
	return ledger.OutcomeOf(err)
}

// lookup reads the caller's latest row of the yard, which it must find.
func (c *caller) lookup(ctx context.Context, y deploy.Key) {
	r := c.record(ledger.OpRead, classLookup, c.latest(y))
	query := fmt.Sprintf("/* class=%s key=%s */ SELECT value FROM %s WHERE key=$1", classLookup, y.Name, r.Row.Table)
	var value string
	err := c.conn.QueryRow(ctx, query, r.Row.Key).Scan(&value)
	r.Found = err == nil
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	r.End, r.Outcome = c.load.since(), ledger.OutcomeOf(err)
	c.load.ledger.Add(r)
}

// latest returns the caller's latest row of a yard, or one that nobody writes.
func (c *caller) latest(y deploy.Key) ledger.Row {
	if r, ok := c.last[y]; ok {
		return r
	}
	return ledger.Row{Group: y.Group, Table: tickets, Key: "none"}
}

// report reads what may be old, but not older than the session's own writes.
func (c *caller) report(ctx context.Context, y deploy.Key) {
	r := c.record(ledger.OpRead, classReport, c.latest(y))
	query := fmt.Sprintf("/* class=%s key=%s */ SELECT key FROM %s", classReport, y.Name, r.Row.Table)
	result, err := c.conn.Query(ctx, query)
	var keys []string
	if err == nil {
		keys, err = pgx.CollectRows(result, pgx.RowTo[string])
	}
	r.End, r.Outcome, r.Found = c.load.since(), ledger.OutcomeOf(err), slices.Contains(keys, r.Row.Key)
	c.load.ledger.Add(r)
}

func (c *caller) keepToken() {
	if token := c.conn.PgConn().ParameterStatus(bench.TokenParameter); token != "" {
		c.token = token
	}
}
