// Command standin runs a stand-in upstream. It prints its addresses as a JSON line
// and runs until SIGTERM, SIGINT or the fault switch kill.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin"
)

// flags are the flags of the command line.
type flags struct {
	Group          string        `required:"" help:"Group of the instance."`
	Instance       string        `required:"" help:"Name of the instance."`
	Domain         string        `required:"" help:"Failure domain of the instance."`
	Address        string        `default:"127.0.0.1:0" help:"ip:port for the PostgreSQL protocol."`
	ControlAddress string        `default:"127.0.0.1:0" help:"ip:port for fellows of the group and fault switches."`
	Primary        bool          `help:"Found the group as its primary in term 1, unless a fellow already follows a term."`
	Peers          []string      `help:"Control addresses of the fellows."`
	Entries        []string      `help:"HTTP addresses of the hosts that take announcements."`
	Slots          int           `default:"3" help:"Statements that run at once."`
	Connections    int           `default:"45" help:"Connections that callers may have open."`
	Work           time.Duration `default:"2ms" help:"How long a statement holds its slot."`
	OpenCost       time.Duration `default:"10ms" help:"How long it takes to open a connection."`
	Lag            time.Duration `default:"0s" help:"Replication lag while a replica."`
}

func (f flags) config() standin.Config {
	return standin.Config{
		Group:          table.GroupName(f.Group),
		Instance:       table.InstanceID(f.Instance),
		Domain:         table.Domain(f.Domain),
		Address:        f.Address,
		ControlAddress: f.ControlAddress,
		Primary:        f.Primary,
		Peers:          f.Peers,
		Hosts:          f.Entries,
		Slots:          f.Slots,
		Connections:    f.Connections,
		StatementTime:  f.Work,
		OpenCost:       f.OpenCost,
		Lag:            f.Lag,
	}
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("standin"), kong.Description("A stand-in upstream for tests and demos."))
	if err := run(f.config()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(cfg standin.Config) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	in, err := standin.Start(cfg)
	if err != nil {
		return err
	}
	addresses := map[string]string{"address": in.Address(), "control_address": in.ControlAddress()}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-in.Done():
	}
	return in.Close()
}
