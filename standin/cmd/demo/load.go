package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
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
	// tokenParameter carries the session to another host.
	tokenParameter = "amaranthweir.session"
)

// load is the callers and what they saw.
type load struct {
	flags   flags
	cluster *cluster
	yards   []yard
	journal *journal
	callers sync.WaitGroup
}

func newLoad(f flags, c *cluster, yards []yard) *load {
	return &load{flags: f, cluster: c, yards: yards, journal: newJournal()}
}

// start starts the callers; they end by themselves.
func (l *load) start(ctx context.Context) {
	end := time.Now().Add(l.flags.Duration)
	for i := range l.flags.Callers {
		c := &caller{load: l, number: i, host: i, random: rand.New(rand.NewPCG(l.flags.Seed, uint64(i)))}
		l.callers.Go(func() { c.run(ctx, end) })
	}
}

func (l *load) wait() { l.callers.Wait() }

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
	last map[yard]row
}

func (c *caller) run(ctx context.Context, end time.Time) {
	c.last = map[yard]row{}
	defer c.hangUp(ctx)
	for n := 1; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if n%roamEvery == 0 {
			c.roam(ctx)
		}
		if c.connected(ctx) {
			c.request(ctx)
		}
		if pause(ctx, c.load.flags.Pause) != nil {
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
		query.Set(tokenParameter, c.token)
	}
	h := c.load.cluster.hosts[c.host%hostCount]
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://caller-%d@%s/%s?%s", c.number, h.caller, service, query.Encode()))
	if err != nil {
		c.load.journal.refused("connect: " + outcomeOf(err).kind)
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
func (c *caller) write(ctx context.Context, class, table string, y yard) {
	c.written++
	r := row{y.group, table, fmt.Sprintf("%s/%d-%d", y.name, c.number, c.written)}
	begin := time.Now()
	o := c.insert(ctx, class, r, y)
	took := time.Since(begin)
	for range maxRepeats {
		if o.ok() || o.effect != unknown || o.kind == kindRanTwice {
			break
		}
		o = c.repeat(ctx, o, func() outcome { return c.insert(ctx, class, r, y) })
		took = time.Since(begin)
	}
	if o.ok() && c.random.IntN(repeatOneIn) == 0 {
		o = c.repeat(ctx, o, func() outcome { return c.insert(ctx, class, r, y) })
	}
	c.load.journal.wrote(class, r, o, begin, begin.Add(took))
	if o.ok() {
		c.last[y] = r
	}
}

// repeat sends a request again, at the next host. A write that was
// acknowledged stays so, unless the repeat shows that it ran twice. A repeat
// that was not run says nothing about the first attempt.
func (c *caller) repeat(ctx context.Context, first outcome, send func() outcome) outcome {
	c.roam(ctx)
	if pause(ctx, c.load.flags.Pause) != nil || !c.connected(ctx) {
		return first
	}
	again := send()
	c.load.journal.repeated(first, again)
	if again.kind != kindRanTwice && (first.ok() || again.effect == notRun) {
		return first
	}
	return again
}

func (c *caller) insert(ctx context.Context, class string, r row, y yard) outcome {
	query := fmt.Sprintf("/* class=%s key=%s request_id=%s */ INSERT INTO %s (key, value) VALUES ($1, $2)", class, y.name, r.key, r.table)
	_, err := c.conn.Exec(ctx, query, r.key, "1")
	if err == nil {
		c.keepToken()
	}
	return outcomeOf(err)
}

// lookup reads the caller's latest row of the yard, which it must find.
func (c *caller) lookup(ctx context.Context, y yard) {
	r, ok := c.last[y]
	if !ok {
		r = row{y.group, tickets, "none"}
	}
	query := fmt.Sprintf("/* class=%s key=%s */ SELECT value FROM %s WHERE key=$1", classLookup, y.name, r.table)
	begin := time.Now()
	var value string
	err := c.conn.QueryRow(ctx, query, r.key).Scan(&value)
	missing := errors.Is(err, pgx.ErrNoRows)
	if missing {
		err = nil
	}
	c.load.journal.read(classLookup, outcomeOf(err), begin, time.Now())
	if missing && ok {
		c.load.journal.missedOwnWrite(r)
	}
}

// report reads what may be old, but not older than the session's own writes.
func (c *caller) report(ctx context.Context, y yard) {
	query := fmt.Sprintf("/* class=%s key=%s */ SELECT key FROM %s", classReport, y.name, tickets)
	begin := time.Now()
	result, err := c.conn.Query(ctx, query)
	var keys []string
	if err == nil {
		keys, err = pgx.CollectRows(result, pgx.RowTo[string])
	}
	c.load.journal.read(classReport, outcomeOf(err), begin, time.Now())
	r, ok := c.last[y]
	if err != nil || !ok || r.table != tickets {
		return
	}
	for _, key := range keys {
		if key == r.key {
			return
		}
	}
	c.load.journal.missedOwnWrite(r)
}

func (c *caller) keepToken() {
	if token := c.conn.PgConn().ParameterStatus(tokenParameter); token != "" {
		c.token = token
	}
}

// effect says what a caller knows of a request.
type effect uint8

const (
	ran effect = iota
	notRun
	unknown
)

// outcome is how a request ended.
type outcome struct {
	kind   string // of the error, or empty
	effect effect
}

func (o outcome) ok() bool { return o.kind == "" }

// kindRanTwice is the kind of the error for a row that is there already: its
// request ran twice, for no other request inserts it.
const kindRanTwice = "duplicate_key"

// outcomeOf reads the kind and the effect from the detail of an error answer.
// An error without them, or no answer, leaves the effect unknown.
func outcomeOf(err error) outcome {
	if err == nil {
		return outcome{}
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return outcome{"no_answer", unknown}
	}
	if pg.Code == "23505" {
		return outcome{kindRanTwice, unknown}
	}
	text, ok := strings.CutPrefix(pg.Detail, "kind: ")
	kind, what, _ := strings.Cut(text, "; effect: ")
	if !ok {
		return outcome{"sqlstate_" + pg.Code, unknown}
	}
	if what == "not run" {
		return outcome{kind, notRun}
	}
	return outcome{kind, unknown}
}
