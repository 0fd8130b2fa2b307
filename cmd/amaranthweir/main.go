// Command amaranthweir is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/amaranthweir/amaranthweir/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
