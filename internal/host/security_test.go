package host

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/certs"
	"github.com/amaranthweir/amaranthweir/internal/certs/certtest"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/logtest"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// waitTimeout limits every wait in the tests. No test measures time with it.
	waitTimeout = 20 * time.Second

	// The secrets of the tests. None of them may appear in a log line or an
	// error.
	callerPassword   = "caller-pencil"
	upstreamPassword = "upstream-pencil"
	operatorToken    = "operator-pencil"
	announceToken    = "announce-pencil"
)

// deployment is a control host h1 and a host h2 with TLS, logins and tokens on
// all connections.
type deployment struct {
	t     *testing.T
	ca    *certtest.CA
	hosts []*config.Settings
	log   logtest.Buffer
}

func startProtectedDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, ca: certtest.NewCA(t)}
	control := porttest.Free(t, 1)[0]
	for _, name := range []string{"h1", "h2"} {
		peerAddress := control
		if name != "h1" {
			peerAddress = porttest.Free(t, 1)[0]
		}
		s := d.settings(name, peerAddress, control)
		h, err := New(s)
		assert.NilError(t, err)
		h.log.SetOutput(&d.log)
		h.log.SetLevel(logrus.TraceLevel)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			assert.NilError(t, <-done)
			for _, secret := range []string{callerPassword, upstreamPassword, operatorToken, announceToken} {
				assert.Assert(t, !strings.Contains(d.log.String(), secret), "the log contains a secret")
			}
			if t.Failed() {
				t.Log(d.log.String())
			}
		})
		d.hosts = append(d.hosts, s)
	}
	return d
}

// settings returns the settings of a host, parsed from a settings file.
func (d *deployment) settings(name, peerAddress, control string) *config.Settings {
	verifier, err := auth.HashPassword(callerPassword)
	assert.NilError(d.t, err)
	hash := func(token string) string { h := auth.HashToken(token); return hex.EncodeToString(h[:]) }
	f := d.ca.Issue(d.t, name)
	password := filepath.Join(d.t.TempDir(), "password")
	assert.NilError(d.t, os.WriteFile(password, []byte(upstreamPassword), 0o600))
	m := map[string]any{
		"host": name, "failure_domain": "coventry", "caller_address": porttest.Free(d.t, 1)[0], "peer_address": peerAddress,
		"http_address": porttest.Free(d.t, 1)[0], "join": []string{control}, "require_tls": true,
		"tls_certificate": f.Certificate, "tls_key": f.Key,
		"users":                 []any{map[string]string{"name": "ann", "scram": verifier.Text()}},
		"upstream":              map[string]string{"password_file": password, "ca": f.CA},
		"peer_tls":              map[string]string{"certificate": f.Certificate, "key": f.Key, "ca": f.CA},
		"operators":             []any{map[string]string{"name": "alex", "token_sha256": hash(operatorToken)}},
		"announce_token_sha256": hash(announceToken),
	}
	if name == "h1" {
		m["control"] = map[string]any{
			"data_folder": d.t.TempDir(), "voters": []any{map[string]string{"host": "h1", "peer_address": peerAddress}},
		}
	}
	src, err := json.Marshal(m)
	assert.NilError(d.t, err)
	s, err := config.ParseSettings(name, src)
	assert.NilError(d.t, err)
	return s
}

func (d *deployment) loader(f certs.Files) *certs.Loader {
	l, err := certs.NewLoader(f, func() time.Duration { return 0 }, logrus.New())
	assert.NilError(d.t, err)
	return l
}

// client returns an HTTP client for h2 that sends a token.
func (d *deployment) client(token string) *api.Client {
	c := api.NewClient(d.hosts[1].HTTPAddress, waitTimeout)
	c.UseToken(token)
	c.UseTLS(d.loader(certs.Files{CA: d.ca.File}).Client())
	return c
}

const testDocument = `{
  "service": "shop", "version": 1, "groups": [{"name": "g1"}],
  "classes": [{"name": "look", "access": "read", "group": "g1"}], "default_class": "look",
}`

// apply applies the test document until it is in force at h2.
func (d *deployment) apply() {
	c := d.client(operatorToken)
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if _, err := c.Apply(d.t.Context(), []byte(testDocument)); err != nil {
			return poll.Continue("apply: %v", err)
		}
		s, err := c.Status(d.t.Context())
		if err != nil || len(s.Documents) != 1 || !s.Ready || len(s.Hosts) != 2 {
			return poll.Continue("status: %v %+v", err, s)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(30*time.Millisecond))
}

func (d *deployment) connect(user, password, ssl string) error {
	ctx, stop := context.WithTimeout(d.t.Context(), waitTimeout)
	defer stop()
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(user, password), Host: d.hosts[1].CallerAddress, Path: "/shop",
		RawQuery: url.Values{"sslmode": {ssl}, "sslrootcert": {d.ca.File}}.Encode(),
	}
	conn, err := pgx.Connect(ctx, u.String())
	if err == nil {
		err = conn.Close(ctx)
	}
	return err
}

func TestProtectedDeployment(t *testing.T) {
	d := startProtectedDeployment(t)
	d.apply() // succeeds only if mutual TLS between the hosts works
	assert.Assert(t, !strings.Contains(d.log.String(), "not protected"), "a protected host logs that something is not protected")
	t.Run("callers", d.testCallers)
	t.Run("operators", d.testOperators)
	t.Run("hosts", d.testHosts)
}

