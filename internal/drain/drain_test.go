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
	assert.Assert(t, !Wait(ctx, &work), "Wait reported that unfinished work had ended")
	close(release)
	assert.Assert(t, Wait(t.Context(), &work))
}

func TestInterrupt(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	defer local.Close()
	read := make(chan error, 1)
	go func() {
		_, err := local.Read(make([]byte, 1))
		read <- err
	}()
	Interrupt(local)
	assert.Assert(t, errors.Is(<-read, os.ErrDeadlineExceeded))
}
