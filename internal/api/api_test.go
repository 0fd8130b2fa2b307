package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	goodAnnouncement = `{"group":"g1","instance":"g1-a","address":"10.0.0.1:5432","failure_domain":"d1",` +
		`"role":"primary","term":3,"position":18446744073709551615,"slots":2,"connections":15,"leaving":true}`
	goodDocument = `{"service": "shop", "version": 2, "groups": [{"name": "g1"}], // note
		"classes": [{"name": "look", "access": "read", "group": "g1"}], "default_class": "look"}`
)

// fakeBackend returns fixed replies, or err, and records the arguments of calls.
// With block set, Status waits until its context ends.
type fakeBackend struct {
	err        error
	announce   dbedge.Announcement
	applied    []byte
	doc        *config.Document
	query      ExplainQuery
	block      bool
	switchOver SwitchOver
}

func (f *fakeBackend) Announce(_ context.Context, a dbedge.Announcement) (dbedge.AnnounceReply, error) {
	f.announce = a
	return dbedge.AnnounceReply{IntervalMillis: 500}, f.err
}

func (f *fakeBackend) Apply(_ context.Context, doc *config.Document, src []byte) (ApplyReply, error) {
	f.doc, f.applied = doc, src
	v := DocumentVersion{Version: doc.Version, Digest: config.DocumentDigest(src)}
	return ApplyReply{Service: doc.Service, DocumentVersion: v, Result: Accepted}, f.err
}

func (f *fakeBackend) Status(ctx context.Context) (Status, error) {
	if f.block {
		<-ctx.Done()
		return Status{}, errkind.Wrap(ctx.Err(), errkind.Cancelled, "")
	}
	return Status{Host: "h1", Leader: "h2"}, f.err
}

func (f *fakeBackend) Explain(_ context.Context, q ExplainQuery) (Explanation, error) {
	f.query = q
	return Explanation{Service: q.Service, Class: q.Class, Key: q.Key, Chosen: "g1-a"}, f.err
}

func (f *fakeBackend) SwitchOver(_ context.Context, s SwitchOver) error {
	f.switchOver = s
	return f.err
}

func (f *fakeBackend) Ready(context.Context) error { return f.err }

func serve(f *fakeBackend, method, path, body string) (int, string) {
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") })
	w := httptest.NewRecorder()
	NewHandler(f, metrics, AccessControl{}).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func TestHandler(t *testing.T) {
	conflict := NewConflict("shop", DocumentVersion{Version: 2, Digest: "aa"})
	for _, c := range []struct {
		name, method, path, body string
		err                      error
		code                     int
		want                     string
	}{
		{"announce", "POST", PathAnnounce, goodAnnouncement, nil, 200, `"interval_ms":500`},
		{"announce refused", "POST", PathAnnounce, goodAnnouncement, errkind.New(errkind.BadRequest, "lower term"), 400, `lower term`},
		{"announce too large", "POST", PathAnnounce, strings.Repeat(" ", MaxAnnouncementBytes+1), nil, 413, `"too_large"`},
		{"apply", "POST", PathDocuments, goodDocument, nil, 200, `"version":2,"digest":"`},
		{"apply invalid", "POST", PathDocuments, `{"service": 1, "colour": 2}`, nil, 422, `"column":13,"field":"service"`},
		{"apply conflict", "POST", PathDocuments, goodDocument, conflict, 409, `"in_force":{"version":2,"digest":"aa"}`},
		{"apply without leader", "POST", PathDocuments, goodDocument, errkind.New(errkind.NoQuorum, ""), 503, `"repeat":true`},
		{"apply with a plain error", "POST", PathDocuments, goodDocument, errors.New("boom"), 500, `"kind":"internal"`},
		{"apply too large", "POST", PathDocuments, strings.Repeat(" ", config.MaxFileBytes+1), nil, 413, `"not run"`},
		{"status", "GET", PathStatus, "", nil, 200, `"leader":"h2"`},
		{"explain", "GET", PathExplain + "?service=shop&class=look&key=7", "", nil, 200, `"chosen":"g1-a"`},
		{"explain without service", "GET", PathExplain, "", nil, 400, "service is missing"},
		{"explain with a repeated parameter", "GET", PathExplain + "?service=a&service=b", "", nil, 400, "stands twice"},
		{"explain unknown parameter", "GET", PathExplain + "?service=a&rank=b", "", nil, 400, "unknown parameter"},
		{"explain bad query", "GET", PathExplain + "?service=%zz", "", nil, 400, "bad_request"},
		{"explain unknown class", "GET", PathExplain + "?service=a", "", errkind.New(errkind.UnknownClass, ""), 404, "unknown_class"},
		{"health", "GET", PathHealth, "", errors.New("not ready"), 200, "true"},
		{"ready", "GET", PathReady, "", nil, 200, "true"},
		{"not ready", "GET", PathReady, "", errkind.New(errkind.ShuttingDown, "draining"), 503, "draining"},
		{"not ready with an error kind of status 404", "GET", PathReady, "", errkind.New(errkind.UnknownClass, ""), 503, "unknown_class"},
		{"switch-over", "POST", PathSwitchOver, `{"group":"g1"}`, nil, 200, "begun"},
		{"switch-over without a group", "POST", PathSwitchOver, `{}`, nil, 400, "group: missing"},
		{"metrics", "GET", PathMetrics, "", nil, 200, "metrics"},
		{"unknown path", "GET", "/v2/x", "", nil, 404, "no such path"},
		{"wrong method", "GET", PathDocuments, "", nil, 404, "no such path or method"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, body := serve(&fakeBackend{err: c.err}, c.method, c.path, c.body)
			assert.Equal(t, code, c.code, body)
			assert.Assert(t, strings.Contains(body, c.want), body)
		})
	}
}

