package errkind

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	names := map[string]bool{}
	for _, k := range All() {
		a := k.Answer()
		assert.Assert(t, a.Name != "" && a.Message != "", "kind %d", k)
		assert.Equal(t, len(a.SQLState), 5, a.Name)
		assert.Assert(t, !names[a.Name], a.Name)
		names[a.Name] = true
	}
}

func TestOfFindsTheKindThroughWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", New(NoPrimary, "group %s", "g1"))
	assert.Assert(t, Is(err, NoPrimary))
	assert.Equal(t, Of(err).Effect, NotRun)
	assert.Equal(t, Of(errors.New("x")).Kind, Internal)
	assert.Equal(t, New(Cancelled, "").WithEffect(NotRun).Effect, NotRun)
}
