// Package waittest waits in tests for what other goroutines bring about.
package waittest

import (
	"time"

	"gotest.tools/v3/poll"
)

// Timeout bounds waits; nothing is measured by it.
const Timeout = 20 * time.Second

// Until returns once holds does. The test fails where that takes longer than
// Timeout.
func Until(t poll.TestingT, what string, holds func() bool) {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(Timeout))
}
