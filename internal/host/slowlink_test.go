package host

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
)

const (
	// linkBytesPerSecond is the rate of a link of 2 Mbit/s.
	linkBytesPerSecond = 2e6 / 8
	// applyTime is how long after its acknowledgement a deployment may take to be in
	// force.
	applyTime = 4 * time.Second
	// manyRoutes is the number of routes of a large deployment, to so many groups.
	manyRoutes = 1400
	manyGroups = 8
)

// slowConn is a connection that delivers bytes at a limited rate.
type slowConn struct {
	net.Conn
	bytesPerSecond float64
}

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 1<<10)])
	time.Sleep(time.Duration(float64(n) / c.bytesPerSecond * float64(time.Second)))
	return n, err
}

// dialSlowly returns a function that dials hosts over a link of the given rate.
func dialSlowly(bytesPerSecond float64) peer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return slowConn{nc, bytesPerSecond}, nil
	}
}

// largeDeployment returns a deployment with many routes to databases with random
// names.
func largeDeployment(version uint64) *control.ReplaceDeployment {
	rng := rand.New(rand.NewPCG(version, 35))
	name := func() string {
		const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
		var b strings.Builder
		for range 7 {
			b.WriteByte(letters[rng.IntN(len(letters))])
		}
		return b.String()
	}
	groups, routes := make([]string, manyGroups), make([]string, manyRoutes)
	for i := range groups {
		groups[i] = name()
	}
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%s","host":"%s","path_prefix":"/","kind":"read_your_writes","timeout_ms":%d,"target_latency_ms":250,"priority":1,"service":"%s","max_attempts":2,"max_staleness_ms":%d}`,
			name(), name(), 500*(1+rng.IntN(4)), groups[rng.IntN(manyGroups)], 500*rng.IntN(6))
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[]}`, version, strings.Join(routes, ","))
	return &control.ReplaceDeployment{Version: version, Body: []byte(body)}
}

// serveReplies runs a leader that answers each heartbeat with the control state.
func serveReplies(t *testing.T, view *control.View) (address string) {
	t.Helper()
	l := newTestLeader(t)
	l.appliedView = view
	handle := func(_ context.Context, body []byte) (any, error) {
		var hb heartbeat
		if err := json.Unmarshal(body, &hb); err != nil {
			return nil, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		reply := heartbeatReply{Leads: true, Lease: time.Second}
		if hb.Revision < view.Revision {
			delta, err := l.deltas.encode(view, hb.Revision)
			assert.Check(t, err)
			l.addControl(&hb, &reply, delta)
		}
		return reply, nil
	}
	address = porttest.Free(t, 1)[0]
	socket, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &peer.Server{Methods: map[string]peer.Method{methodHeartbeat: handle}, Log: l.log}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, socket) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return address
}

// A large deployment takes longer than a heartbeat may over a link of 2 Mbit/s that
// callers use too. The host gave the call up and asked again from the start, for ever:
// it got neither the deployment nor a lease.
func TestLargeDeploymentOverSlowLink(t *testing.T) {
	for _, free := range []float64{1, 0.5, 0.25, 0.125} { // the part of the link that callers leave
		t.Run(fmt.Sprintf("%g of the link is free", free), func(t *testing.T) {
			s := control.NewState()
			s.Apply(control.Command{ReplaceDeployment: largeDeployment(1)})
			h := newIdleHost(t)
			h.dir.view.Store(control.NewView())
			h.dir.decode = func([]byte) (*config.Deployment, error) { return &config.Deployment{Version: 1}, nil }
			h.settings.Join = []string{serveReplies(t, s.View())}
			h.heartbeats.conn.Dial = dialSlowly(free * linkBytesPerSecond)
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			began := time.Now()
			go func() { done <- h.heartbeats.run(ctx) }()
			for h.dir.deploymentVersion() == 0 && time.Since(began) < applyTime {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("in force after %v", time.Since(began))
			assert.Equal(t, h.dir.deploymentVersion(), uint64(1), "not in force %v after the acknowledgement", applyTime)
			stop()
			assert.NilError(t, <-done)
		})
	}
}
