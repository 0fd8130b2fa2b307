// Command amaranthweir is a database proxy with session consistency.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/amaranthweir/amaranthweir/internal/cli"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/host"
)

func main() {
	os.Exit(run())
}

// exitForced is the exit code of a host that received a second signal.
const exitForced = 1

// run executes the command line and returns the exit code. The first SIGINT or
// SIGTERM cancels the context of the command.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, serve, servePlatform)
}

// serve runs a host until ctx ends. A second SIGINT or SIGTERM logs the
// unfinished requests and ends the process at once.
func serve(ctx context.Context, s *config.Settings) error {
	h, err := host.New(s)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		<-signals
		<-signals
		h.LogUnfinished()
		os.Exit(exitForced)
	}()
	return h.Run(ctx)
}
