package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/session"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

// The tables that the load writes.
const (
	rowsTable  = "rows"
	pairsTable = "pairs"
	beatsTable = "beats"
)

var tables = []string{rowsTable, pairsTable, beatsTable}

const (
	// keysPerGroup is the number of routing keys in each group.
	keysPerGroup = 4
	// requestTimeout bounds a request and the connection to a host. A host answers
	// before it: the deadline of the classes is shorter.
	requestTimeout = 10 * time.Second
	// pause is the pause of a caller between two requests.
	pause = 25 * time.Millisecond
	// roamOneIn and repeatOneIn set how many requests are followed by a move to
	// another host, and how many acknowledged writes are repeated.
	roamOneIn, repeatOneIn = 40, 20
	// maxRepeats is the maximum number of repeats of a write with an unknown outcome.
	maxRepeats = 4
	// beatInterval is the time between two heartbeats of a group.
	beatInterval = 200 * time.Millisecond
	// closeTimeout bounds the closing of a connection.
	closeTimeout = 200 * time.Millisecond
)

// rolledBack is the outcome of a transaction that did not ask for a commit.
var rolledBack = ledger.Outcome{Kind: "rolled_back", Effect: errkind.NotRun}

// load is the callers of a run.
type load struct {
	run     *run
	keys    []deploy.RoutingKey
	keyring *session.Keyring
	callers sync.WaitGroup
	beats   map[string]*atomic.Int64 // heartbeats sent, by group
}

// startLoad starts the callers and a writer of heartbeats for each group. They stop
// when ctx ends, after their current request.
func startLoad(ctx context.Context, r *run, keys []deploy.RoutingKey) *load {
	l := &load{run: r, keys: keys, beats: map[string]*atomic.Int64{}}
	secrets, err := session.ParseKeys(r.cluster.SessionKeys())
	if err == nil {
		l.keyring, err = session.NewKeyring(secrets)
	}
	if err != nil {
		panic(err) // the deployment makes its keys itself
	}
	for _, group := range r.size.Groups {
		l.beats[group] = &atomic.Int64{}
	}
	for i := range r.cfg.Callers {
		c := l.newCaller(i)
		l.callers.Go(func() { c.loop(ctx, c.request) })
	}
	for i, group := range r.size.Groups {
		c := l.newCaller(r.cfg.Callers + i)
		key := l.keyOf(group)
		l.callers.Go(func() { c.loop(ctx, func(ctx context.Context) { c.beat(ctx, key) }) })
	}
	return l
}

func (l *load) keyOf(group string) deploy.RoutingKey {
	for _, key := range l.keys {
		if key.Group == group {
			return key
		}
	}
	return deploy.RoutingKey{}
}

func (l *load) newCaller(number int) *caller {
	return &caller{
		load: l, number: number, host: number, random: rand.New(rand.NewPCG(l.run.cfg.Seed, uint64(number))),
		latest: map[string]ledger.Row{}, ledger: l.run.recorder.ledger,
	}
}

func (l *load) wait() { l.callers.Wait() }

// caller is a session that sends one request at a time. It keeps its connection until
// the connection is gone, or now and then moves to another host.
type caller struct {
	load   *load
	ledger *ledger.Ledger
	number int
	host   int
	random *rand.Rand
	conn   *pgx.Conn
	token  string
	writes int
	// latest holds, by routing key, the latest row whose write was acknowledged.
	latest map[string]ledger.Row
}

// loop calls request with an open connection until ctx ends.
func (c *caller) loop(ctx context.Context, request func(context.Context)) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.random.IntN(roamOneIn) == 0 {
			c.roam()
		}
		if c.connect(ctx) {
			// A request is not cut off at the end of the load, so that its outcome is known.
			requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
			request(requestCtx)
			cancel()
		}
		_ = deploy.Sleep(ctx, pause) // the loop ends with ctx
	}
}

// connect connects with the session token unless a connection is open. If that fails,
// the caller moves to the next host.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil && !c.conn.IsClosed() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout/5)
	defer cancel()
	query := url.Values{"sslmode": {"disable"}, "default_query_exec_mode": {"exec"}}
	if c.token != "" {
		query.Set(bench.TokenParameter, c.token)
	}
	hosts := c.load.run.cluster.Hosts
	address := c.load.run.network.callerAddress(hosts[c.host%len(hosts)].Name)
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://caller-%d@%s/%s?%s", c.number, address, service, query.Encode()))
	if err != nil {
		c.ledger.CountRefusal("connect: " + ledger.OutcomeOf(err).Kind)
		c.host++
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) roam() {
	c.disconnect()
	c.host++
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx) // it may be closed already
	c.conn = nil
}

func (c *caller) now() time.Duration { return c.load.run.recorder.now() }

