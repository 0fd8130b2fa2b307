package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/amaranthweir/amaranthweir/internal/trace"
)

// traceCommand prints what the hosts logged about one request.
type traceCommand struct {
	Request string   `required:"" placeholder:"ID" help:"The request: as its caller names it, or as in the field request of log lines."`
	Files   []string `arg:"" name:"file" help:"Logs of hosts, in any order; - is standard input."`

	input []byte // what came from standard input
}

// Run reads the files and prints the lines about the request in order.
func (c *traceCommand) Run(env *environment) error {
	var names []string
	err := c.each(env, func(in io.Reader, file string) error {
		found, err := trace.Requests(in, file, c.Request)
		names = append(names, found...)
		return err
	})
	if err != nil {
		return err
	}
	if len(names) == 0 {
		names = []string{c.Request}
	}
	printed := 0
	for _, name := range names {
		lines, err := c.lines(env, name)
		if err != nil {
			return err
		}
		printed += len(lines)
		if err := trace.Print(env.out, trace.Order(lines)); err != nil {
			return err
		}
	}
	if printed == 0 {
		return fmt.Errorf("no line about request %q in %d files", c.Request, len(c.Files))
	}
	return nil
}

// lines returns the lines about a request in all files.
func (c *traceCommand) lines(env *environment, name string) ([]trace.Line, error) {
	var lines []trace.Line
	err := c.each(env, func(in io.Reader, file string) error {
		found, err := trace.Read(in, file, name)
		lines = append(lines, found...)
		return err
	})
	return lines, err
}

// each opens each file in turn. Standard input is kept, for files are read more
// than once.
func (c *traceCommand) each(env *environment, read func(in io.Reader, file string) error) error {
	for _, name := range c.Files {
		if err := c.open(env, name, read); err != nil {
			return err
		}
	}
	return nil
}

func (c *traceCommand) open(env *environment, name string, read func(in io.Reader, file string) error) error {
	if name == "-" {
		if c.input == nil {
			input, err := io.ReadAll(env.in)
			if err != nil {
				return err
			}
			c.input = input
		}
		return read(bytes.NewReader(c.input), name)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
	return read(f, name)
}