func TestEveryKindHasAnHTTPStatus(t *testing.T) {
	for _, k := range errkind.All() {
		code, ok := statusOf[k]
		assert.Assert(t, ok && code >= 400, k.String())
	}
	assert.Equal(t, len(statusOf), len(errkind.All()))
}

func TestDecodeAnnouncementIsStrict(t *testing.T) {
	a, err := DecodeAnnouncement([]byte(goodAnnouncement))
	assert.NilError(t, err)
	assert.Equal(t, a.Position, ^table.Position(0))
	assert.Assert(t, a.Leaving)
	_, err = DecodeAnnouncement([]byte(strings.Replace(goodAnnouncement, `,"leaving":true`, ``, 1)))
	assert.NilError(t, err)
	for _, c := range []struct{ old, changed, want string }{
		{goodAnnouncement, ``, "JSON object"},
		{goodAnnouncement, `[]`, "JSON object"},
		{goodAnnouncement, goodAnnouncement + `{}`, "nothing after"},
		{goodAnnouncement, goodAnnouncement[:40], "unexpected EOF"},
		{`"leaving"`, `"colour"`, `unknown field "colour"`},
		{`"leaving"`, `"LEAVING"`, `unknown field "LEAVING"`},
		{`"leaving":true`, `"term":4`, `"term" stands twice`},
		{`"term":3,`, ``, `"term" is missing`},
		{`"term":3`, `"term":-1`, "cannot unmarshal"},
		{`"term":3`, `"term":null`, "expected text"},
		{`"term":3`, `"term":[3]`, "expected text"},
		{`"slots":2`, `"slots":0`, "slots: found 0"},
		{`"slots":2`, `"slots":1.5`, "cannot unmarshal"},
		{`"connections":15`, `"connections":100001`, "connections: found 100001"},
		{`"slots":2`, `"slots":10001`, "slots: found 10001"},
		{`"slots":2`, `"slots":1e400`, "cannot unmarshal"},
		{`"connections":15`, `"connections":0`, "connections: found 0"},
		{`"leaving":true`, `"born":18446744073709551615`, "born: found 18446744073709551615"},
		{`"leaving":true`, `"sequence":18446744073709551615`, "sequence: found 18446744073709551615"},
		{`"leaving":true`, `"gone":true,"born":18446744073709551616`, "cannot unmarshal"},
		{`"term":3`, `"term":` + strings.Repeat("[", 20_000), "expected text"},
		{`10.0.0.1:5432`, `10.0.0.1:65536`, "address"},
		{`10.0.0.1:5432`, `10.0.0.1:05432`, "address"},
		{`10.0.0.1:5432`, `255.255.255.255:5432`, "address"},
		{`10.0.0.1:5432`, `db.example:5432`, "address"},
		{`10.0.0.1:5432`, `10.0.0.1:0`, "address"},
		{`10.0.0.1:5432`, `0.0.0.0:5432`, "address"},
		{`10.0.0.1:5432`, `224.0.0.1:5432`, "address"},
		{`"primary"`, `"leader"`, "role"},
		{`"g1"`, `""`, "group"},
		{`"g1-a"`, `"G 1"`, "instance"},
		{`"d1"`, `"../d"`, "failure_domain"},
	} {
		src := strings.Replace(goodAnnouncement, c.old, c.changed, 1)
		_, err := DecodeAnnouncement([]byte(src))
		assert.Assert(t, errkind.Is(err, errkind.BadRequest), src)
		assert.Assert(t, strings.Contains(err.Error(), c.want), "%v", err)
	}
}

