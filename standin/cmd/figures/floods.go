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
	// floodStatementTime is how long a statement holds its slot. It is long so that
	// one machine can offer ten times the capacity.
	floodStatementTime = 40 * time.Millisecond
	// floodSessions is the maximum number of concurrent requests of a class.
	floodSessions = 1500
	// floodHeartbeatInterval is the pause between heartbeats, which use slots too.
	floodHeartbeatInterval = time.Second
	// floodRateShare is the share of its declared rate at which a class below
	// the urgent rank runs. With statements of this length the declared rates
	// alone would exceed the capacity.
	floodRateShare = 0.2

	// boundUrgentRatio bounds the p99 latency of the urgent class during a flood,
	// as a multiple of that without a flood.
	boundUrgentRatio = 1.2
	// boundKept is the least in-time share of a class during a flood, as a fraction
	// of that without a flood.
	boundKept = 0.95
)

// profile is the deployment of a user and its classes of the lowest and the highest
// rank, which flood it in turn.
type profile struct {
	deploy              deploy.Config
	lowClass, highClass string
}

func profiles(folder string) []profile {
	return []profile{
		{
			deploy: deploy.Config{
				Document: filepath.Join(folder, "orderdesk.jsonc"), Service: "orderdesk",
				Domains: []string{"waco-a", "waco-b", "temple-a", "temple-b"}, Groups: []string{"orderdesk-1", "orderdesk-2", "orderdesk-3"},
				Instances: 3, Hosts: 8, Slots: 2, Connections: 15, StatementTime: floodStatementTime,
			},
			lowClass: "proof-preview", highClass: "rush-confirmation",
		},
		{
			deploy: deploy.Config{
				Document: filepath.Join(folder, "ledger.jsonc"), Service: "ledger",
				Domains: []string{"coventry", "leicester", "derby"}, Groups: []string{"ledger-1", "ledger-2", "ledger-3"},
				Instances: 3, Hosts: 6, Slots: 3, Connections: 45, StatementTime: floodStatementTime,
			},
			lowClass: "stock-report", highClass: "weighbridge-ticket",
		},
	}
}

// runFloods floods each user's deployment with requests of the lowest rank, then
// with urgent ones, and compares the other requests with a run without a flood.
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

// capacity returns the statements per second that all instances can run together.
func (p *profile) capacity() float64 {
	slots := len(p.deploy.Groups) * p.deploy.Instances * p.deploy.Slots
	return float64(slots) / floodStatementTime.Seconds()
}

// measure runs the baseline and the floods and adds their figures.
func (p *profile) measure(ctx context.Context, w *writer, f flags, c *deploy.Cluster) error {
	baseline, err := p.load(ctx, f, c, "")
	if err != nil {
		return err
	}
	for _, class := range []string{p.lowClass, p.highClass} {
		flooded, err := p.load(ctx, f, c, class)
		if err != nil {
			return err
		}
		if err := w.add(p.figures(baseline, flooded, class)...); err != nil {
			return err
		}
	}
	return nil
}

// load runs the bench tool against the deployment. The named class, if any, floods
// the deployment for the whole run.
func (p *profile) load(ctx context.Context, f flags, c *deploy.Cluster, flood string) (*bench.Report, error) {
	if err := c.WaitReady(ctx); err != nil {
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
		Document: doc, Workload: bench.DefaultWorkload(doc), HTTPAddress: c.Hosts[0].HTTPAddress, MetricsFrom: c.HTTPAddresses(),
		ConnString: "sslmode=disable", Duration: f.FloodTime, DefaultRate: 10, Seed: 1, SessionsPerClass: floodSessions,
		RoamEvery: 20, KeysPerGroup: 6, HeartbeatEvery: floodHeartbeatInterval, Progress: os.Stderr,
	}
	cfg.Rates = rates(doc, cfg.DefaultRate)
	cfg.CountRows = func(ctx context.Context, writes []ledger.Record) (map[ledger.Row]int, error) {
		return countRows(ctx, c, writes)
	}
	for _, h := range c.Hosts {
		cfg.Entries = append(cfg.Entries, h.CallerAddress)
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

// rates returns the requests per second of each class without a flood. A class
// without a declared rate has defaultRate.
func rates(doc *config.Document, defaultRate float64) map[string]float64 {
	list := map[string]float64{}
	for _, class := range doc.Classes {
		rate := class.RatePerSecond
		if rate == 0 {
			rate = defaultRate
		}
		if class.Rank != config.RankUrgent {
			rate *= floodRateShare
		}
		list[class.Name] = rate
	}
	return list
}

// countRows counts the written rows at the primaries directly. Through the proxy it
// would take minutes with statements of this length.
func countRows(ctx context.Context, c *deploy.Cluster, writes []ledger.Record) (map[ledger.Row]int, error) {
	if err := c.WaitReady(ctx); err != nil {
		return nil, err
	}
	rows, err := c.Rows(ctx, "bench_rows")
	if err != nil {
		return nil, err
	}
	counts := map[ledger.Row]int{}
	for _, w := range writes {
		counts[w.Row] = rows[ledger.Row{Group: w.Row.Group, Table: "bench_rows", Key: w.Row.Key}]
	}
	return counts, nil
}

// figures compares a flooded run with the baseline.
func (p *profile) figures(baseline, flooded *bench.Report, class string) []figure {
	name := "process_flood_" + snake(class) + "_"
	minKept, urgent := 1.0, ""
	var figures []figure
	for i, row := range flooded.Classes {
		before := baseline.Classes[i]
		if row.Name == class || before.InTime == 0 {
			continue
		}
		kept := inTimeShare(row) / inTimeShare(before)
		minKept = min(minKept, kept)
		figures = append(figures, unbounded(name+"kept_"+snake(row.Name), kept, "share"))
		if row.Name == p.highClass {
			urgent = row.Name
			figures = append(figures,
				atMost(name+"urgent_p99_ratio", float64(row.P99Micros)/float64(before.P99Micros), boundUrgentRatio, "ratio"),
				atMost(name+"urgent_refused", float64(row.NotRun), 0, "requests"))
		}
	}
	if urgent != "" { // the lowest rank floods: all other classes must keep their service
		figures = append(figures, atLeast(name+"least_kept", minKept, boundKept, "share"))
	}
	broken := 0
	for _, v := range flooded.Verdicts {
		if v.Result == ledger.Broken {
			broken++
		}
	}
	return append(figures, atMost(name+"promises_broken", float64(broken), 0, "promises"))
}

// inTimeShare returns the share of the requests of a class that were answered in
// time.
func inTimeShare(r bench.RequestStats) float64 { return float64(r.InTime) / float64(max(r.Sent, 1)) }
