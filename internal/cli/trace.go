package cli

import (
	"fmt"
	"os"

	"github.com/amaranthweir/amaranthweir/internal/trace"
)

// traceCommand prints what the hosts logged about one request.
type traceCommand struct {
	Request string   `required:"" placeholder:"ID" help:"The request, as in the field request of its log lines."`
	Files   []string `arg:"" name:"file" help:"Logs of hosts, in any order; - is standard input."`
}

// Run reads the files and prints the lines about the request in order.
func (c *traceCommand) Run(env *environment) error {
	var lines []trace.Line
	for _, name := range c.Files {
		found, err := c.read(env, name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line about request %q in %d files", c.Request, len(c.Files))
	}
	return trace.Print(env.out, trace.Order(lines))
}

func (c *traceCommand) read(env *environment, name string) ([]trace.Line, error) {
	if name == "-" {
		return trace.Read(env.in, name, c.Request)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return trace.Read(f, name, c.Request)
}
