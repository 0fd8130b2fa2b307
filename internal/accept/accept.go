// Package accept accepts the connections of a listener and serves each one in a
// goroutine of its own.
package accept

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/panics"
)

// retryDelay is the delay after a failed accept, for example when the process is
// out of file descriptors.
const retryDelay = 20 * time.Millisecond

// Loop passes each connection to serve until ctx ends or ln is closed. It calls
// track before serve and the function that track returns after it. A panic of
// serve ends only its connection, which serve must close.
func Loop(ctx context.Context, ln net.Listener, log logrus.FieldLogger, track func() (untrack func()), serve func(net.Conn)) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.WithError(err).Warn("failed to accept a caller connection")
			time.Sleep(retryDelay)
			continue
		}
		untrack := track()
		go func() {
			defer untrack()
			defer panics.Recover(log, "session", nil)
			serve(nc)
		}()
	}
}
