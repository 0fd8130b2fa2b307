// Package cli is the command line of amaranthweir.
package cli

import (
	"fmt"
	"io"
)

// Version is the version of this build.
const Version = "0.1.0"

// Run executes one command line and returns the exit code.
func Run(_ []string, out, _ io.Writer) int {
	fmt.Fprintln(out, "amaranthweir", Version)
	return 0
}
