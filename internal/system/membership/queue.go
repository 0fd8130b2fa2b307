package membership

import (
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// queue holds the updates to send. Each update is sent a limited number of
// times, those sent least often first.
type queue struct {
	broadcasts []*broadcast // unordered
	byID       map[table.HostID]*broadcast
}

// broadcast is a queued update and the number of times it was sent.
type broadcast struct {
	update Update
	sent   int
}

func newQueue() queue { return queue{byID: map[table.HostID]*broadcast{}} }

// add queues an update. It replaces a queued update of the same host.
func (q *queue) add(u Update) {
	if b := q.byID[u.Host]; b != nil {
		b.update, b.sent = u, 0
		return
	}
	b := &broadcast{update: u}
	q.byID[u.Host] = b
	q.broadcasts = append(q.broadcasts, b)
}

// next returns updates of up to available bytes and drops the updates that have been
// sent limit times.
func (q *queue) next(available, limit int) []Update {
	var out []Update
	for sent := range limit {
		if available < updateBytes || len(q.broadcasts) == 0 {
			break
		}
		for _, b := range q.broadcasts {
			if b.sent != sent || b.update.size() > available {
				continue
			}
			available -= b.update.size()
			out = append(out, b.update)
			b.sent = -sent - 1 // negative so that this call does not return b again; commit restores the sign
		}
	}
	q.commit(limit)
	return out
}

// commit restores the counts that next negated and drops the updates that have
// been sent limit times.
func (q *queue) commit(limit int) {
	remaining := q.broadcasts[:0]
	for _, b := range q.broadcasts {
		if b.sent < 0 {
			b.sent = -b.sent
		}
		if b.sent >= limit {
			delete(q.byID, b.update.Host)
			continue
		}
		remaining = append(remaining, b)
	}
	clear(q.broadcasts[len(remaining):])
	q.broadcasts = remaining
}
