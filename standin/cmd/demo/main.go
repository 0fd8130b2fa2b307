// Command demo shows the whole system on one machine: six hosts, three of them
// control hosts, in three failure domains, and two groups of three stand-in
// upstreams, all as processes of their own on loopback addresses. It applies a
// service document, runs a mixed load, kills a primary in the middle and
// prints what the callers saw. Everything it starts, it stops.
//
// The exit code is 0 only when no acknowledged write was lost or doubled, every
// "not run" was true, no session missed its own write, and the group whose
// primary was killed acknowledged writes again.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

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
	Kill     bool          `default:"true" negatable:"" help:"Kill a primary in the middle of the load."`
	Logs     string        `help:"Folder for the logs of the processes; by default one that is removed when all went well."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("demo"), kong.Description("Run the whole system on this machine for a short while."))
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
	c, err := newCluster(f, work)
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, c.stop())
		if err != nil && f.Logs == work {
			fmt.Fprintln(os.Stderr, "the logs are in", work)
			return
		}
		err = errors.Join(err, os.RemoveAll(work))
	}()
	if err := c.start(ctx); err != nil {
		return err
	}
	return show(ctx, f, c)
}

// show runs the load and the kill, and prints the report.
func show(ctx context.Context, f flags, c *cluster) error {
	yards, err := c.yards(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("load: %d callers for %v, seed %d\n", f.Callers, f.Duration, f.Seed)
	l := newLoad(f, c, yards)
	l.start(ctx)
	killed, killErr := killInTheMiddle(ctx, f, c)
	l.wait()
	if err := errors.Join(killErr, ctx.Err()); err != nil {
		return err
	}
	if err := c.settled(ctx); err != nil {
		return err
	}
	rows, err := c.rows(ctx)
	if err != nil {
		return err
	}
	reads, err := c.readsByRole(ctx)
	if err != nil {
		return err
	}
	r := newReport(l.journal, rows, reads, killed)
	r.print(os.Stdout)
	return r.verdict()
}

// kill is the moment at which the primary of a group was killed.
type kill struct {
	group string
	at    time.Time
}

// killInTheMiddle waits for half of the load and kills the primary of the
// first group, if the flags say so.
func killInTheMiddle(ctx context.Context, f flags, c *cluster) (*kill, error) {
	if err := pause(ctx, f.Duration/2); err != nil {
		return nil, err
	}
	if !f.Kill {
		return nil, nil
	}
	name, err := c.primaryOf(ctx, groups[0])
	if err != nil {
		return nil, err
	}
	k := &kill{group: groups[0], at: time.Now()}
	if err := c.kill(name); err != nil {
		return nil, err
	}
	fmt.Printf("killed %s, the primary of %s\n", name, groups[0])
	return k, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
