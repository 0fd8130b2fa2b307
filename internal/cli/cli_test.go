package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// fakeHost is a backend with fixed replies. Every call also returns err.
type fakeHost struct {
	err   error
	token string // token of the only operator; if empty, anyone is admitted
}

func (f *fakeHost) Announce(context.Context, dbedge.Announcement) (dbedge.AnnounceReply, error) {
	return dbedge.AnnounceReply{}, f.err
}

func (f *fakeHost) Apply(_ context.Context, doc *config.Document, src []byte) (api.ApplyReply, error) {
	v := api.DocumentVersion{Version: doc.Version, Digest: config.DocumentDigest(src)}
	return api.ApplyReply{Service: doc.Service, DocumentVersion: v, Result: api.Accepted}, f.err
}

func (f *fakeHost) Status(context.Context) (api.Status, error) {
	v := api.DocumentVersion{Version: 3, Digest: "0123456789abcdef"}
	return api.Status{
		Host: "h1", Domain: "waco-a", Ready: true, ControlRevision: 9,
		Documents: []api.DocumentStatus{{Service: "shop", DocumentVersion: v, InForce: []api.HostVersion{{Host: "h1", Version: 3}, {Host: "h2", Version: 2}}}},
		Hosts:     []api.HostStatus{{Host: "h2", State: api.StateName(table.HostSuspect)}},
		Groups:    []api.GroupStatus{{Group: "g1", Term: 4, Phase: api.PhaseName(table.PhasePromoting), WaitsFor: "the lease of h2"}},
		Instances: []api.InstanceStatus{{Instance: "g1-a", Role: "primary", Owner: "h2", AgeMillis: 1500}},
	}, f.err
}

func (f *fakeHost) Explain(_ context.Context, q api.ExplainQuery) (api.Explanation, error) {
	age := int64(120)
	e := api.Explanation{
		Service: q.Service, Class: "look", Rank: "normal", Access: "read", Key: q.Key, Chosen: "g1-b", Owner: "h1", Reason: "replica is fresh enough",
		Candidates: []api.Candidate{{Instance: "g1-b", ProvenAgeMillis: &age, Usable: true}, {Instance: "g1-c", Reason: "too old"}},
	}
	if q.Key == "none" {
		e.Chosen, e.Refusal, e.Reason = "", errkind.NoPrimary.String(), "waits for a promotion"
	}
	return e, f.err
}

func (f *fakeHost) Ready(context.Context) error { return f.err }

func (f *fakeHost) SwitchOver(context.Context, api.SwitchOver) error { return f.err }

// access returns an Access that requires the operator's token, if the fake host
// has one.
func (f *fakeHost) access() api.AccessControl {
	if f == nil || f.token == "" {
		return api.AccessControl{}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return api.AccessControl{Operators: []auth.Operator{{Name: "alex", Token: auth.HashToken(f.token)}}, Log: log}
}

func TestOperatorToken(t *testing.T) {
	file := writeFile(t, "secret\n")
	args := func(flags ...string) []string { return append([]string{"status", "--host", "HOST"}, flags...) }
	code, _, errOut := run(t, &fakeHost{token: "secret"}, nil, args()...)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errOut, "unauthenticated"), errOut)
	code, _, errOut = run(t, &fakeHost{token: "secret"}, nil, args("--token-file", file)...)
	assert.Equal(t, code, ExitOK, errOut)
	assert.NilError(t, os.Chmod(file, 0o644))
	code, _, errOut = run(t, &fakeHost{token: "secret"}, nil, args("--token-file", file)...)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errOut, "0644") && !strings.Contains(errOut, "secret"), errOut)
	t.Setenv("AMARANTHWEIR_TOKEN", "secret")
	code, _, errOut = run(t, &fakeHost{token: "secret"}, nil, args()...)
	assert.Equal(t, code, ExitOK, errOut)
}

func TestHashPassword(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, (&hashPasswordCommand{}).Run(&environment{in: strings.NewReader("pencil\n"), out: &out}))
	_, err := auth.ParseVerifier(strings.TrimSpace(out.String()))
	assert.NilError(t, err)
	assert.Assert(t, (&hashPasswordCommand{}).Run(&environment{in: strings.NewReader("\n"), out: &out}) != nil)
}

