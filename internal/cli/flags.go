package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/certs"
)

// tokenVariable is the environment variable with the token of the operator. It is
// used if no token file is given.
const tokenVariable = "AMARANTHWEIR_TOKEN"

const outputJSON = "json"

// hostFlags are the flags of commands that call a host.
type hostFlags struct {
	Host    string        `required:"" env:"AMARANTHWEIR_HOST" placeholder:"IP:PORT" help:"The HTTP address of any host."`
	Timeout time.Duration `default:"15s" help:"How long to wait for the answer."`

	TokenFile string `placeholder:"FILE" help:"A file with the token of the operator, which only its owner may read. AMARANTHWEIR_TOKEN in the environment does as well."`
	CA        string `placeholder:"FILE" env:"AMARANTHWEIR_CA" help:"Certificates that the host is verified against. With it, TLS is used."`
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

// client returns a client of the host that the flags name.
func (f *hostFlags) client() (*api.Client, error) {
	client := api.NewClient(f.Host, f.Timeout)
	if err := f.configureClient(client); err != nil {
		return nil, err
	}
	return client, nil
}

// configureClient sets the token and the certificates of a client.
func (f *hostFlags) configureClient(client *api.Client) error {
	token := os.Getenv(tokenVariable)
	if f.TokenFile != "" {
		var err error
		if token, err = certs.ReadSecret(f.TokenFile); err != nil {
			return err
		}
	}
	client.UseToken(token)
	if f.CA == "" {
		return nil
	}
	start := time.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := certs.NewLoader(certs.Files{CA: f.CA}, func() time.Duration { return time.Since(start) }, log)
	if err != nil {
		return err
	}
	client.UseTLS(l.Client())
	return nil
}

// outputFlag selects the output format.
type outputFlag struct {
	Output string `enum:"text,json" default:"text" help:"How to print data: text or json."`
}

// print prints data as JSON, or calls text to print it as text.
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
