// Package bench sends open-loop load to the classes of a service document over
// the PostgreSQL protocol. It reports what callers observed: latencies by class
// and rank, refusals, gaps in acknowledged writes, and whether the service kept
// its promises.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// apiTimeout bounds one request to the HTTP interface of a host.
const apiTimeout = 5 * time.Second

// Config configures a run.
type Config struct {
	Document *config.Document
	Workload *Workload
	// Entries are the caller addresses, as ip:port, that each session connects
	// to in turn.
	Entries []string
	// HTTPAddress is the HTTP address of one host. The run asks that host which
	// groups have a primary and which group each key belongs to.
	HTTPAddress string
	// Client sends the HTTP requests. If nil, the run uses a client for
	// HTTPAddress without TLS and without a token.
	Client *api.Client
	// MetricsFrom are the HTTP addresses of the hosts whose read counters are
	// summed.
	MetricsFrom []string
	// ConnString holds additional connection settings as space-separated
	// key=value pairs, such as "user=app sslmode=require".
	ConnString string
	// Duration is how long requests arrive.
	Duration time.Duration
	// Rates holds the arrivals per second by class. A class without an entry
	// uses the rate that the document declares for it, or else DefaultRate.
	Rates       map[string]float64
	DefaultRate float64
	Floods      []Flood
	Seed        uint64
	// SessionsPerClass bounds the concurrent requests of a class.
	SessionsPerClass int
	// RoamEvery is the number of requests after which a session moves to the
	// next entry.
	RoamEvery int
	// KeysPerGroup is the number of routing keys to use in each group.
	KeysPerGroup int
	// HeartbeatEvery is the pause between two heartbeats of a group. A heartbeat
	// is a write of the counter that staleness is checked against.
	HeartbeatEvery time.Duration
	// Progress receives one line per second; nil prints no progress.
	Progress io.Writer
	// CountRows counts how often each written row exists after the load. If nil,
	// the run reads each row back through the service.
	CountRows func(ctx context.Context, writes []ledger.Record) (map[ledger.Row]int, error)
}

// validate returns an error for the first problem in the configuration.
func (c *Config) validate() error {
	switch {
	case c.Document == nil || c.Workload == nil:
		return errors.New("a document and a workload are required")
	case len(c.Entries) == 0:
		return errors.New("no entry address given")
	case c.Duration <= 0:
		return fmt.Errorf("the duration is %v, expected more than zero", c.Duration)
	case c.SessionsPerClass < 1 || c.RoamEvery < 1 || c.KeysPerGroup < 1:
		return errors.New("sessions per class, requests per entry and keys per group must be at least 1")
	case c.HeartbeatEvery <= 0:
		return fmt.Errorf("the pause between heartbeats is %v, expected more than zero", c.HeartbeatEvery)
	}
	for class, rate := range c.Rates {
		if _, ok := c.Document.Class(class); !ok || rate < 0 {
			return fmt.Errorf("rate %s=%v: expected a class of the document and a number from 0", class, rate)
		}
	}
	for _, f := range c.Floods {
		if _, ok := c.Document.Class(f.Class); !ok {
			return fmt.Errorf("flood of %q: the document has no such class", f.Class)
		}
	}
	return nil
}

// rate returns the arrivals per second of a class outside a flood.
func (c *Config) rate(class *config.Class) float64 {
	if rate, ok := c.Rates[class.Name]; ok {
		return rate
	}
	if class.RatePerSecond > 0 {
		return class.RatePerSecond
	}
	return c.DefaultRate
}

// Run sends the load and returns the report. A broken promise appears in the
// report and is not an error.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	routingKeys, err := findRoutingKeys(ctx, &cfg)
	if err != nil {
		return nil, err
	}
	before, err := ReadsByRole(ctx, cfg.MetricsFrom)
	if err != nil {
		return nil, err
	}
	d := newDriver(&cfg, routingKeys)
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	after, err := ReadsByRole(ctx, cfg.MetricsFrom)
	if err != nil {
		return nil, err
	}
	if cfg.CountRows == nil {
		cfg.CountRows = d.readBack
	}
	rowCounts, err := cfg.CountRows(ctx, d.ledger.Writes())
	if err != nil {
		return nil, fmt.Errorf("counting the written rows: %w", err)
	}
	for role, n := range before {
		after[role] -= n
	}
	return newReport(&cfg, d.ledger.History(rowCounts), after), nil
}

// driver sends the load of one run.
type driver struct {
	cfg         *Config
	runID       string                  // part of each row key, so that runs do not share rows
	routingKeys map[string][]routingKey // by the groups of a class, see groupsOf
	ledger      *ledger.Ledger
	pool        sessionPool
	heartbeats  heartbeatRows
	start       time.Time
}

// newDriver returns a driver with an empty ledger.
func newDriver(cfg *Config, routingKeys map[string][]routingKey) *driver {
	d := &driver{cfg: cfg, runID: fmt.Sprintf("%x", time.Now().UnixMicro()), routingKeys: routingKeys, ledger: ledger.New()}
	d.pool.cfg = cfg
	return d
}

// elapsed returns the time since the start of the run.
func (d *driver) elapsed() time.Duration { return time.Since(d.start) }

// run sends the load of every class and the heartbeats, and returns once the
// last request has ended.
func (d *driver) run(ctx context.Context) error {
	defer d.pool.close()
	d.start = time.Now()
	loadCtx, stop := context.WithDeadline(ctx, d.start.Add(d.cfg.Duration))
	defer stop()
	var classes, background sync.WaitGroup
	for i := range d.cfg.Document.Classes {
		class := &d.cfg.Document.Classes[i]
		if len(d.routingKeys[groupsOf(class)]) > 0 && d.cfg.rate(class) > 0 {
			classes.Go(func() { newClassLoad(d, class, uint64(i)).run(ctx) })
		}
	}
	for _, key := range d.heartbeatRoutingKeys() {
		background.Go(func() { d.sendHeartbeats(loadCtx, key) })
	}
	background.Go(func() { d.printProgress(loadCtx) })
	classes.Wait()
	background.Wait()
	return ctx.Err()
}

// printProgress prints one line per second until ctx ends.
func (d *driver) printProgress(ctx context.Context) {
	if d.cfg.Progress == nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c := d.ledger.Count()
			fmt.Fprintf(d.cfg.Progress, "%3.0fs of %v: %d answered, %d refused as not run, %d unknown\n",
				d.elapsed().Seconds(), d.cfg.Duration, c.OK, c.NotRun, c.Unknown)
		case <-ctx.Done():
			return
		}
	}
}

// client returns the client for the HTTP interface of the host.
func (c *Config) client() *api.Client {
	if c.Client != nil {
		return c.Client
	}
	return api.NewClient(c.HTTPAddress, apiTimeout)
}
