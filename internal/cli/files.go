package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// serveCommand runs a host.
type serveCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"The settings of the host, JSON with comments."`
}

// Run reads the settings and runs the host until the context ends.
func (c *serveCommand) Run(env *environment) error {
	src, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	s, err := config.ParseSettings(c.Settings, src)
	if err != nil {
		return err
	}
	if s.UsesDevelopmentKey {
		fmt.Fprintln(env.errOut, "amaranthweir: warning: no session_keys given, using the public development key")
	}
	return env.serve(env.ctx, s)
}

// checkCommand validates a settings file or a service document.
type checkCommand struct {
	File string `arg:"" help:"A settings file or a service document; told apart by content."`
	outputFlag
}

// checkReply is the output of the check command.
type checkReply struct {
	File     string           `json:"file"`
	Kind     string           `json:"kind"` // "document", "settings" or "unknown"
	Valid    bool             `json:"valid"`
	Service  string           `json:"service,omitempty"`
	Version  uint64           `json:"version,omitempty"`
	Digest   string           `json:"digest,omitempty"`
	Host     string           `json:"host,omitempty"`
	Problems []config.Problem `json:"problems"`
}

// Run validates the file and prints the result.
func (c *checkCommand) Run(env *environment) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	reply, err := check(c.File, src)
	if c.Output == outputJSON {
		if printErr := printJSON(env.out, reply); printErr != nil {
			return printErr
		}
		return err
	}
	if err != nil {
		return err
	}
	if reply.Kind == "document" {
		fmt.Fprintf(env.out, "%s: valid document of service %s, version %d, digest %s\n",
			c.File, reply.Service, reply.Version, reply.Digest)
		return nil
	}
	fmt.Fprintf(env.out, "%s: valid settings of host %s\n", c.File, reply.Host)
	return nil
}

// check detects the kind of the file from its content and validates it.
func check(file string, src []byte) (checkReply, error) {
	reply := checkReply{File: file, Problems: []config.Problem{}}
	var err error
	switch config.KindOf(src) {
	case config.FileDocument:
		reply.Kind = "document"
		var doc *config.Document
		if doc, err = config.ParseDocument(file, src); err == nil {
			reply.Service, reply.Version, reply.Digest = doc.Service, doc.Version, config.DocumentDigest(src)
		}
	case config.FileSettings:
		reply.Kind = "settings"
		var s *config.Settings
		if s, err = config.ParseSettings(file, src); err == nil {
			reply.Host = string(s.Host)
		}
	default:
		reply.Kind = "unknown"
		err = config.UnknownKindError(file, src)
	}
	var problems *config.Problems
	if errors.As(err, &problems) {
		reply.Problems = problems.Items
	}
	reply.Valid = err == nil
	return reply, err
}

// applyCommand sends a service document to a host.
type applyCommand struct {
	File string `arg:"" help:"The service document, JSON with comments."`
	hostFlags
	outputFlag
}

// Run validates the document locally, then sends it to the host.
func (c *applyCommand) Run(env *environment) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := config.ParseDocument(c.File, src); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Apply(env.ctx, src)
	if err != nil {
		return c.printRemoteError(env, err)
	}
	return c.print(env.out, reply, func() {
		fmt.Fprintf(env.out, "%s: version %d %s, digest %s\n", reply.Service, reply.Version, reply.Result, reply.Digest)
	})
}

// printRemoteError prints the error reply of a host as JSON if that output format
// is selected. It returns err with the problems that the reply lists.
func (f outputFlag) printRemoteError(env *environment, err error) error {
	var remote *api.RemoteError
	if f.Output == outputJSON && errors.As(err, &remote) {
		if printErr := printJSON(env.out, api.ErrorReply{Error: remote.Body}); printErr != nil {
			return printErr
		}
	}
	return withProblems(err)
}

// withProblems adds to err the problems that a host found in a document.
func withProblems(err error) error {
	var remote *api.RemoteError
	if !errors.As(err, &remote) || len(remote.Body.Problems) == 0 {
		return err
	}
	return fmt.Errorf("%w\n%w", err, &config.Problems{Items: remote.Body.Problems})
}
