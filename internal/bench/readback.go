package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// readBackSessions is how many rows are read back at once.
	readBackSessions = 8
	// readBackAttempts bounds the attempts at one row.
	readBackAttempts = 20
	// readBackPause is the pause between two attempts.
	readBackPause = 250 * time.Millisecond
)

// readBack counts each row that was written, through a class that must not
// show old data.
func (d *driver) readBack(ctx context.Context, writes []ledger.Record) (map[ledger.Row]int, error) {
	there := map[ledger.Row]int{}
	var mu sync.Mutex
	var pool sessionPool
	pool.cfg = d.cfg
	defer pool.close()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(readBackSessions)
	for _, w := range writes {
		if w.Row.Key == "" {
			continue // it was never sent
		}
		g.Go(func() error {
			s := pool.take()
			defer pool.put(s)
			n, err := d.countRow(ctx, s, w)
			mu.Lock()
			defer mu.Unlock()
			there[w.Row] = n
			return err
		})
	}
	return there, g.Wait()
}

// countRow returns how often the row of a write is there.
func (d *driver) countRow(ctx context.Context, s *session, w ledger.Record) (int, error) {
	class, _ := d.cfg.Document.Class(w.Class)
	check := d.cfg.Workload.Classes[w.Class].Check
	t := tags{class: d.freshReader(class), shard: w.Shard}
	var o ledger.Outcome
	for range readBackAttempts {
		attempt, stop := context.WithTimeout(ctx, class.Deadline+answerSlack)
		var answer []string
		answer, o = s.send(attempt, t, check, w.Row.Key, "")
		stop()
		if o.OK() {
			return len(answer), nil
		}
		if err := pause(ctx, readBackPause); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("%v could not be read: %s", w.Row, o.Kind)
}

// freshReader returns a class that reads current data of the same groups, or
// the class itself.
func (d *driver) freshReader(class *config.Class) string {
	for i := range d.cfg.Document.Classes {
		c := &d.cfg.Document.Classes[i]
		if c.Access == config.AccessRead && c.Staleness == 0 && groupsOf(c) == groupsOf(class) {
			return c.Name
		}
	}
	return class.Name
}
