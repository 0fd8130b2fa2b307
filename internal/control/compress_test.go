package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// deploymentOfRoutes returns a deployment of n routes that differ only in their
// names and hosts.
func deploymentOfRoutes(n int) Deployment {
	var body bytes.Buffer
	for i := range n {
		fmt.Fprintf(&body, `{"name":"r-%x","host":"h%x","kind":"read_your_writes","timeout_ms":800,"target_latency_ms":250,"service":"huvo11a"},`, i*7919, i*104729)
	}
	return Deployment{Version: 7, Body: body.Bytes()}
}

// A deployment of more than a thousand routes must fit into the reply to one
// heartbeat. Before the heartbeat times out, a link of 2 Mbit/s transfers 100 kB.
// A larger reply would time out on every retry and never arrive.
func TestLargeDeploymentFitsInAHeartbeat(t *testing.T) {
	const heartbeat = 100_000 // bytes
	v := NewView()
	v.Revision, v.Deployment = 3, deploymentOfRoutes(1200)
	assert.Assert(t, len(v.Deployment.Body) > heartbeat)
	delta, err := v.EncodeDelta(0)
	assert.NilError(t, err)
	assert.Assert(t, len(delta)*4/3 < heartbeat, "%d bytes, and a third more in the reply", len(delta))
	got, err := NewView().ApplyDelta(delta)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Deployment, v.Deployment)
}

func TestDeploymentJSONRoundTrip(t *testing.T) {
	for _, d := range []Deployment{{}, {Version: 1, Body: []byte("{}")}, deploymentOfRoutes(200)} {
		src, err := json.Marshal(d)
		assert.NilError(t, err)
		var got Deployment
		assert.NilError(t, json.Unmarshal(src, &got))
		assert.DeepEqual(t, got, d)
	}
}

// The log of an earlier release contains uncompressed bodies.
func TestUncompressedDeploymentIsDecoded(t *testing.T) {
	var got Deployment
	assert.NilError(t, json.Unmarshal([]byte(`{"Version":4,"Body":"e30="}`), &got))
	assert.DeepEqual(t, got, Deployment{Version: 4, Body: []byte("{}")})
}

func TestInvalidCompressedDeploymentIsRejected(t *testing.T) {
	for _, src := range []string{`{"Version":4,"Gzip":"e30="}`, `{"Version":4,"Gzip":"H4sIAAAA"}`, `[]`} {
		var got Deployment
		assert.Assert(t, json.Unmarshal([]byte(src), &got) != nil, src)
	}
}
