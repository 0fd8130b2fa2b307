package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
)

const outputJSON = "json"

// hostFlags name the host that a command talks to.
type hostFlags struct {
	Host    string        `required:"" env:"AMARANTHWEIR_HOST" placeholder:"IP:PORT" help:"The HTTP address of any host."`
	Timeout time.Duration `default:"15s" help:"How long to wait for the answer."`
}

// Validate checks the flags before the command runs.
func (f *hostFlags) Validate() error {
	if _, err := netip.ParseAddrPort(f.Host); f.Host != "" && err != nil {
		return fmt.Errorf("--host: found %q, expected ip:port", f.Host)
	}
	if f.Timeout <= 0 {
		return fmt.Errorf("--timeout: found %v, expected more than zero", f.Timeout)
	}
	return nil
}

// client returns a client of the host.
func (f *hostFlags) client() *api.Client { return api.NewClient(f.Host, f.Timeout) }

// outputFlag chooses how data is printed.
type outputFlag struct {
	Output string `enum:"text,json" default:"text" help:"How to print data: text or json."`
}

// print prints data as JSON, or as text by the function.
func (f outputFlag) print(out io.Writer, data any, text func()) error {
	if f.Output == outputJSON {
		return printJSON(out, data)
	}
	text()
	return nil
}

// printJSON prints data as one indented JSON value.
func printJSON(out io.Writer, data any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(data)
}
