package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

const (
	// answerSlack is how long the caller waits for an answer after the deadline
	// of the class.
	answerSlack = 2 * time.Second
	// maxRepeats bounds how often a write with an unknown outcome is repeated.
	maxRepeats = 3
	// repeatPause is the pause before a repeat.
	repeatPause = 50 * time.Millisecond
	// heartbeatReadOneIn sets how many reads read the counter of a heartbeat: on
	// average one in this number.
	heartbeatReadOneIn = 4
)

// kindNoSession is the outcome kind of a request that was not sent because all
// sessions of its class were busy until the request timed out.
const kindNoSession = "no_free_session"

// classLoad generates and sends the requests of one class.
type classLoad struct {
	d           *driver
	class       *config.Class
	sql         ClassSQL
	routingKeys []routingKey
	arrivals    *arrivals
	rng         *rand.Rand
	slots       chan struct{} // bounds the concurrent requests
	requests    sync.WaitGroup
	sequence    atomic.Int64 // numbers the statements and the written rows
}

// newClassLoad returns the load of a class. The stream number gives each class its own
// random sequences under the seed of the run.
func newClassLoad(d *driver, class *config.Class, stream uint64) *classLoad {
	return &classLoad{
		d: d, class: class, sql: d.cfg.Workload.Classes[class.Name],
		routingKeys: d.routingKeys[groupsOf(class)],
		arrivals:    newArrivals(d.cfg.rate(class), class.Name, d.cfg.Floods, d.cfg.Seed, 2*stream),
		rng:         rand.New(rand.NewPCG(d.cfg.Seed, 2*stream+1)),
		slots:       make(chan struct{}, d.cfg.SessionsPerClass),
	}
}

// run starts each request at its arrival time, even if earlier requests are still
// running. It returns once the last request has ended.
func (l *classLoad) run(ctx context.Context) {
	defer l.requests.Wait()
	for {
		at := l.arrivals.next()
		if at >= l.d.cfg.Duration || pause(ctx, at-l.d.elapsed()) != nil {
			return
		}
		r := ledger.Record{
			Class: l.class.Name, Rank: l.class.Rank, Staleness: l.class.Staleness, Intended: at,
		}
		target, readsHeartbeat := l.routingKeys[l.rng.IntN(len(l.routingKeys))], l.rng.IntN(heartbeatReadOneIn) == 0
		l.requests.Go(func() { l.request(ctx, r, target, readsHeartbeat) })
	}
}

// request waits for a free slot, sends one request and records it.
func (l *classLoad) request(ctx context.Context, r ledger.Record, target routingKey, readsHeartbeat bool) {
	ctx, stop := context.WithDeadline(ctx, l.d.start.Add(r.Intended+l.class.Deadline+answerSlack))
	defer stop()
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		r.Op = l.op()
		r.Begin, r.End = l.d.elapsed(), l.d.elapsed()
		r.Outcome = ledger.Outcome{Kind: kindNoSession, Effect: errkind.NotRun}
		l.d.ledger.Add(r)
		return
	}
	s := l.d.pool.get()
	defer l.d.pool.put(s)
	r.Session, r.RoutingKey = s.number, target.key
	statement := l.sql.Statements[int(l.sequence.Add(1))%len(l.sql.Statements)]
	r.Begin = l.d.elapsed()
	switch {
	case l.class.Access == config.AccessWrite:
		l.write(ctx, s, &r, target, statement)
	case readsHeartbeat && l.readHeartbeat(ctx, s, &r, target):
	default:
		l.read(ctx, s, &r, target, statement)
	}
	r.End = l.d.elapsed()
	l.d.ledger.Add(r)
	if r.Op == ledger.OpWrite && r.Outcome.OK() {
		s.lastWritten[target], s.lastRoutingKey = r.Row, target
	}
}

// op returns the operation that is recorded for a request that was not sent.
func (l *classLoad) op() ledger.Op {
	if l.class.Access == config.AccessWrite {
		return ledger.OpWrite
	}
	return ledger.OpRead
}

// write inserts a row. If the request has a request id, write repeats it at the
// next entry while its outcome is unknown, up to maxRepeats times.
func (l *classLoad) write(ctx context.Context, s *session, r *ledger.Record, target routingKey, statement string) {
	key := fmt.Sprintf("%s.%s.%s.%d", target.key, l.d.runID, l.class.Name, l.sequence.Add(1))
	r.Op, r.Row = ledger.OpWrite, ledger.Row{Group: target.group, Table: l.class.Name, Key: key}
	t := tags{l.class.Name, target.key, l.requestID(key)}
	_, r.Outcome = s.send(ctx, t, statement, key, "1")
	for range maxRepeats {
		if t.requestID == "" || !r.Outcome.Unsettled() || pause(ctx, repeatPause) != nil {
			return
		}
		s.roam()
		_, repeat := s.send(ctx, t, statement, key, "1")
		l.d.ledger.CountRepeat(r.Outcome, repeat)
		r.Outcome = ledger.MergeOutcomes(r.Outcome, repeat)
	}
}

// requestID returns id, or "" if the class is repeatable: only requests that are
// not repeatable need a request id.
func (l *classLoad) requestID(id string) string {
	if l.class.Repeatable {
		return ""
	}
	return id
}

// read looks for the row that the session last wrote under the routing key. If it
// wrote none, read uses the routing key of the session's latest write, provided
// the class can reach that key. Otherwise read looks for a row that no request
// writes.
func (l *classLoad) read(ctx context.Context, s *session, r *ledger.Record, target routingKey, statement string) {
	if _, ok := s.lastWritten[target]; !ok && slices.Contains(l.routingKeys, s.lastRoutingKey) {
		target = s.lastRoutingKey
	}
	row := s.lastWritten[target]
	if row.Key == "" {
		row = ledger.Row{Group: target.group, Key: target.key + ".none"}
	}
	r.Op, r.Row, r.RoutingKey = ledger.OpRead, row, target.key
	var answer []string
	answer, r.Outcome = s.send(ctx, tags{class: l.class.Name, routingKey: target.key}, statement, row.Key, "")
	r.Found = containsRow(statement, answer, row.Key)
}

// readHeartbeat reads the current heartbeat row of the group. It returns false
// without a request if there is no row that the class can reach.
func (l *classLoad) readHeartbeat(ctx context.Context, s *session, r *ledger.Record, target routingKey) bool {
	rowKey, routingKey, ok := l.d.heartbeats.current(groupsOf(l.class), target.group)
	if !ok {
		return false
	}
	r.Op, r.Row, r.RoutingKey = ledger.OpHeartbeatRead, heartbeatRow(target.group, rowKey), routingKey
	var answer []string
	answer, r.Outcome = s.send(ctx, tags{class: l.class.Name, routingKey: routingKey}, l.d.cfg.Workload.Heartbeat.Read, rowKey, "")
	if len(answer) > 0 {
		r.Counter, _ = strconv.ParseInt(answer[0], 10, 64) // an invalid counter yields zero, which counts as too old
	}
	return true
}

// pause waits until d has passed or ctx ends. It returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
