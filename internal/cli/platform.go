package cli

import "errors"

// platformCommand runs a host on the users' platform.
type platformCommand struct{}

// Run runs the host until the context ends. It returns an error if the build
// includes no platform.
func (*platformCommand) Run(e *environment) error {
	if e.platform == nil {
		return errors.New("this build has no platform")
	}
	return e.platform(e.ctx)
}
