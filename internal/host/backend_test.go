package host

import (
	"io"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/edgetest"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// newIdleHost returns a host that listens and does not run. It knows group g1
// in term 2 and that instance "elsewhere" belongs to g2.
func newIdleHost(t *testing.T) *Host {
	t.Helper()
	ports := porttest.Free(t, 4)
	s, err := config.ParseSettings("test", []byte(`{"host": "h1", "failure_domain": "coventry", "caller_address": "`+ports[0]+
		`", "peer_address": "`+ports[1]+`", "http_address": "`+ports[2]+`", "join": ["`+ports[3]+`"]}`))
	assert.NilError(t, err)
	h, err := New(s)
	assert.NilError(t, err)
	h.log.SetOutput(io.Discard)
	t.Cleanup(func() {
		_, _, _ = h.callerSocket.Close(), h.peerSocket.Close(), h.httpSocket.Close()
		h.edge.Close()
	})
	const document = `{"service": "s", "version": 1, "groups": [{"name": "g1", "instances": 3}, {"name": "g2", "instances": 3}],
		"classes": [{"name": "c", "rank": "normal", "access": "write", "group": "g1", "deadline": "1s"}], "default_class": "c"}`
	v := viewAt(1, table.Group{Name: "g1", Term: 2, Phase: table.PhaseStable})
	v.Documents = map[string]control.Document{"s": {Version: 1, Body: []byte(document)}}
	h.dir.setView(v)
	h.dir.setTables(tables{Version: tablesVersion{1, 1}, Instances: []table.Instance{{ID: "elsewhere", Group: "g2"}}})
	return h
}

func TestAnnouncerContract(t *testing.T) {
	h := newIdleHost(t)
	edgetest.RunAnnouncer(t, &edgetest.AnnouncerFixture{
		Announcer: &Backend{host: h},
		Group:     "g1",
		Accepted: func(id table.InstanceID) (dbedge.Announcement, bool) {
			h.heartbeats.mu.Lock()
			defer h.heartbeats.mu.Unlock()
			a, ok := h.heartbeats.pendingAnnouncements[id]
			return a, ok
		},
	})
}

func TestContradictingAnnouncementsAreCounted(t *testing.T) {
	h := newIdleHost(t)
	b := &Backend{host: h}
	for want, a := range map[string]dbedge.Announcement{
		"no document in force has the group": {Group: "g9", Instance: "x"},
		"belongs to the group g2":            {Group: "g1", Instance: "elsewhere"},
		"term 1 of g1 is over, 2 is agreed":  {Group: "g1", Instance: "x", Role: "primary", Term: 1},
		"":                                   {Group: "g1", Instance: "x", Role: "replica", Term: 1}, // a replica may lag behind
	} {
		_, err := b.Announce(t.Context(), a)
		if want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, err != nil && strings.Contains(err.Error(), want), "%v", err)
	}
	const counted = `
# HELP amaranthweir_announcements_total Announcements of instances by outcome; the outcome is ok or an error kind.
# TYPE amaranthweir_announcements_total counter
amaranthweir_announcements_total{outcome="bad_request"} 3
amaranthweir_announcements_total{outcome="ok"} 1
`
	assert.NilError(t, testutil.GatherAndCompare(h.metrics.Registry(), strings.NewReader(counted), "amaranthweir_announcements_total"))
	h.heartbeats.mu.Lock()
	defer h.heartbeats.mu.Unlock()
	assert.Assert(t, h.heartbeats.pendingAnnouncements["x"].Instance == "x", "the announcement of an old primary was not forwarded, so it is not fenced")
}