func (d *deployment) testCallers(t *testing.T) {
	assert.NilError(t, d.connect("ann", callerPassword, "verify-ca"))
	assert.NilError(t, d.connect("ann", callerPassword, "verify-full"))
	wrong, unknown := d.connect("ann", "x", "verify-ca"), d.connect("bob", callerPassword, "verify-ca")
	var first *pgconn.PgError
	assert.Assert(t, errors.As(wrong, &first), "%v", wrong)
	for name, err := range map[string]error{"ann": wrong, "bob": unknown} {
		var refused *pgconn.PgError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Code, "28P01")
		assert.Equal(t, refused.Message, strings.ReplaceAll(first.Message, `"ann"`, fmt.Sprintf("%q", name)))
	}
	assert.ErrorContains(t, d.connect("ann", callerPassword, "disable"), "requires TLS")
	otherCA := &deployment{t: t, ca: certtest.NewCA(t), hosts: d.hosts}
	assert.ErrorContains(t, otherCA.connect("ann", callerPassword, "verify-ca"), "certificate")
}

func (d *deployment) testOperators(t *testing.T) {
	assert.Assert(t, strings.Contains(d.log.String(), `"msg":"audit: apply","operator":"alex"`), "no operator in the audit line")
	assert.Assert(t, strings.Contains(d.log.String(), `"msg":"put document: accepted","operator":"alex"`), "no operator in the committed command")
	a := dbedge.Announcement{Group: "g1", Instance: "g1-a", Address: "127.0.0.1:1", Domain: "coventry", Role: "replica", Term: 1, Slots: 1, Connections: 3}
	for _, c := range []struct {
		token              string
		operator, announce bool
	}{
		{operatorToken, true, false},
		{announceToken, false, true},
		{"", false, false},
		{operatorToken + "x", false, false},
	} {
		client := d.client(c.token)
		_, err := client.Status(t.Context())
		assert.Equal(t, err == nil, c.operator, "%v", err)
		_, err = client.Explain(t.Context(), api.ExplainQuery{Service: "shop"})
		assert.Equal(t, err == nil, c.operator, "%v", err)
		_, err = client.Apply(t.Context(), []byte(testDocument))
		assert.Equal(t, err == nil, c.operator, "%v", err)
		_, err = client.SwitchOver(t.Context(), api.SwitchOver{Group: "g1"})
		assert.Equal(t, err != nil && strings.Contains(err.Error(), "unauthenticated"), !c.operator, "%v", err)
		_, err = client.Announce(t.Context(), a)
		assert.Equal(t, err == nil, c.announce, "%v", err)
	}
	plain := api.NewClient(d.hosts[1].HTTPAddress, waitTimeout)
	_, err := plain.Status(t.Context())
	assert.Assert(t, err != nil, "plain text was served")
}

// testHosts checks that a host cannot send messages in the name of another host,
// even with a valid certificate of its own, and that hosts without a certificate
// of the deployment's CA are refused.
func (d *deployment) testHosts(t *testing.T) {
	control := d.hosts[0].PeerAddress
	sendHeartbeat := func(dial peer.DialFunc, peerAddress string) error {
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		return peer.Call(ctx, dial, control, methodHeartbeat, heartbeat{Host: "h9", Domain: "coventry", PeerAddress: peerAddress}, &heartbeatReply{})
	}
	own := peer.DialTLS(d.loader(d.ca.Issue(t, "h9")).Client())
	assert.NilError(t, sendHeartbeat(own, "127.0.0.1:9"))
	other := peer.DialTLS(d.loader(d.ca.Issue(t, "h8")).Client())
	err := sendHeartbeat(other, "127.0.0.1:9")
	assert.Assert(t, errkind.Is(err, errkind.Unauthenticated), "%v", err)
	foreign := certtest.NewCA(t).Issue(t, "h9")
	foreign.CA = d.ca.File
	assert.Assert(t, sendHeartbeat(peer.DialTLS(d.loader(foreign).Client()), "127.0.0.1:9") != nil, "a certificate of another CA was accepted")
	assert.Assert(t, sendHeartbeat(nil, "127.0.0.1:9") != nil, "plain text was served")
	r := peer.NewRemote(control, peer.DefaultTiming(), other)
	defer r.Close()
	q := &request.Request{Session: request.SessionID{Host: "h2"}, Instance: "g1-a", Deadline: time.Now().Add(waitTimeout)}
	_, err = r.Execute(t.Context(), q, nil)
	assert.Assert(t, errkind.Is(err, errkind.Unauthenticated), "%v", err)
	d.testConsensus(t, other)
}

// testConsensus checks that a consensus message in the name of another host is
// refused.
func (d *deployment) testConsensus(t *testing.T, dial peer.DialFunc) {
	m := consensus.Message{From: consensus.NodeID{Host: "h1"}, To: consensus.NodeID{Host: "h1"}}
	frame, err := m.AppendBinary([]byte{1})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s := peer.NewSender(ctx, func(host table.HostID) string { return map[table.HostID]string{"h1": d.hosts[0].PeerAddress}[host] }, peer.DefaultTiming(), dial)
	s.Send("h1", frame)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(d.log.String(), `the certificate does not name the host \"h1\"`) {
			return poll.Success()
		}
		return poll.Continue("the message was not refused")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}
