// Package waittest lets tests wait for conditions that other goroutines make true.
package waittest

import (
	"time"

	"gotest.tools/v3/poll"
)

// Timeout limits the waits of tests.
const Timeout = 20 * time.Second

// Until polls condition until it returns true. The test fails if that takes
// longer than Timeout.
func Until(t poll.TestingT, what string, condition func() bool) {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(Timeout))
}