// request sends a random request.
func (c *caller) request(ctx context.Context) {
	key := pick(c.random, c.load.keys)
	switch n := c.random.IntN(100); {
	case n < 25:
		c.write(ctx, classOnce, key)
	case n < 40:
		c.write(ctx, classRepeatable, key)
	case n < 52:
		c.transaction(ctx, key)
	case n < 75:
		c.lookup(ctx, classCurrent, key)
	case n < 92:
		c.lookup(ctx, classStale, key)
	case n < 96:
		c.readBeats(ctx, classCurrent, 0, key)
	default:
		c.readBeats(ctx, classStale, staleness, key)
	}
}

func (c *caller) newRow(name string, key deploy.RoutingKey) ledger.Row {
	c.writes++
	return ledger.Row{Group: key.Group, Table: name, Key: fmt.Sprintf("%s/%d-%d", key.Name, c.number, c.writes)}
}

func (c *caller) record(op ledger.Op, class string, row ledger.Row) ledger.Record {
	now := c.now()
	return ledger.Record{Op: op, Class: class, Session: c.number, Row: row, Intended: now, Begin: now}
}

// write inserts a row that no other request inserts. While the outcome is unknown, it
// repeats the request at other hosts under its request id, and so it does with some
// acknowledged requests.
func (c *caller) write(ctx context.Context, class string, key deploy.RoutingKey) {
	r := c.record(ledger.OpWrite, class, c.newRow(rowsTable, key))
	query := fmt.Sprintf("/* class=%s key=%s request_id=%s */ INSERT INTO %s (key, value) VALUES ($1, $2)", class, key.Name, r.Row.Key, r.Row.Table)
	insert := func() ledger.Outcome {
		o, _ := c.exec(ctx, key.Group, query, r.Row.Key)
		return o
	}
	r.Outcome = insert()
	repeats := 0
	if r.Outcome.OK() && c.random.IntN(repeatOneIn) == 0 {
		repeats = maxRepeats - 1
	}
	for ; repeats < maxRepeats && ctx.Err() == nil && (r.Outcome.OK() && repeats == maxRepeats-1 || r.Outcome.Unsettled()); repeats++ {
		c.roam()
		if !c.connect(ctx) {
			continue
		}
		repeated := insert()
		c.ledger.CountRepeat(r.Outcome, repeated)
		r.Outcome = ledger.MergeOutcomes(r.Outcome, repeated)
	}
	c.finish(r, key)
}

// finish records a write.
func (c *caller) finish(r ledger.Record, key deploy.RoutingKey) {
	r.End = c.now()
	c.ledger.Add(r)
	if r.Outcome.OK() {
		c.latest[key.Name] = r.Row
	}
}

// exec runs a write and keeps the session token and the term in which it was
// acknowledged.
func (c *caller) exec(ctx context.Context, group, query, key string) (ledger.Outcome, error) {
	begin := c.now()
	_, err := c.conn.Exec(ctx, query, key, "1")
	if err == nil {
		c.acknowledged(group, begin)
	}
	return c.outcome(err), err
}

// noteCut records a write that began at begin if its connection ended without an answer.
func (c *caller) noteCut(err error, row ledger.Row, begin time.Duration) {
	if err == nil || ledger.OutcomeOf(err).Kind != ledger.KindNoAnswer || pgconn.Timeout(err) {
		return
	}
	hosts := c.load.run.cluster.Hosts
	cut := Cut{Host: hosts[c.host%len(hosts)].Name, Begin: begin, End: c.now(), Row: row}
	c.load.run.recorder.add(func(h *History) { h.Cuts = append(h.Cuts, cut) })
}

// outcome returns the outcome of a request. After an answer that says that the session
// lost what it saw, the caller starts a session without a token.
func (c *caller) outcome(err error) ledger.Outcome {
	o := ledger.OutcomeOf(err)
	if o.Kind == errkind.TokenLost.String() {
		c.token = ""
		c.disconnect()
	}
	return o
}

func (c *caller) acknowledged(group string, begin time.Duration) {
	token := c.conn.PgConn().ParameterStatus(bench.TokenParameter)
	if token == "" {
		return
	}
	c.token = token
	decoded, err := c.load.keyring.Decode(service, token)
	if err != nil {
		c.load.run.recorder.problem("a host reported a session token that is not valid: %v", err)
		return
	}
	if mark, ok := decoded.Floor(table.GroupName(group)); ok {
		ack := TermAck{Group: group, Begin: begin, End: c.now(), Term: uint64(mark.Term)}
		c.load.run.recorder.add(func(h *History) { h.Acks = append(h.Acks, ack) })
	}
}

