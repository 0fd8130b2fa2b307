package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// errPromiseBroken is returned by a load that found a promise broken.
var errPromiseBroken = errors.New("a promise was broken, see the verdicts")

// benchCommand drives load through a service.
type benchCommand struct {
	File           string             `arg:"" help:"The service document whose classes are driven."`
	Entry          []string           `required:"" placeholder:"IP:PORT" help:"Caller address of an entry host. Sessions roam over all that are given."`
	MetricsFrom    []string           `placeholder:"IP:PORT" help:"HTTP address of a host whose reads are counted; give every host to learn the share of the replicas."`
	Workload       string             `placeholder:"FILE" help:"The SQL of the classes, JSON with comments. By default rows of the tables bench_rows and bench_heartbeats."`
	Connect        string             `default:"sslmode=disable" placeholder:"WORDS" help:"Settings of the connections, such as 'user=app password=... sslmode=require'."`
	Duration       time.Duration      `default:"30s" help:"How long requests arrive."`
	Rate           map[string]float64 `placeholder:"CLASS=N" help:"Arrivals per second of a class, in place of the rate that it declares."`
	DefaultRate    float64            `default:"10" help:"Arrivals per second of a class that declares no rate."`
	Flood          []string           `placeholder:"CLASS=FACTOR@FROM-TO" help:"Multiply the arrivals of a class for a while, such as stock-report=10@5s-15s."`
	Seed           uint64             `default:"1" help:"Seed of the arrivals."`
	Sessions       int                `default:"128" help:"Requests of one class that may run at once."`
	RoamEvery      int                `default:"20" help:"After how many requests a session moves to the next entry."`
	KeysPerGroup   int                `default:"6" help:"Routing keys to use in each group."`
	HeartbeatEvery time.Duration      `default:"50ms" help:"Pause between two writes of the counter that staleness is judged by."`
	Plot           string             `placeholder:"FILE.png" help:"Write a chart of the answer times by rank."`
	hostFlags
	outputFlag
}

// Run drives the load and prints the report.
func (c *benchCommand) Run(env *environment) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	cfg.Progress = env.errOut
	r, err := bench.Run(env.ctx, cfg)
	if errors.Is(err, context.Canceled) {
		return errors.New("stopped before the end, no verdict")
	}
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if err := c.printReport(env, r); err != nil {
		return err
	}
	if r.Broken() {
		return errPromiseBroken
	}
	return nil
}

func (c *benchCommand) printReport(env *environment, r *bench.Report) error {
	if c.Output == outputJSON {
		return printJSON(env.out, r)
	}
	return r.Print(env.out)
}

// config reads the files and the flags.
func (c *benchCommand) config() (bench.Config, error) {
	cfg := bench.Config{
		Entries: c.Entry, HTTPAddress: c.Host, MetricsFrom: c.MetricsFrom, ConnString: c.Connect,
		Duration: c.Duration, Rates: c.Rate, DefaultRate: c.DefaultRate, Seed: c.Seed,
		SessionsPerClass: c.Sessions, RoamEvery: c.RoamEvery, KeysPerGroup: c.KeysPerGroup, HeartbeatEvery: c.HeartbeatEvery,
	}
	var err error
	if cfg.Client, err = c.client(); err != nil {
		return cfg, err
	}
	src, err := os.ReadFile(c.File)
	if err != nil {
		return cfg, err
	}
	if cfg.Document, err = config.ParseDocument(c.File, src); err != nil {
		return cfg, err
	}
	if cfg.Workload, err = c.workload(cfg.Document); err != nil {
		return cfg, err
	}
	for _, text := range c.Flood {
		f, err := bench.ParseFlood(text)
		if err != nil {
			return cfg, fmt.Errorf("--flood: %w", err)
		}
		cfg.Floods = append(cfg.Floods, f)
	}
	return cfg, nil
}

func (c *benchCommand) workload(doc *config.Document) (*bench.Workload, error) {
	if c.Workload == "" {
		return bench.DefaultWorkload(doc), nil
	}
	src, err := os.ReadFile(c.Workload)
	if err != nil {
		return nil, err
	}
	return bench.ParseWorkload(c.Workload, src, doc)
}
