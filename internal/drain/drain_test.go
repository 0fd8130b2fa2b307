package drain

import (
	"context"
	"errors"
	"net"
	"os"
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

func TestInterrupt(t *testing.T) {
	mine, other := net.Pipe()
	defer other.Close()
	defer mine.Close()
	read := make(chan error, 1)
	go func() {
		_, err := mine.Read(make([]byte, 1))
		read <- err
	}()
	Interrupt(mine)
	assert.Assert(t, errors.Is(<-read, os.ErrDeadlineExceeded))
}
