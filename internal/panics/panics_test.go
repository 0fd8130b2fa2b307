package panics

import (
	"errors"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// A panic must end only the function that defers Recover, and leave a log line
// that says where it came from.
func TestRecover(t *testing.T) {
	log, lines := test.NewNullLogger()
	call := func(f func()) (err error) {
		defer Recover(log, "test call", func() { err = errors.New("failed") })
		f()
		return nil
	}
	assert.NilError(t, call(func() {}))
	assert.Equal(t, len(lines.Entries), 0)
	var none []int
	assert.ErrorContains(t, call(func() { _ = none[:1] }), "failed")
	entry := lines.LastEntry()
	assert.Equal(t, entry.Level, logrus.ErrorLevel)
	assert.Equal(t, entry.Data["work"], "test call")
	assert.Assert(t, len(entry.Data["stack"].(string)) <= maxStackBytes)
}
