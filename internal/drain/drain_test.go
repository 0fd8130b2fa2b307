package drain

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWait(t *testing.T) {
	var work sync.WaitGroup
	release := make(chan struct{})
	work.Go(func() { <-release })
	ctx, stop := context.WithCancel(t.Context())
	stop()
	assert.Assert(t, !Wait(ctx, &work), "the work goes on")
	close(release)
	assert.Assert(t, Wait(t.Context(), &work))
}
