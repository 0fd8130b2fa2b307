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
	// answerSlack is how long beyond its deadline a request is waited for.
	answerSlack = 2 * time.Second
	// maxRepeats bounds the repeats of a write whose outcome is unknown.
	maxRepeats = 3
	// repeatPause is the pause before a repeat.
	repeatPause = 50 * time.Millisecond
	// heartbeatReadOneIn is the share of reads that read a heartbeat.
	heartbeatReadOneIn = 4
)

// kindNoSession is the kind of a request that was not sent, because all
// sessions of its class were busy.
const kindNoSession = "no_free_session"

// classLoad sends the requests of one class.
type classLoad struct {
	d        *driver
	class    *config.Class
	work     ClassWork
	shards   []shard
	arrivals *arrivals
	random   *rand.Rand
	free     chan struct{}
	running  sync.WaitGroup
	sent     atomic.Int64
}

func newClassLoad(d *driver, class *config.Class, stream uint64) *classLoad {
	return &classLoad{
		d: d, class: class, work: d.cfg.Workload.Classes[class.Name],
		shards:   d.shards[groupsOf(class)],
		arrivals: newArrivals(d.cfg.rate(class), class.Name, d.cfg.Floods, d.cfg.Seed, 2*stream),
		random:   rand.New(rand.NewPCG(d.cfg.Seed, 2*stream+1)),
		free:     make(chan struct{}, d.cfg.SessionsPerClass),
	}
}

// run sends each request at its time, whether or not earlier ones have ended.
func (l *classLoad) run(ctx context.Context) {
	defer l.running.Wait()
	for {
		at := l.arrivals.next()
		if at >= l.d.cfg.Duration || pause(ctx, at-l.d.since()) != nil {
			return
		}
		r := ledger.Record{
			Class: l.class.Name, Rank: l.class.Rank, Staleness: l.class.Staleness, Intended: at,
		}
		pick, beat := l.shards[l.random.IntN(len(l.shards))], l.random.IntN(heartbeatReadOneIn) == 0
		l.running.Go(func() { l.request(ctx, r, pick, beat) })
	}
}

// request waits for a session and sends one request.
func (l *classLoad) request(ctx context.Context, r ledger.Record, pick shard, beat bool) {
	ctx, stop := context.WithDeadline(ctx, l.d.begin.Add(r.Intended+l.class.Deadline+answerSlack))
	defer stop()
	select {
	case l.free <- struct{}{}:
		defer func() { <-l.free }()
	case <-ctx.Done():
		r.Op = l.op()
		r.Begin, r.End = l.d.since(), l.d.since()
		r.Outcome = ledger.Outcome{Kind: kindNoSession, Effect: errkind.NotRun}
		l.d.ledger.Add(r)
		return
	}
	s := l.d.pool.take()
	defer l.d.pool.put(s)
	r.Session, r.Shard = s.number, pick.key
	statement := l.work.Statements[int(l.sent.Add(1))%len(l.work.Statements)]
	r.Begin = l.d.since()
	switch {
	case l.class.Access == config.AccessWrite:
		l.write(ctx, s, &r, pick, statement)
	case beat && l.readHeartbeat(ctx, s, &r, pick):
	default:
		l.read(ctx, s, &r, pick, statement)
	}
	r.End = l.d.since()
	l.d.ledger.Add(r)
	if r.Op == ledger.OpWrite && r.Outcome.OK() {
		s.last[pick], s.latest = r.Row, pick
	}
}

func (l *classLoad) op() ledger.Op {
	if l.class.Access == config.AccessWrite {
		return ledger.OpWrite
	}
	return ledger.OpRead
}

// write inserts a row. While its outcome is unknown it is repeated at other
// hosts, if it has a request id.
func (l *classLoad) write(ctx context.Context, s *session, r *ledger.Record, pick shard, statement string) {
	key := fmt.Sprintf("%s.%s.%s.%d", pick.key, l.d.run36, l.class.Name, l.sent.Add(1))
	r.Op, r.Row = ledger.OpWrite, ledger.Row{Group: pick.group, Table: l.class.Name, Key: key}
	t := tags{l.class.Name, pick.key, l.requestID(key)}
	_, r.Outcome = s.send(ctx, t, statement, key, "1")
	for range maxRepeats {
		if t.requestID == "" || !r.Outcome.Unsettled() || pause(ctx, repeatPause) != nil {
			return
		}
		s.roam()
		_, again := s.send(ctx, t, statement, key, "1")
		l.d.ledger.Repeated(r.Outcome, again)
		r.Outcome = ledger.MergeOutcomes(r.Outcome, again)
	}
}

// requestID returns the request id of a request of the class: only work that
// is not repeatable needs one.
func (l *classLoad) requestID(id string) string {
	if l.class.Repeatable {
		return ""
	}
	return id
}

// read looks for the session's latest row of the routing key, or, where it has
// none, for one that nobody writes.
func (l *classLoad) read(ctx context.Context, s *session, r *ledger.Record, pick shard, statement string) {
	if _, ok := s.last[pick]; !ok && slices.Contains(l.shards, s.latest) {
		pick = s.latest
	}
	row := s.last[pick]
	if row.Key == "" {
		row = ledger.Row{Group: pick.group, Key: pick.key + ".none"}
	}
	r.Op, r.Row, r.Shard = ledger.OpRead, row, pick.key
	var answer []string
	answer, r.Outcome = s.send(ctx, tags{class: l.class.Name, shard: pick.key}, statement, row.Key, "")
	r.Found = shows(statement, answer, row.Key)
}

// readHeartbeat reads the heartbeat of the group, if there is one.
func (l *classLoad) readHeartbeat(ctx context.Context, s *session, r *ledger.Record, pick shard) bool {
	key, shardKey, ok := l.d.beats.current(groupsOf(l.class), pick.group)
	if !ok {
		return false
	}
	r.Op, r.Row, r.Shard = ledger.OpHeartbeatRead, heartbeatRow(pick.group, key), shardKey
	var answer []string
	answer, r.Outcome = s.send(ctx, tags{class: l.class.Name, shard: shardKey}, l.d.cfg.Workload.Heartbeat.Read, key, "")
	if len(answer) > 0 {
		r.Counter, _ = strconv.ParseInt(answer[0], 10, 64) // zero shows as too old
	}
	return true
}

// pause waits for d or until ctx ends.
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