func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(goodAnnouncement))
	f.Add([]byte(`{"group":{}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := DecodeAnnouncement(body)
		if err != nil {
			assert.Assert(t, errkind.Is(err, errkind.BadRequest))
			return
		}
		encoded, err := json.Marshal(a)
		assert.NilError(t, err)
		b, err := DecodeAnnouncement(encoded)
		assert.NilError(t, err)
		assert.Equal(t, a, b)
	})
}

func TestClientAgainstServer(t *testing.T) {
	f := &fakeBackend{}
	server := httptest.NewServer(NewHandler(f, http.NotFoundHandler(), AccessControl{}))
	defer server.Close()
	ctx, client := t.Context(), NewClient(server.Listener.Addr().String(), DefaultClientTimeout)

	var want dbedge.Announcement
	assert.NilError(t, json.Unmarshal([]byte(goodAnnouncement), &want))
	reply, err := client.Announce(ctx, want)
	assert.NilError(t, err)
	assert.Equal(t, reply.IntervalMillis, int64(500))
	assert.Equal(t, f.announce, want)

	applied, err := client.Apply(ctx, []byte(goodDocument))
	assert.NilError(t, err)
	assert.Equal(t, applied.Digest, config.DocumentDigest([]byte(goodDocument)))
	assert.Equal(t, applied.Result, Accepted)
	assert.Equal(t, f.doc.Service, "shop")
	assert.Assert(t, bytes.Equal(f.applied, []byte(goodDocument)))

	status, err := client.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Leader, table.HostID("h2"))

	q := ExplainQuery{Service: "shop", Class: "look", Key: "a&b=c"}
	explanation, err := client.Explain(ctx, q)
	assert.NilError(t, err)
	assert.Equal(t, f.query, q)
	assert.Equal(t, explanation.Key, q.Key)

	f.err = NewConflict("shop", DocumentVersion{Version: 9, Digest: "bb"})
	_, err = client.Apply(ctx, []byte(goodDocument))
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.Equal(t, remote.Status, http.StatusConflict)
	assert.Equal(t, *remote.Body.InForce, DocumentVersion{Version: 9, Digest: "bb"})
}

func TestClientReportsUnreachableHosts(t *testing.T) {
	garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "no json")
	}))
	defer garbage.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	for name, host := range map[string]string{
		"garbage": garbage.Listener.Addr().String(),
		"silent":  silent.Addr().String(),
		"closed":  closed.Addr().String(),
		"address": "no address at all",
	} {
		_, err := NewClient(host, 50*time.Millisecond).Status(t.Context())
		var unreachable *UnreachableError
		assert.Assert(t, errors.As(err, &unreachable), "%s: %v", name, err)
		assert.Equal(t, unreachable.Host, host)
	}
}

func TestEndpointEndsTheContextOfASlowBackend(t *testing.T) {
	f := &fakeBackend{block: true}
	h := &handler{backend: f}
	w := httptest.NewRecorder()
	endpoint(time.Millisecond, h.status).ServeHTTP(w, httptest.NewRequest("GET", PathStatus, nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(w.Body.String(), `"cancelled"`))
}

func TestNewServerHasLimits(t *testing.T) {
	s := NewServer(http.NotFoundHandler())
	assert.Assert(t, s.ReadHeaderTimeout > 0 && s.ReadTimeout > 0 && s.IdleTimeout > 0 && s.MaxHeaderBytes > 0)
	assert.Assert(t, s.WriteTimeout > ApplyTimeout)
}
