// Package panics confines a panic to the session or call that caused it, so that
// one unexpected input does not end the process.
package panics

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// maxStackBytes bounds the stack in the log line.
const maxStackBytes = 4 << 10

// Recover must be deferred. It ends a panic of the surrounding function, logs it
// with its stack and calls onPanic, which may be nil. work names what ends.
func Recover(log logrus.FieldLogger, work string, onPanic func()) {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	log.WithFields(logrus.Fields{
		"work": work, "panic": fmt.Sprint(cause), "stack": string(stack[:min(len(stack), maxStackBytes)]),
	}).Error("ended after a panic")
	if onPanic != nil {
		onPanic()
	}
}
