package membership

import (
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// queue holds the news that is passed on, each piece a bounded number of
// times, the least often sent first.
type queue struct {
	news []*news // in no order
	byID map[table.HostID]*news
}

type news struct {
	update Update
	sent   int
}

func newQueue() queue { return queue{byID: map[table.HostID]*news{}} }

// add takes a piece of news; it replaces an older one about the same host.
func (q *queue) add(u Update) {
	if n := q.byID[u.Host]; n != nil {
		n.update, n.sent = u, 0
		return
	}
	n := &news{update: u}
	q.byID[u.Host] = n
	q.news = append(q.news, n)
}

// take returns news of up to room bytes and drops what was sent limit times.
func (q *queue) take(room, limit int) []Update {
	var out []Update
	for sent := range limit {
		if room < updateBytes || len(q.news) == 0 {
			break
		}
		for _, n := range q.news {
			if n.sent != sent || n.update.size() > room {
				continue
			}
			room -= n.update.size()
			out = append(out, n.update)
			n.sent = -sent - 1 // counted below, so that it is taken once
		}
	}
	q.settle(limit)
	return out
}

// settle counts what take marked and drops what was sent often enough.
func (q *queue) settle(limit int) {
	kept := q.news[:0]
	for _, n := range q.news {
		if n.sent < 0 {
			n.sent = -n.sent
		}
		if n.sent >= limit {
			delete(q.byID, n.update.Host)
			continue
		}
		kept = append(kept, n)
	}
	clear(q.news[len(kept):])
	q.news = kept
}
