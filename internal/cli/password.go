package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/auth"
)

type hashPasswordCommand struct{}

// Run implements the command hash-password. A line break at the end of the
// input does not belong to the password.
func (*hashPasswordCommand) Run(env *environment) error {
	raw, err := io.ReadAll(io.LimitReader(env.in, auth.MaxPasswordBytes+3))
	if err != nil {
		return err
	}
	password := strings.TrimSuffix(strings.TrimSuffix(string(raw), "\n"), "\r")
	v, err := auth.HashPassword(password)
	if err != nil {
		return err
	}
	fmt.Fprintln(env.out, v.Text())
	return nil
}
