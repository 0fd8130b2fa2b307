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
	// readBackSessions is how many rows are read back concurrently.
	readBackSessions = 8
	// readBackAttempts is the maximum number of attempts to read one row.
	readBackAttempts = 20
	// readBackPause is the pause between two attempts.
	readBackPause = 250 * time.Millisecond
)

// readBack reads each written row through the service and returns how often the
// row exists. It uses a class that does not allow stale reads, if there is one.
func (d *driver) readBack(ctx context.Context, writes []ledger.Record) (map[ledger.Row]int, error) {
	counts := map[ledger.Row]int{}
	var mu sync.Mutex
	var pool sessionPool
	pool.cfg = d.cfg
	defer pool.close()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(readBackSessions)
	for _, w := range writes {
		if w.Row.Key == "" {
			continue // the write was not sent
		}
		g.Go(func() error {
			s := pool.get()
			defer pool.put(s)
			n, err := d.countRow(ctx, s, w)
			mu.Lock()
			defer mu.Unlock()
			counts[w.Row] = n
			return err
		})
	}
	return counts, g.Wait()
}

// countRow returns how often the row of a write exists.
func (d *driver) countRow(ctx context.Context, s *session, w ledger.Record) (int, error) {
	class, _ := d.cfg.Document.Class(w.Class)
	check := d.cfg.Workload.Classes[w.Class].Check
	t := tags{class: d.freshReadClass(class), routingKey: w.RoutingKey}
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
	return 0, fmt.Errorf("reading %v: %s", w.Row, o.Kind)
}

// freshReadClass returns the name of a read class that has the same groups as class
// and allows no stale reads, or the name of class itself if there is none.
func (d *driver) freshReadClass(class *config.Class) string {
	for i := range d.cfg.Document.Classes {
		c := &d.cfg.Document.Classes[i]
		if c.Access == config.AccessRead && c.Staleness == 0 && groupsOf(c) == groupsOf(class) {
			return c.Name
		}
	}
	return class.Name
}
