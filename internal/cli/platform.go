package cli

import "errors"

// platformCommand runs a host on the users' platform.
type platformCommand struct {
	LearnCapacity bool `help:"Learn how many statements each instance runs well at once, and send it no more."`
}

// Run runs the host until the context ends. It returns an error if the build
// includes no platform.
func (c *platformCommand) Run(e *environment) error {
	if e.platform == nil {
		return errors.New("this build has no platform")
	}
	return e.platform(e.ctx, PlatformOptions{LearnCapacity: c.LearnCapacity})
}