// run executes one command line against a server of the fake host. HOST in an
// argument stands for the server's address.
func run(t *testing.T, f *fakeHost, serve ServeFunc, args ...string) (code int, out, errOut string) {
	t.Helper()
	server := httptest.NewServer(api.NewHandler(f, http.NotFoundHandler(), f.access()))
	defer server.Close()
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "HOST", server.Listener.Addr().String())
	}
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e, serve, nil)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCommands(t *testing.T) {
	const (
		document = "../../examples/ledger.jsonc"
		settings = "../../examples/host.jsonc"
	)
	bad := writeFile(t, `{"service": "shop", "version": 0, "colour": 1}`)
	badSettings := writeFile(t, `{"host": "H"}`)
	neither := writeFile(t, `{}`)
	truncated := writeFile(t, `{"service": `)
	conflict := api.NewConflict("ledger", api.DocumentVersion{Version: 5, Digest: "abc"})
	const closed = "127.0.0.1:1"
	for _, c := range []struct {
		args   string
		err    error
		code   int
		out    string // part of the output
		errOut string // part of the error output
	}{
		{"--help", nil, ExitOK, "Exit codes: 0 done", ""},
		{"apply --help", nil, ExitOK, "AMARANTHWEIR_HOST", ""},
		{"version", nil, ExitOK, Version, ""},
		{"version --output json", nil, ExitOK, `"version": "` + Version + `"`, ""},
		{"", nil, ExitUsage, "", "See amaranthweir --help"},
		{"launch", nil, ExitUsage, "", "launch"},
		{"version --output xml", nil, ExitUsage, "", "--output"},
		{"check", nil, ExitUsage, "", "file"},
		{"serve", nil, ExitUsage, "", "--settings"},
		{"status", nil, ExitUsage, "", "--host"},
		{"status --host db.example:1", nil, ExitUsage, "", "expected ip:port"},
		{"status --host HOST --timeout 0s", nil, ExitUsage, "", "more than zero"},
		{"check " + document, nil, ExitOK, "valid document of service ledger, version 1", ""},
		{"check " + settings, nil, ExitOK, "valid settings of host waco-a-1", ""},
		{"check --output json " + document, nil, ExitOK, `"valid": true`, ""},
		{"check " + bad, nil, ExitInvalid, "", bad + ":1:32: version: found 0"},
		{"check --output json " + bad, nil, ExitInvalid, `"column": 32`, "unknown field"},
		{"check " + badSettings, nil, ExitInvalid, "", `"caller_address" is missing`},
		{"check " + neither, nil, ExitInvalid, "", "found neither"},
		{"check " + truncated, nil, ExitInvalid, "", ":1:13: "},
		{"check /no/such/file", nil, ExitFailed, "", "no such file"},
		{"apply --host HOST " + document, nil, ExitOK, "ledger: version 1 accepted", ""},
		{"apply --host HOST --output json " + document, nil, ExitOK, `"result": "accepted"`, ""},
		{"apply --host HOST " + bad, nil, ExitInvalid, "", "version: found 0"},
		{"apply --host HOST " + document, conflict, ExitConflict, "", "service ledger has version 5 with digest abc in force"},
		{"apply --host HOST --output json " + document, conflict, ExitConflict, `"kind": "config_conflict"`, "version 5"},
		{"apply --host HOST " + document, errkind.Wrap(&config.Problems{Items: []config.Problem{{File: "document", Line: 3, Column: 4, Message: "newer rule"}}}, errkind.ConfigInvalid, ""), ExitInvalid, "", "document:3:4: newer rule"},
		{"apply --host HOST " + document, errkind.New(errkind.NoQuorum, ""), ExitFailed, "", "no_quorum"},
		{"apply --host " + closed + " " + document, nil, ExitUnreachable, "", "gave no answer"},
		{"status --host HOST", nil, ExitOK, "1 of 2 hosts; h2 has 2", ""},
		{"status --host HOST", nil, ExitOK, "the lease of h2", ""},
		{"status --host HOST --output json", nil, ExitOK, `"age_ms": 1500`, ""},
		{"status --host HOST", errors.New("boom"), ExitFailed, "", "HTTP 500"},
		{"explain --host HOST --service shop", nil, ExitOK, "goes to g1-b, owned by h1: replica is fresh enough", ""},
		{"explain --host HOST --service shop --key none", nil, ExitOK, "refused with no_primary: waits for a promotion", ""},
		{"explain --host HOST --service shop --output json", nil, ExitOK, `"proven_age_ms": 120`, ""},
		{"explain --host HOST --service shop", errkind.New(errkind.UnknownClass, ""), ExitFailed, "", "unknown_class"},
		{"explain --host HOST", nil, ExitUsage, "", "--service"},
		{"bench --host HOST " + document, nil, ExitUsage, "", "--entry"},
		{"bench --host HOST --entry " + closed + " " + document, nil, ExitFailed, "", "no group of the document has a primary"},
		{"bench --host HOST --entry " + closed + " --flood x " + document, nil, ExitFailed, "", "expected class=FACTOR@FROM-TO"},
		{"bench --host HOST --entry " + closed + " --rate x=1 " + document, nil, ExitFailed, "", "rate x=1"},
		{"bench --host HOST --entry " + closed + " " + bad, nil, ExitInvalid, "", "version: found 0"},
		{"bench --host HOST --entry " + closed + " --workload " + truncated + " " + document, nil, ExitFailed, "", "line 1"},
	} {
		t.Run(c.args, func(t *testing.T) {
			code, out, errOut := run(t, &fakeHost{err: c.err}, nil, strings.Fields(c.args)...)
			assert.Equal(t, code, c.code, out+errOut)
			assert.Assert(t, strings.Contains(out, c.out), out)
			assert.Assert(t, strings.Contains(errOut, c.errOut), errOut)
			if strings.Contains(c.args, "--output json") {
				assert.Assert(t, json.Valid([]byte(out)), out)
			}
		})
	}
}

func TestHostComesFromTheEnvironment(t *testing.T) {
	t.Setenv("AMARANTHWEIR_HOST", "127.0.0.1:1")
	code, _, errOut := run(t, &fakeHost{}, nil, "status")
	assert.Equal(t, code, ExitUnreachable, errOut)
}

func TestServePassesSettings(t *testing.T) {
	var got *config.Settings
	serve := func(err error) ServeFunc {
		return func(_ context.Context, s *config.Settings) error { got = s; return err }
	}
	code, _, errOut := run(t, nil, serve(nil), "serve", "--settings", "../../examples/host.jsonc")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, got.Host, table.HostID("waco-a-1"))
	assert.Assert(t, strings.Contains(errOut, "development key"))
	code, _, errOut = run(t, nil, serve(errors.New("address in use")), "serve", "--settings", "../../examples/control-host.jsonc")
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, errOut, "amaranthweir: address in use\n")
	code, _, _ = run(t, nil, serve(nil), "serve", "--settings", "../../examples/ledger.jsonc")
	assert.Equal(t, code, ExitInvalid)
}
