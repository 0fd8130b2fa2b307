package host

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
)

// answerHeartbeats runs a host that answers heartbeats with the result of reply, which
// gets its address.
func answerHeartbeats(t *testing.T, h *Host, reply func(address string) heartbeatReply) (address string) {
	t.Helper()
	address = porttest.Free(t, 1)[0]
	socket, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &peer.Server{Log: h.log, Methods: map[string]peer.Method{
		methodHeartbeat: func(context.Context, []byte) (any, error) { return reply(address), nil },
	}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, socket) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return address
}

func leads(string) heartbeatReply { return heartbeatReply{Leads: true, Lease: time.Second} }

// A leader whose disk hangs loses its lease without learning of its successor, and names
// itself as the leader. A host asked it again and again for as long as the disk hung,
// heard no change of the configuration meanwhile and lost its callers.
func TestHostLeavesLeaderThatNamesItself(t *testing.T) {
	h := newIdleHost(t)
	old := answerHeartbeats(t, h, func(self string) heartbeatReply { return heartbeatReply{Leader: self} })
	h.settings.Join = []string{old, answerHeartbeats(t, h, leads)}
	h.heartbeats.leader = old
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.heartbeats.run(ctx) }()
	for began := time.Now(); !h.heartbeats.caughtUp() && time.Since(began) < isolatedAfter; time.Sleep(time.Millisecond) {
	}
	assert.Assert(t, h.heartbeats.caughtUp(), "no answer of the new leader within %v", isolatedAfter)
	stop()
	assert.NilError(t, <-done)
}

// A new leader calls the hosts. A reply of the old leader that was on its way replaced
// the new address by the old one.
func TestLateReplyDoesNotHideTheNewLeader(t *testing.T) {
	h := newIdleHost(t)
	next := answerHeartbeats(t, h, leads)
	old := answerHeartbeats(t, h, func(self string) heartbeatReply {
		h.heartbeats.requestHeartbeatTo(next)
		return heartbeatReply{Leader: self}
	})
	h.heartbeats.leader = old
	assert.Assert(t, !h.heartbeats.send(t.Context(), false))
	assert.Equal(t, h.heartbeats.leaderAddress(), next)
	assert.Assert(t, h.heartbeats.send(t.Context(), false))
}
