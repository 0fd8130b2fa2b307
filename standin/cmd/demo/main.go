// Command demo shows the whole system on one machine: six hosts, three of them
// control hosts, in three failure domains, and two groups of three stand-in
// upstreams, all as processes of their own on loopback addresses. It applies a
// service document, runs a mixed load, kills a primary in the middle (or lets
// another fault happen to it) and prints what the callers saw. Everything it starts, it stops.
//
// The exit code is 0 only when no acknowledged write was lost or doubled, every
// "not run" was true, no session missed its own write, and the group whose
// primary had the fault acknowledged writes again.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/amaranthweir/amaranthweir/internal/bench"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

const service = "ledger"

// groups are those that run, of the groups in the document.
var groups = []string{"ledger-1", "ledger-2"}

// yardsPerGroup is how many yards the load uses in each group.
const yardsPerGroup = 6

// flags are the command line.
type flags struct {
	Bin      string        `help:"Folder of the binaries; by default that of the demo itself."`
	Document string        `default:"examples/ledger.jsonc" help:"Service document to apply."`
	Duration time.Duration `default:"10s" help:"How long the load runs."`
	Callers  int           `default:"12" help:"Callers that run at once."`
	Pause    time.Duration `default:"30ms" help:"Pause of a caller between two requests."`
	Lag      time.Duration `default:"20ms" help:"Replication lag of the stand-ins."`
	Seed     uint64        `default:"1" help:"Seed of the load."`
	PortBase int           `default:"0" help:"First port to use; 0 finds free ones."`
	Fault    string        `default:"kill" enum:"${faults}" help:"What happens to a primary in the middle of the load: ${faults}."`
	Logs     string        `help:"Folder for the logs of the processes; by default one that is removed when all went well."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("demo"), kong.Description("Run the whole system on this machine for a short while."),
		kong.Vars{"faults": strings.Join(slices.Sorted(maps.Keys(faults)), ",")})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) (err error) {
	if f.Bin == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		f.Bin = filepath.Dir(own)
	}
	work, err := os.MkdirTemp("", "amaranthweir-demo-")
	if err != nil {
		return err
	}
	if f.Logs == "" {
		f.Logs = work
	}
	if err := os.MkdirAll(f.Logs, 0o700); err != nil {
		return err
	}
	c, err := deploy.New(f.config(work))
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, c.Stop())
		if err != nil && f.Logs == work {
			fmt.Fprintln(os.Stderr, "the logs are in", work)
			return
		}
		err = errors.Join(err, os.RemoveAll(work))
	}()
	if err := c.Start(ctx); err != nil {
		return err
	}
	return show(ctx, f, c)
}

// config lays out the deployment of the demo.
func (f flags) config(work string) deploy.Config {
	return deploy.Config{
		Bin: f.Bin, Work: work, Logs: f.Logs, Document: f.Document, Service: service,
		Domains: []string{"coventry", "leicester", "derby"}, Groups: groups,
		Instances: 3, Hosts: 6, Controls: 3, Slots: 3, Connections: 45,
		Lag: f.Lag, StatementTime: 2 * time.Millisecond, PortBase: f.PortBase, Progress: os.Stdout,
	}
}

// show runs the load and the fault, and prints the report.
func show(ctx context.Context, f flags, c *deploy.Cluster) error {
	yards, err := c.Keys(ctx, classTicket, "yard-", yardsPerGroup)
	if err != nil {
		return err
	}
	fmt.Printf("load: %d callers for %v, seed %d\n", f.Callers, f.Duration, f.Seed)
	l := newLoad(f, c, yards)
	l.start(ctx)
	happened, faultErr := faultInTheMiddle(ctx, f, c, l.since)
	l.wait()
	if err := errors.Join(faultErr, ctx.Err()); err != nil {
		return err
	}
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	rows, err := c.Rows(ctx, tickets, settlements)
	if err != nil {
		return err
	}
	reads, err := bench.ReadsByRole(ctx, c.HTTPAddresses())
	if err != nil {
		return err
	}
	r := newReport(l.ledger.History(rows), reads, happened)
	r.print(os.Stdout)
	return r.verdict()
}

// fault is what happened to the primary of a group, and when.
type fault struct {
	kind  string
	group string
	at    time.Duration // since the start of the load
}

// faultNone leaves the fault out.
const faultNone = "none"

// faults has, for each kind of fault, the switches of the stand-in that begin
// it and, a quarter of the load later, end it. A kill is none of its switches:
// the process is killed.
var faults = map[string]struct{ begin, end string }{
	faultNone: {},
	"kill":    {},
	"freeze":  {"freeze=true", "freeze=false"},
	"cut":     {"cut=all", "cut=none"},
	"silence": {"silence=true", ""},
	"late":    {"late_ms=50", "late_ms=0"},
	"lose":    {"lose=5", ""},
	"leave":   {"leaving=true", ""},
}

// faultInTheMiddle waits for half of the load and then lets the fault happen to
// the primary of the first group.
func faultInTheMiddle(ctx context.Context, f flags, c *deploy.Cluster, since func() time.Duration) (*fault, error) {
	if f.Fault == faultNone {
		return nil, nil
	}
	if err := deploy.Sleep(ctx, f.Duration/2); err != nil {
		return nil, err
	}
	primary, err := c.PrimaryOf(ctx, groups[0])
	if err != nil {
		return nil, err
	}
	name := string(primary.Instance)
	fmt.Printf("%s: %s, the primary of %s\n", f.Fault, name, groups[0])
	happened := &fault{f.Fault, groups[0], since()}
	if f.Fault == "kill" {
		return happened, c.Kill(name)
	}
	switches := faults[f.Fault]
	if err := c.SwitchFault(ctx, name, switches.begin); err != nil || switches.end == "" {
		return happened, err
	}
	if err := deploy.Sleep(ctx, f.Duration/4); err != nil {
		return nil, err
	}
	return happened, c.SwitchFault(ctx, name, switches.end)
}
