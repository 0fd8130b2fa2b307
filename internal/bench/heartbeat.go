package bench

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
)

// heartbeatRows holds, for each group, the row whose counter the heartbeats
// currently set. It is safe for concurrent use.
type heartbeatRows struct {
	mu     sync.Mutex
	groups string // the groups of the class that writes the heartbeats, see groupsOf
	rows   map[string]heartbeatKey
}

// heartbeatKey holds the row key and the routing key of a heartbeat row.
type heartbeatKey struct{ rowKey, routingKey string }

// heartbeatRow returns the ledger row of a heartbeat.
func heartbeatRow(group, key string) ledger.Row {
	return ledger.Row{Group: group, Table: "heartbeat", Key: key}
}

// current returns the row key and the routing key of the heartbeat of a group. It
// returns false if the group has no heartbeat yet, or if the reading class has
// another list of groups than the class that writes the heartbeats: the routing key
// may then select another group.
func (h *heartbeatRows) current(groups, group string) (rowKey, routingKey string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, ok := h.rows[group]
	return row.rowKey, row.routingKey, ok && groups == h.groups
}

// set replaces the heartbeat row of a group.
func (h *heartbeatRows) set(groups, group string, row heartbeatKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rows == nil {
		h.rows = map[string]heartbeatKey{}
	}
	h.groups, h.rows[group] = groups, row
}

// heartbeatRoutingKeys returns one routing key for each group of the class that writes
// the heartbeats.
func (d *driver) heartbeatRoutingKeys() []routingKey {
	class, ok := d.cfg.Document.Class(d.cfg.Workload.Heartbeat.Class)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	var list []routingKey
	for _, key := range d.routingKeys[groupsOf(class)] {
		if !seen[key.group] {
			seen[key.group] = true
			list = append(list, key)
		}
	}
	return list
}

// sendHeartbeats writes an increasing counter to a row of the group until ctx
// ends. After a heartbeat with an unknown outcome it starts a new row, because
// that heartbeat may still take effect and set the counter back.
func (d *driver) sendHeartbeats(ctx context.Context, target routingKey) {
	class, _ := d.cfg.Document.Class(d.cfg.Workload.Heartbeat.Class)
	s := d.pool.get()
	defer d.pool.put(s)
	for counter := int64(1); ctx.Err() == nil; {
		key := fmt.Sprintf("%s.%s.beat.%d", target.key, d.runID, counter)
		statement := d.cfg.Workload.Heartbeat.Insert
		for ctx.Err() == nil {
			r := d.heartbeat(ctx, s, class.Deadline+answerSlack, target, statement, key, counter)
			r.Class, r.Rank = class.Name, class.Rank
			d.ledger.Add(r)
			counter++
			if r.Outcome.OK() && statement != d.cfg.Workload.Heartbeat.Update {
				d.heartbeats.set(groupsOf(class), target.group, heartbeatKey{key, target.key})
				statement = d.cfg.Workload.Heartbeat.Update
			}
			_ = pause(ctx, d.cfg.HeartbeatEvery) // the loop checks ctx
			if r.Outcome.Unsettled() {
				break
			}
		}
	}
}

// heartbeat sends one heartbeat. The end of ctx does not cancel it, so that its
// outcome is known when the load ends.
func (d *driver) heartbeat(ctx context.Context, s *session, timeout time.Duration, target routingKey, statement, key string, counter int64) ledger.Record {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	now := d.elapsed()
	r := ledger.Record{
		Op: ledger.OpHeartbeat, Session: s.number, RoutingKey: target.key, Row: heartbeatRow(target.group, key),
		Counter: counter, Intended: now, Begin: now,
	}
	t := tags{d.cfg.Workload.Heartbeat.Class, target.key, fmt.Sprint(key, ".", counter)}
	_, r.Outcome = s.send(ctx, t, statement, key, strconv.FormatInt(counter, 10))
	r.End = d.elapsed()
	return r
}
