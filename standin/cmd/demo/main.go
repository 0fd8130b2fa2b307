// Command demo runs a complete deployment on one machine: six hosts in three
// failure domains, three of them control hosts, and two groups of three stand-in
// upstreams, each a process with loopback addresses. It applies a service document,
// runs a mixed load, kills a primary halfway through (or injects another fault),
// prints the outcomes of the requests and stops all processes.
//
// The exit code is 0 only if no acknowledged write was lost or duplicated, no
// request reported as "not run" took effect, every session read its own writes, and
// the group with the fault acknowledged writes again.
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

// groups are the groups of the document that run.
var groups = []string{"ledger-1", "ledger-2"}

// keysPerGroup is the number of routing keys that the load uses in each group.
const keysPerGroup = 6

// flags are the flags of the command line.
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
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		f.Bin = filepath.Dir(executable)
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
	return runLoad(ctx, f, c)
}

// config returns the configuration of the deployment.
func (f flags) config(work string) deploy.Config {
	return deploy.Config{
		Bin: f.Bin, Work: work, Logs: f.Logs, Document: f.Document, Service: service,
		Domains: []string{"coventry", "leicester", "derby"}, Groups: groups,
		Instances: 3, Hosts: 6, ControlHosts: 3, Slots: 3, Connections: 45,
		Lag: f.Lag, StatementTime: 2 * time.Millisecond, PortBase: f.PortBase, Progress: os.Stdout,
	}
}

// runLoad runs the load, injects the fault, prints the report and returns its
// verdict.
func runLoad(ctx context.Context, f flags, c *deploy.Cluster) error {
	keys, err := c.RoutingKeys(ctx, classTicket, "yard-", keysPerGroup)
	if err != nil {
		return err
	}
	fmt.Printf("load: %d callers for %v, seed %d\n", f.Callers, f.Duration, f.Seed)
	l := newLoad(f, c, keys)
	l.start(ctx)
	injected, faultErr := injectFault(ctx, f, c, l.elapsed)
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
	r := newReport(l.ledger.History(rows), reads, injected)
	r.print(os.Stdout)
	return r.verdict()
}

// fault is a fault that was injected into the primary of a group.
type fault struct {
	kind  string
	group string
	at    time.Duration // since the start of the load
}

// faultNone is the kind that injects no fault.
const faultNone = "none"

// faults maps each kind of fault to the fault switches of the stand-in that begin
// it and that end it after a quarter of the load. The kind kill needs no switches,
// because the demo kills the process.
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

// injectFault waits for half of the load and then injects the fault into the
// primary of the first group. It returns nil for faultNone.
func injectFault(ctx context.Context, f flags, c *deploy.Cluster, elapsed func() time.Duration) (*fault, error) {
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
	injected := &fault{f.Fault, groups[0], elapsed()}
	if f.Fault == "kill" {
		return injected, c.Kill(name)
	}
	switches := faults[f.Fault]
	if err := c.SetFaults(ctx, name, switches.begin); err != nil || switches.end == "" {
		return injected, err
	}
	if err := deploy.Sleep(ctx, f.Duration/4); err != nil {
		return nil, err
	}
	return injected, c.SetFaults(ctx, name, switches.end)
}
