package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// manyRoutes is a deployment of n routes that are alike but for their names.
func manyRoutes(n int) Deployment {
	var body bytes.Buffer
	for i := range n {
		fmt.Fprintf(&body, `{"name":"r-%x","host":"h%x","kind":"read_your_writes","timeout_ms":800,"target_latency_ms":250,"service":"huvo11a"},`, i*7919, i*104729)
	}
	return Deployment{Version: 7, Body: body.Bytes()}
}

// A deployment of a thousand routes goes to every host within one heartbeat,
// whose time-out leaves 100 kB to a link of 2 Mbit/s. A heartbeat that is cut off
// is sent again, and would never arrive.
func TestLargeDeploymentFitsInAHeartbeat(t *testing.T) {
	const heartbeat = 100_000 // bytes
	v := NewView()
	v.Revision, v.Deployment = 3, manyRoutes(1200)
	assert.Assert(t, len(v.Deployment.Body) > heartbeat)
	delta, err := v.EncodeDelta(0)
	assert.NilError(t, err)
	assert.Assert(t, len(delta)*4/3 < heartbeat, "%d bytes, and a third more in the reply", len(delta))
	got, err := NewView().ApplyDelta(delta)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Deployment, v.Deployment)
}

func TestDeploymentsKeepTheirBody(t *testing.T) {
	for _, d := range []Deployment{{}, {Version: 1, Body: []byte("{}")}, manyRoutes(200)} {
		src, err := json.Marshal(d)
		assert.NilError(t, err)
		var got Deployment
		assert.NilError(t, json.Unmarshal(src, &got))
		assert.DeepEqual(t, got, d)
	}
}

// A log of an earlier version holds bodies as they are.
func TestDeploymentOfAnEarlierVersion(t *testing.T) {
	var got Deployment
	assert.NilError(t, json.Unmarshal([]byte(`{"Version":4,"Body":"e30="}`), &got))
	assert.DeepEqual(t, got, Deployment{Version: 4, Body: []byte("{}")})
}

func TestPackedDeploymentThatCannotBeRead(t *testing.T) {
	for _, src := range []string{`{"Version":4,"Gzip":"e30="}`, `{"Version":4,"Gzip":"H4sIAAAA"}`, `[]`} {
		var got Deployment
		assert.Assert(t, json.Unmarshal([]byte(src), &got) != nil, src)
	}
}
