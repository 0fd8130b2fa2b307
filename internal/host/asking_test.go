package host

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
)

// An operator gives up on a host after one second.
const operatorTimeout = time.Second

// A host that asked a silent leader for the configuration waited for it until the
// operator had given up, although another leader was there.
func TestReadOfDeploymentLeavesSilentLeader(t *testing.T) {
	h := newIdleHost(t)
	silent, err := net.Listen("tcp", porttest.Free(t, 1)[0])
	assert.NilError(t, err)
	defer silent.Close()
	leader, err := net.Listen("tcp", porttest.Free(t, 1)[0])
	assert.NilError(t, err)
	server := &peer.Server{Log: h.log, Methods: map[string]peer.Method{
		methodDeployment: func(context.Context, []byte) (any, error) {
			return control.Deployment{Version: 7, Body: []byte("latest")}, nil
		},
	}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, leader) }()
	defer func() { stop(); <-done }()

	h.settings.Join = []string{silent.Addr().String(), leader.Addr().String()}
	h.heartbeats.nextJoin = 1 // the silent host is asked first
	asked, stopAsking := context.WithTimeout(t.Context(), operatorTimeout)
	defer stopAsking()
	body, err := (&Backend{host: h}).Deployment(asked)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "latest")
}

// Without a leader a host did not answer an operator who reads the configuration before
// the operator had given up, so that an outage of control looked like a host that is gone.
func TestReadOfDeploymentIsAnsweredWithoutLeader(t *testing.T) {
	h := newIdleHost(t)
	h.settings.Join = porttest.Free(t, 2) // nobody listens
	began := time.Now()
	_, err := (&Backend{host: h}).Deployment(t.Context())
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < operatorTimeout, "answered after %v", time.Since(began))
}

// A large configuration over a slow link takes longer than a silent leader is waited for.
// The read was given up while its reply arrived, and asked again from the start.
func TestReadOfLargeDeploymentOverSlowLink(t *testing.T) {
	for _, free := range []float64{1, 0.5, 0.25, 0.125} { // the part of the link that callers leave
		t.Run(fmt.Sprintf("%g of the link is free", free), func(t *testing.T) {
			h := newIdleHost(t)
			leader, err := net.Listen("tcp", porttest.Free(t, 1)[0])
			assert.NilError(t, err)
			sent := control.Deployment{Version: 7, Body: largeDeployment(7).Body}
			server := &peer.Server{Log: h.log, Methods: map[string]peer.Method{
				methodDeployment: func(context.Context, []byte) (any, error) { return sent, nil },
			}}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- server.Serve(ctx, leader) }()
			defer func() { stop(); <-done }()
			h.settings.Join = []string{leader.Addr().String()}
			h.reads.Dial = dialSlowly(free * linkBytesPerSecond)
			body, err := (&Backend{host: h}).Deployment(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(body), len(sent.Body))
		})
	}
}