// transaction inserts two rows in one transaction. One in four transactions is rolled
// back.
func (c *caller) transaction(ctx context.Context, key deploy.RoutingKey) {
	records := []ledger.Record{
		c.record(ledger.OpWrite, classOnce, c.newRow(pairsTable, key)),
		c.record(ledger.OpWrite, classOnce, c.newRow(pairsTable, key)),
	}
	outcome := c.runTransaction(ctx, key, records)
	t := Transaction{}
	for _, r := range records {
		r.Outcome = outcome
		c.finish(r, key)
		t.Rows, t.End = append(t.Rows, r.Row), c.now()
	}
	c.load.run.recorder.add(func(h *History) { h.Transactions = append(h.Transactions, t) })
}

// runTransaction returns the outcome of the transaction. Without a COMMIT nothing may
// remain, whatever the answers were.
func (c *caller) runTransaction(ctx context.Context, key deploy.RoutingKey, records []ledger.Record) ledger.Outcome {
	tag := fmt.Sprintf("/* class=%s key=%s */ ", classOnce, key.Name)
	if _, err := c.conn.Exec(ctx, tag+"BEGIN"); err != nil {
		_ = c.outcome(err) // only for what it does about a lost token
		return rolledBack
	}
	failed := false
	for _, r := range records {
		_, err := c.conn.Exec(ctx, "INSERT INTO "+r.Row.Table+" (key, value) VALUES ($1, $2)", r.Row.Key, "1")
		if ledger.OutcomeOf(err).Kind == ledger.KindRanTwice {
			return c.outcome(err)
		}
		failed = failed || err != nil
		_ = deploy.Sleep(ctx, time.Duration(c.random.IntN(3))*pause) // bounded by the timeout of the request
	}
	if failed || c.random.IntN(4) == 0 {
		_, err := c.conn.Exec(ctx, "ROLLBACK")
		if err != nil {
			c.disconnect()
		}
		return rolledBack
	}
	begin := c.now()
	result, err := c.conn.Exec(ctx, "COMMIT")
	if err == nil && result.String() == "ROLLBACK" {
		return rolledBack
	}
	if err == nil {
		c.acknowledged(key.Group, begin)
	}
	c.noteCut(err, records[0].Row, begin)
	return c.outcome(err)
}

// lookup reads the caller's latest row under the routing key, which its session must
// see.
func (c *caller) lookup(ctx context.Context, class string, key deploy.RoutingKey) {
	row, ok := c.latest[key.Name]
	if !ok {
		return
	}
	r := c.record(ledger.OpRead, class, row)
	var value string
	err := c.conn.QueryRow(ctx, fmt.Sprintf("/* class=%s key=%s */ SELECT value FROM %s WHERE key=$1", class, key.Name, row.Table), row.Key).Scan(&value)
	r.Found = err == nil
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	r.End, r.Outcome = c.now(), c.outcome(err)
	c.ledger.Add(r)
	if r.Outcome.Kind == errkind.TokenLost.String() {
		clear(c.latest)
	}
}

// beatRow is the row that stands for the heartbeats of a group in the ledger.
func beatRow(group string) ledger.Row {
	return ledger.Row{Group: group, Table: beatsTable, Key: "beat"}
}

// beat inserts the next heartbeat of a group.
func (c *caller) beat(ctx context.Context, key deploy.RoutingKey) {
	r := c.record(ledger.OpHeartbeat, classOnce, beatRow(key.Group))
	r.Counter = c.load.beats[key.Group].Add(1)
	query := fmt.Sprintf("/* class=%s key=%s */ INSERT INTO %s (key, value) VALUES ($1, $2)", classOnce, key.Name, beatsTable)
	row := ledger.Row{Group: key.Group, Table: beatsTable, Key: strconv.FormatInt(r.Counter, 10)}
	var err error
	r.Outcome, err = c.exec(ctx, key.Group, query, row.Key)
	c.noteCut(err, row, r.Begin)
	r.End = c.now()
	c.ledger.Add(r)
	_ = deploy.Sleep(ctx, beatInterval) // bounded by the timeout of the request
}

// readBeats reads the heartbeats of a group. The highest one shows how old the read is.
func (c *caller) readBeats(ctx context.Context, class string, staleness time.Duration, key deploy.RoutingKey) {
	r := c.record(ledger.OpHeartbeatRead, class, beatRow(key.Group))
	r.Staleness = staleness
	rows, err := c.conn.Query(ctx, fmt.Sprintf("/* class=%s key=%s */ SELECT key FROM %s", class, key.Name, beatsTable))
	var beats []string
	if err == nil {
		beats, err = pgx.CollectRows(rows, pgx.RowTo[string])
	}
	for _, beat := range beats {
		if n, parseErr := strconv.ParseInt(strings.TrimSpace(beat), 10, 64); parseErr == nil {
			r.Counter = max(r.Counter, n)
		}
	}
	r.End, r.Outcome = c.now(), c.outcome(err)
	c.ledger.Add(r)
}
