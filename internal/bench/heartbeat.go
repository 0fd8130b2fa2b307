package bench

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

// heartbeats knows the row that carries the counter of each group now.
type heartbeats struct {
	mu     sync.Mutex
	groups string // the list of groups of the class that writes them
	rows   map[string]heartbeatPlace
}

type heartbeatPlace struct{ key, shard string }

func heartbeatRow(group, key string) ledger.Row {
	return ledger.Row{Group: group, Table: "heartbeat", Key: key}
}

// current returns the row and the routing key of a group's heartbeat, for a
// class with that list of groups.
func (h *heartbeats) current(groups, group string) (key, shardKey string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.rows[group]
	return p.key, p.shard, ok && groups == h.groups
}

func (h *heartbeats) set(groups, group string, p heartbeatPlace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rows == nil {
		h.rows = map[string]heartbeatPlace{}
	}
	h.groups, h.rows[group] = groups, p
}

// heartbeatShards returns one routing key of each group.
func (d *driver) heartbeatShards() []shard {
	class, ok := d.cfg.Document.Class(d.cfg.Workload.Heartbeat.Class)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	var list []shard
	for _, s := range d.shards[groupsOf(class)] {
		if !seen[s.group] {
			seen[s.group] = true
			list = append(list, s)
		}
	}
	return list
}

// sendHeartbeats counts a row of the group up until ctx ends. A heartbeat that
// may still arrive late could set the counter back, so the next one begins a
// new row.
func (d *driver) sendHeartbeats(ctx context.Context, at shard) {
	class, _ := d.cfg.Document.Class(d.cfg.Workload.Heartbeat.Class)
	s := d.pool.take()
	defer d.pool.put(s)
	for counter := int64(1); ctx.Err() == nil; {
		key := fmt.Sprintf("%s.%s.beat.%d", at.key, d.run36, counter)
		statement := d.cfg.Workload.Heartbeat.Insert
		for ctx.Err() == nil {
			r := d.heartbeat(ctx, s, class.Deadline+answerSlack, at, statement, key, counter)
			r.Class, r.Rank = class.Name, class.Rank
			d.ledger.Add(r)
			counter++
			if r.Outcome.OK() && statement != d.cfg.Workload.Heartbeat.Update {
				d.beats.set(groupsOf(class), at.group, heartbeatPlace{key, at.key})
				statement = d.cfg.Workload.Heartbeat.Update
			}
			_ = pause(ctx, d.cfg.HeartbeatEvery) // the loop sees the end
			if r.Outcome.Unsettled() {
				break
			}
		}
	}
}

// heartbeat sends one heartbeat. It is not cut short by the end of the load.
func (d *driver) heartbeat(ctx context.Context, s *session, timeout time.Duration, at shard, statement, key string, counter int64) ledger.Record {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	now := d.since()
	r := ledger.Record{
		Op: ledger.OpHeartbeat, Session: s.number, Shard: at.key, Row: heartbeatRow(at.group, key),
		Counter: counter, Intended: now, Begin: now,
	}
	t := tags{d.cfg.Workload.Heartbeat.Class, at.key, fmt.Sprint(key, ".", counter)}
	_, r.Outcome = s.send(ctx, t, statement, key, strconv.FormatInt(counter, 10))
	r.End = d.since()
	return r
}
