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

// The classes of the service document that the load uses.
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
	// requestTimeout bounds a request, and the connection to a host.
	requestTimeout = 10 * time.Second
	// roamEvery is the number of requests after which a caller moves to the next
	// host.
	roamEvery = 25
	// maxRepeats is the maximum number of repeats of a write whose outcome is
	// unknown.
	maxRepeats = 5
	// repeatOneIn sets how many acknowledged writes are repeated: on average one
	// in this number.
	repeatOneIn = 20
)

// load is the callers and the ledger of their requests.
type load struct {
	flags   flags
	cluster *deploy.Cluster
	keys    []deploy.RoutingKey
	ledger  *ledger.Ledger
	begin   time.Time
	callers sync.WaitGroup
}

func newLoad(f flags, c *deploy.Cluster, keys []deploy.RoutingKey) *load {
	return &load{flags: f, cluster: c, keys: keys, ledger: ledger.New()}
}

// start starts the callers. They stop after Duration, or when ctx ends.
func (l *load) start(ctx context.Context) {
	l.begin = time.Now()
	end := l.begin.Add(l.flags.Duration)
	for i := range l.flags.Callers {
		c := &caller{load: l, number: i, host: i, random: rand.New(rand.NewPCG(l.flags.Seed, uint64(i)))}
		l.callers.Go(func() { c.run(ctx, end) })
	}
}

func (l *load) wait() { l.callers.Wait() }

// elapsed returns the time since the start of the load.
func (l *load) elapsed() time.Duration { return time.Since(l.begin) }

// caller is a session that moves from host to host.
type caller struct {
	load   *load
	number int
	host   int
	random *rand.Rand
	conn   *pgx.Conn
	token  string
	writes int
	// latestRows holds, by routing key, the latest row whose write was acknowledged.
	latestRows map[deploy.RoutingKey]ledger.Row
}

func (c *caller) run(ctx context.Context, end time.Time) {
	c.latestRows = map[deploy.RoutingKey]ledger.Row{}
	defer c.disconnect(ctx)
	for n := 1; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if n%roamEvery == 0 {
			c.roam(ctx)
		}
		if c.ensureConnected(ctx) {
			c.request(ctx)
		}
		if deploy.Sleep(ctx, c.load.flags.Pause) != nil {
			return
		}
	}
}

// ensureConnected connects to the caller's host with the session token, unless the
// caller is connected. If this fails, the caller moves to the next host and
// ensureConnected returns false.
func (c *caller) ensureConnected(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	query := url.Values{"sslmode": {"disable"}, "default_query_exec_mode": {"exec"}}
	if c.token != "" {
		query.Set(bench.TokenParameter, c.token)
	}
	h := c.load.cluster.Hosts[c.host%len(c.load.cluster.Hosts)]
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://caller-%d@%s/%s?%s", c.number, h.CallerAddress, service, query.Encode()))
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
	c.disconnect(ctx)
	c.host++
}

func (c *caller) disconnect(ctx context.Context) {
	if c.conn != nil {
		_ = c.conn.Close(ctx) // the connection may already be closed
	}
}

// request sends a random request: 15 % tickets, 10 % settlements, 35 % lookups and
// 40 % reports.
func (c *caller) request(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	key := c.load.keys[c.random.IntN(len(c.load.keys))]
	switch n := c.random.IntN(100); {
	case n < 15:
		c.write(ctx, classTicket, tickets, key)
	case n < 25:
		c.write(ctx, classSettlement, settlements, key)
	case n < 60:
		c.lookup(ctx, key)
	default:
		c.report(ctx, key)
	}
}

