package cli

import "errors"

type platformCommand struct{}

// Run runs a host of the platform until the context of the environment ends.
func (*platformCommand) Run(e *environment) error {
	if e.platform == nil {
		return errors.New("this build has no platform")
	}
	return e.platform(e.ctx)
}
