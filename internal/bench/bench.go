// Package bench drives the classes of a service document with open-loop load
// through PostgreSQL, and reports what callers saw: answer times by class and
// rank, refusals, gaps, and verdicts on the promises.
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

// apiTimeout bounds one question to the HTTP interface of a host.
const apiTimeout = 5 * time.Second

// Config is what a run needs.
type Config struct {
	Document *config.Document
	Workload *Workload
	// Entries are the caller addresses, ip:port, that the sessions roam over.
	Entries []string
	// HTTPAddress is the HTTPAddress address of one host, which is asked where keys live.
	HTTPAddress string
	// Client asks HTTP; nil is a client without TLS and token.
	Client *api.Client
	// MetricsFrom are the HTTP addresses whose counters of reads are added up.
	MetricsFrom []string
	// ConnString holds further settings of the connections, as key=value
	// words, such as user=app sslmode=require.
	ConnString string
	Duration   time.Duration
	// Rates are arrivals per second by class. A class that is missing has the
	// rate that it declares, or DefaultRate.
	Rates       map[string]float64
	DefaultRate float64
	Floods      []Flood
	Seed        uint64
	// SessionsPerClass bounds the requests of a class that run at once.
	SessionsPerClass int
	// RoamEvery is after how many requests a session moves to the next entry.
	RoamEvery int
	// KeysPerGroup is how many routing keys are used in each group.
	KeysPerGroup int
	// HeartbeatEvery is the pause between two heartbeats of a group.
	HeartbeatEvery time.Duration
	// Progress gets one line a second; nil for none.
	Progress io.Writer
	// Count counts the written rows at the end, by class and key. By default
	// each is read back through the service.
	Count func(ctx context.Context, writes []ledger.Record) (map[ledger.Row]int, error)
}

// validate names the first problem of the configuration.
func (c *Config) validate() error {
	switch {
	case c.Document == nil || c.Workload == nil:
		return errors.New("a document and a workload are needed")
	case len(c.Entries) == 0:
		return errors.New("no entry address given")
	case c.Duration <= 0:
		return fmt.Errorf("the duration is %v, expected more than zero", c.Duration)
	case c.SessionsPerClass < 1 || c.RoamEvery < 1 || c.KeysPerGroup < 1:
		return errors.New("sessions, requests to a move and keys of a group must be at least 1")
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

// rate returns the arrivals per second of a class without a flood.
func (c *Config) rate(class *config.Class) float64 {
	if rate, ok := c.Rates[class.Name]; ok {
		return rate
	}
	if class.RatePerSecond > 0 {
		return class.RatePerSecond
	}
	return c.DefaultRate
}

// Run drives the load and returns the report. A promise that was broken is no
// error.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	shards, err := findShards(ctx, &cfg)
	if err != nil {
		return nil, err
	}
	before, err := ReadsByRole(ctx, cfg.MetricsFrom)
	if err != nil {
		return nil, err
	}
	d := newDriver(&cfg, shards)
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	after, err := ReadsByRole(ctx, cfg.MetricsFrom)
	if err != nil {
		return nil, err
	}
	if cfg.Count == nil {
		cfg.Count = d.readBack
	}
	there, err := cfg.Count(ctx, d.ledger.Writes())
	if err != nil {
		return nil, fmt.Errorf("reading back what was written: %w", err)
	}
	for role, n := range before {
		after[role] -= n
	}
	return newReport(&cfg, d.ledger.History(there), after), nil
}

// driver runs the load.
type driver struct {
	cfg    *Config
	run36  string // tells the rows of this run from those of others
	shards map[string][]shard
	ledger *ledger.Ledger
	pool   sessionPool
	beats  heartbeats
	begin  time.Time
}

func newDriver(cfg *Config, shards map[string][]shard) *driver {
	d := &driver{cfg: cfg, run36: fmt.Sprintf("%x", time.Now().UnixMicro()), shards: shards, ledger: ledger.New()}
	d.pool.cfg = cfg
	return d
}

// since returns the time since the start of the run.
func (d *driver) since() time.Duration { return time.Since(d.begin) }

// run drives every class and the heartbeats, and returns once the last
// request has ended.
func (d *driver) run(ctx context.Context) error {
	defer d.pool.close()
	d.begin = time.Now()
	load, stop := context.WithDeadline(ctx, d.begin.Add(d.cfg.Duration))
	defer stop()
	var classes, others sync.WaitGroup
	for i := range d.cfg.Document.Classes {
		class := &d.cfg.Document.Classes[i]
		if len(d.shards[groupsOf(class)]) > 0 && d.cfg.rate(class) > 0 {
			classes.Go(func() { newClassLoad(d, class, uint64(i)).run(ctx) })
		}
	}
	for _, s := range d.heartbeatShards() {
		others.Go(func() { d.sendHeartbeats(load, s) })
	}
	others.Go(func() { d.progress(load) })
	classes.Wait()
	others.Wait()
	return ctx.Err()
}

// progress prints a line a second.
func (d *driver) progress(ctx context.Context) {
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
				d.since().Seconds(), d.cfg.Duration, c.OK, c.NotRun, c.Unknown)
		case <-ctx.Done():
			return
		}
	}
}

// client returns a client of the host that is asked.
func (c *Config) client() *api.Client {
	if c.Client != nil {
		return c.Client
	}
	return api.NewClient(c.HTTPAddress, apiTimeout)
}
