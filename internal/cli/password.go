package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/auth"
)

// hashPasswordCommand prints the verifier of a password.
type hashPasswordCommand struct{}

// Run reads a password from standard input and prints its verifier. A trailing
// line break is not part of the password.
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
