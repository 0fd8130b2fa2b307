// Package cli implements the command line of amaranthweir. The commands run a
// host, check files, and call the HTTP interface of a host.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Version is the version of this build.
const Version = "0.1.0"

// Exit codes. They are stable, so that scripts can rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the command failed for any reason not listed below
	ExitUsage       = 2 // the command line is invalid
	ExitInvalid     = 3 // the settings or the document are invalid
	ExitConflict    = 4 // another document with this version is in force
	ExitUnreachable = 5 // the host did not reply
)

// ServeFunc runs a host until the context ends and returns once it has shut
// down.
type ServeFunc func(ctx context.Context, s *config.Settings) error

// PlatformFunc runs a host on a platform that users supply, until the context
// ends. It locates the settings itself.
type PlatformFunc func(ctx context.Context, o PlatformOptions) error

// PlatformOptions are the settings of a host that the settings file of the platform
// does not hold.
type PlatformOptions struct {
	// LearnCapacity is config.Settings.LearnCapacity.
	LearnCapacity bool
}

// commands declares the commands and flags of the command line.
type commands struct {
	Serve        serveCommand        `cmd:"" help:"Run a host. Its settings make it an entry host, and a control host too if they say so."`
	Platform     platformCommand     `cmd:"" help:"Run a host on the users' platform, which names the settings file in the environment."`
	Check        checkCommand        `cmd:"" help:"Check a settings file or a service document and print every problem with its place."`
	Apply        applyCommand        `cmd:"" help:"Hand a service document to the system. Sending the same document again is safe."`
	Status       statusCommand       `cmd:"" help:"Print what a host knows of the system: documents, hosts, groups, instances."`
	Explain      explainCommand      `cmd:"" help:"Print what a host would do with a request now, and why."`
	Trace        traceCommand        `cmd:"" help:"Print the log lines of all hosts about one request, in order of cause and effect."`
	Switchover   switchOverCommand   `cmd:"" help:"Begin a planned change of the primary of a group."`
	Bench        benchCommand        `cmd:"" help:"Drive the classes of a service with load and judge the promises by what callers saw."`
	HashPassword hashPasswordCommand `cmd:"" help:"Read a password from standard input and print its verifier for the users of the settings."`
	Version      versionCommand      `cmd:"" help:"Print the version of this build."`
}

const description = `A PostgreSQL proxy with session consistency.

Exit codes: 0 done, 1 failed, 2 the command line cannot be read, 3 the file is not valid, 4 another document with this version is in force, 5 the host gave no answer.`

// environment holds the context, the streams and the dependencies of a command.
type environment struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	in     io.Reader
	serve  ServeFunc
	// platform is nil if the build includes no platform.
	platform PlatformFunc
}

// Run executes one command line and returns the exit code. Cancelling the context
// stops the command; serve then shuts down gracefully.
func Run(ctx context.Context, args []string, out, errOut io.Writer, serve ServeFunc, platform PlatformFunc) int {
	exited, exitCode := false, ExitOK
	parser, err := kong.New(
		&commands{},
		kong.Name("amaranthweir"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited, exitCode = true, code }),
	)
	if err != nil {
		fmt.Fprintln(errOut, "amaranthweir:", err)
		return ExitFailed
	}
	command, err := parser.Parse(args)
	if exited {
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(errOut, "amaranthweir: %v\nSee amaranthweir --help.\n", err)
		return ExitUsage
	}
	env := &environment{ctx: ctx, out: out, errOut: errOut, in: os.Stdin, serve: serve, platform: platform}
	if err := command.Run(env); err != nil {
		report(errOut, err)
		return exitCodeOf(err)
	}
	return ExitOK
}

// report prints an error. The problems of a file are printed one per line, each
// with its position at the start of the line.
func report(errOut io.Writer, err error) {
	if problems, ok := err.(*config.Problems); ok {
		fmt.Fprintln(errOut, problems)
		return
	}
	fmt.Fprintln(errOut, "amaranthweir:", err)
}

// exitCodeOf returns the exit code for an error that a command returned.
func exitCodeOf(err error) int {
	var problems *config.Problems
	var remote *api.RemoteError
	var unreachable *api.UnreachableError
	switch {
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &remote) && remote.Body.Kind == errkind.ConfigConflict.String():
		return ExitConflict
	case errors.As(err, &remote) && remote.Body.Kind == errkind.ConfigInvalid.String():
		return ExitInvalid
	default:
		return ExitFailed
	}
}
