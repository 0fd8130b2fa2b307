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

// run ends the context at the first SIGINT or SIGTERM; a second one ends the
// process.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, serve)
}

// serve runs a host.
func serve(ctx context.Context, s *config.Settings) error {
	h, err := host.New(s)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}
