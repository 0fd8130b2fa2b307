package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

const (
	// floodStatement is how long a statement holds its slot. It is long, so
	// that ten times the capacity can be offered by one machine.
	floodStatement = 40 * time.Millisecond
	// floodSessions bounds the requests of a class that run at once.
	floodSessions = 1500
	// floodHeartbeats is the pause between heartbeats, which use slots too.
	floodHeartbeats = time.Second
	// floodRateShare is the part of its declared rate that work below the
	// urgent rank has: with statements that long, the declared rates alone
	// would exceed the capacity.
	floodRateShare = 0.2

	boundUrgentRatio = 1.2
	boundKept        = 0.95
)

// profile is the deployment of one user, and the classes that flood.
type profile struct {
	deploy    deploy.Config
	low, high string
}

func profiles(folder string) []profile {
	return []profile{
		{
			deploy: deploy.Config{
				Document: filepath.Join(folder, "orderdesk.jsonc"), Service: "orderdesk",
				Domains: []string{"waco-a", "waco-b", "temple-a", "temple-b"}, Groups: []string{"orderdesk-1", "orderdesk-2", "orderdesk-3"},
				Instances: 3, Hosts: 8, Slots: 2, Connections: 15, StatementTime: floodStatement,
			},
			low: "proof-preview", high: "rush-confirmation",
		},
		{
			deploy: deploy.Config{
				Document: filepath.Join(folder, "ledger.jsonc"), Service: "ledger",
				Domains: []string{"coventry", "leicester", "derby"}, Groups: []string{"ledger-1", "ledger-2", "ledger-3"},
				Instances: 3, Hosts: 6, Slots: 3, Connections: 45, StatementTime: floodStatement,
			},
			low: "stock-report", high: "weighbridge-ticket",
		},
	}
}

// runFloods floods each user's deployment with the lowest rank, then with the
// most urgent, and relates the other work to the same run without a flood.
func runFloods(ctx context.Context, w *writer, f flags) error {
	if f.FloodTime <= 0 {
		return nil
	}
	for _, p := range profiles(filepath.Dir(f.Document)) {
		err := withDeployment(ctx, f, p.deploy, func(c *deploy.Cluster) error { return p.measure(ctx, w, f, c) })
		if err != nil {
			return fmt.Errorf("floods of %s: %w", p.deploy.Service, err)
		}
	}
	return nil
}

// capacity is how many statements a second the instances do together.
func (p *profile) capacity() float64 {
	slots := len(p.deploy.Groups) * p.deploy.Instances * p.deploy.Slots
	return float64(slots) / floodStatement.Seconds()
}

func (p *profile) measure(ctx context.Context, w *writer, f flags, c *deploy.Cluster) error {
	calm, err := p.load(ctx, f, c, "")
	if err != nil {
		return err
	}
	for _, class := range []string{p.low, p.high} {
		flooded, err := p.load(ctx, f, c, class)
		if err != nil {
			return err
		}
		if err := w.add(p.figures(calm, flooded, class)...); err != nil {
			return err
		}
	}
	return nil
}

// load runs the tool against the deployment; the named class floods all the
// time.
func (p *profile) load(ctx context.Context, f flags, c *deploy.Cluster, flood string) (*bench.Report, error) {
	if err := c.Settled(ctx); err != nil {
		return nil, err
	}
	src, err := os.ReadFile(p.deploy.Document)
	if err != nil {
		return nil, err
	}
	doc, err := config.ParseDocument(p.deploy.Document, src)
	if err != nil {
		return nil, err
	}
	cfg := bench.Config{
		Document: doc, Workload: bench.DefaultWorkload(doc), HTTPAddress: c.Hosts[0].HTTP, MetricsFrom: c.HTTPAddresses(),
		ConnString: "sslmode=disable", Duration: f.FloodTime, DefaultRate: 10, Seed: 1, SessionsPerClass: floodSessions,
		RoamEvery: 20, KeysPerGroup: 6, HeartbeatEvery: floodHeartbeats, Progress: os.Stderr,
	}
	cfg.Rates = rates(doc, cfg.DefaultRate)
	cfg.Count = func(ctx context.Context, writes []ledger.Record) (map[ledger.Row]int, error) {
		return countRows(ctx, c, writes)
	}
	for _, h := range c.Hosts {
		cfg.Entries = append(cfg.Entries, h.Caller)
	}
	if class, ok := doc.Class(flood); ok {
		factor := f.FloodTimes * p.capacity() / cfg.Rates[class.Name]
		cfg.Floods = []bench.Flood{{Class: flood, Factor: factor, To: f.FloodTime}}
	}
	r, err := bench.Run(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return r, r.Print(os.Stderr)
}

// rates returns the arrivals a second of each class without a flood.
func rates(doc *config.Document, otherwise float64) map[string]float64 {
	list := map[string]float64{}
	for _, class := range doc.Classes {
		rate := class.RatePerSecond
		if rate == 0 {
			rate = otherwise
		}
		if class.Rank != config.RankUrgent {
			rate *= floodRateShare
		}
		list[class.Name] = rate
	}
	return list
}

// countRows counts what was written at the primaries themselves: through the
// service it would take minutes with statements that long.
func countRows(ctx context.Context, c *deploy.Cluster, writes []ledger.Record) (map[ledger.Row]int, error) {
	if err := c.Settled(ctx); err != nil {
		return nil, err
	}
	rows, err := c.Rows(ctx, "bench_rows")
	if err != nil {
		return nil, err
	}
	there := map[ledger.Row]int{}
	for _, w := range writes {
		there[w.Row] = rows[ledger.Row{Group: w.Row.Group, Table: "bench_rows", Key: w.Row.Key}]
	}
	return there, nil
}

// figures relates a flooded run to the calm one.
func (p *profile) figures(calm, flooded *bench.Report, class string) []figure {
	name := "process_flood_" + snake(class) + "_"
	least, urgent := 1.0, ""
	var figures []figure
	for i, row := range flooded.Classes {
		before := calm.Classes[i]
		if row.Name == class || before.InTime == 0 {
			continue
		}
		kept := share(row) / share(before)
		least = min(least, kept)
		figures = append(figures, unbounded(name+"kept_"+snake(row.Name), kept, "share"))
		if row.Name == p.high {
			urgent = row.Name
			figures = append(figures,
				atMost(name+"urgent_p99_ratio", float64(row.P99Micros)/float64(before.P99Micros), boundUrgentRatio, "ratio"),
				atMost(name+"urgent_refused", float64(row.NotRun), 0, "requests"))
		}
	}
	if urgent != "" { // the lowest rank floods: all else keeps its service
		figures = append(figures, atLeast(name+"least_kept", least, boundKept, "share"))
	}
	broken := 0
	for _, v := range flooded.Verdicts {
		if v.Result == ledger.Broken {
			broken++
		}
	}
	return append(figures, atMost(name+"promises_broken", float64(broken), 0, "promises"))
}

// share returns the share of the requests that were answered in time.
func share(r bench.Row) float64 { return float64(r.InTime) / float64(max(r.Sent, 1)) }
