package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/amaranthweir/amaranthweir/internal/trace"
)

// traceCommand prints the log lines of all hosts about one request.
type traceCommand struct {
	Request string   `required:"" placeholder:"ID" help:"The request: as its caller names it, or as in the field request of log lines."`
	Files   []string `arg:"" name:"file" help:"Logs of hosts, in any order; - is standard input."`

	stdin []byte // contents of standard input, once read
}

// Run reads the files and prints the lines about the request in order of cause
// and effect.
func (c *traceCommand) Run(env *environment) error {
	var ids []string
	err := c.forEachFile(env, func(in io.Reader, file string) error {
		found, err := trace.RequestIDs(in, file, c.Request)
		ids = append(ids, found...)
		return err
	})
	if err != nil {
		return err
	}
	if len(ids) == 0 {
		ids = []string{c.Request}
	}
	printed := 0
	for _, id := range ids {
		lines, err := c.lines(env, id)
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

// lines returns the lines of all files about the request with the given id.
func (c *traceCommand) lines(env *environment, id string) ([]trace.Line, error) {
	var lines []trace.Line
	err := c.forEachFile(env, func(in io.Reader, file string) error {
		found, err := trace.Read(in, file, id)
		lines = append(lines, found...)
		return err
	})
	return lines, err
}

// forEachFile calls read with each file in turn. It may be called repeatedly.
func (c *traceCommand) forEachFile(env *environment, read func(in io.Reader, file string) error) error {
	for _, name := range c.Files {
		if err := c.readFile(env, name, read); err != nil {
			return err
		}
	}
	return nil
}

// readFile calls read with the contents of one file. The contents of standard
// input are kept in memory, so that they can be read again.
func (c *traceCommand) readFile(env *environment, name string, read func(in io.Reader, file string) error) error {
	if name == "-" {
		if c.stdin == nil {
			input, err := io.ReadAll(env.in)
			if err != nil {
				return err
			}
			c.stdin = input
		}
		return read(bytes.NewReader(c.stdin), name)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return read(f, name)
}