// write inserts a row that no other request inserts. While the outcome is unknown,
// write repeats the request at other hosts under the same request id. It also
// repeats some acknowledged requests, as a caller that lost the answer does.
func (c *caller) write(ctx context.Context, class, table string, key deploy.RoutingKey) {
	c.writes++
	r := c.record(ledger.OpWrite, class, ledger.Row{Group: key.Group, Table: table, Key: fmt.Sprintf("%s/%d-%d", key.Name, c.number, c.writes)})
	r.Outcome = c.insert(ctx, class, r.Row, key)
	r.End = c.load.elapsed()
	for range maxRepeats {
		if !r.Outcome.Unsettled() {
			break
		}
		r.Outcome = c.repeat(ctx, r.Outcome, func() ledger.Outcome { return c.insert(ctx, class, r.Row, key) })
		r.End = c.load.elapsed()
	}
	if r.Outcome.OK() && c.random.IntN(repeatOneIn) == 0 {
		r.Outcome = c.repeat(ctx, r.Outcome, func() ledger.Outcome { return c.insert(ctx, class, r.Row, key) })
	}
	c.load.ledger.Add(r)
	if r.Outcome.OK() {
		c.latestRows[key] = r.Row
	}
}

// record returns a record of a request that starts now.
func (c *caller) record(op ledger.Op, class string, row ledger.Row) ledger.Record {
	now := c.load.elapsed()
	return ledger.Record{Op: op, Class: class, Session: c.number, Row: row, Intended: now, Begin: now}
}

// repeat sends a request again to the next host and returns the combined outcome.
func (c *caller) repeat(ctx context.Context, first ledger.Outcome, send func() ledger.Outcome) ledger.Outcome {
	c.roam(ctx)
	if deploy.Sleep(ctx, c.load.flags.Pause) != nil || !c.ensureConnected(ctx) {
		return first
	}
	repeated := send()
	c.load.ledger.CountRepeat(first, repeated)
	return ledger.MergeOutcomes(first, repeated)
}

func (c *caller) insert(ctx context.Context, class string, r ledger.Row, key deploy.RoutingKey) ledger.Outcome {
	query := fmt.Sprintf("/* class=%s key=%s request_id=%s */ INSERT INTO %s (key, value) VALUES ($1, $2)", class, key.Name, r.Key, r.Table)
	_, err := c.conn.Exec(ctx, query, r.Key, "1")
	if err == nil {
		c.saveToken()
	}
	return ledger.OutcomeOf(err)
}

// lookup reads the caller's latest row under the routing key. The session must find
// it (read-your-writes).
func (c *caller) lookup(ctx context.Context, key deploy.RoutingKey) {
	r := c.record(ledger.OpRead, classLookup, c.latest(key))
	query := fmt.Sprintf("/* class=%s key=%s */ SELECT value FROM %s WHERE key=$1", classLookup, key.Name, r.Row.Table)
	var value string
	err := c.conn.QueryRow(ctx, query, r.Row.Key).Scan(&value)
	r.Found = err == nil
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	r.End, r.Outcome = c.load.elapsed(), ledger.OutcomeOf(err)
	c.load.ledger.Add(r)
}

// latest returns the caller's latest row under a routing key, or a row that no caller
// writes.
func (c *caller) latest(key deploy.RoutingKey) ledger.Row {
	if r, ok := c.latestRows[key]; ok {
		return r
	}
	return ledger.Row{Group: key.Group, Table: tickets, Key: "none"}
}

// report reads a table with bounded staleness. The result must still contain the
// writes of the session.
func (c *caller) report(ctx context.Context, key deploy.RoutingKey) {
	r := c.record(ledger.OpRead, classReport, c.latest(key))
	query := fmt.Sprintf("/* class=%s key=%s */ SELECT key FROM %s", classReport, key.Name, r.Row.Table)
	rows, err := c.conn.Query(ctx, query)
	var keys []string
	if err == nil {
		keys, err = pgx.CollectRows(rows, pgx.RowTo[string])
	}
	r.End, r.Outcome, r.Found = c.load.elapsed(), ledger.OutcomeOf(err), slices.Contains(keys, r.Row.Key)
	c.load.ledger.Add(r)
}

func (c *caller) saveToken() {
	if token := c.conn.PgConn().ParameterStatus(bench.TokenParameter); token != "" {
		c.token = token
	}
}
