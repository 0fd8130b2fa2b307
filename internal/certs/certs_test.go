package certs_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/certs"
	"github.com/amaranthweir/amaranthweir/internal/certs/certtest"
)

// handshake returns the certificate serial that the client saw, and the first
// error of either side.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	far, err := ln.Accept()
	assert.NilError(t, err)
	defer near.Close()
	defer far.Close()
	s, c := tls.Server(far, server), tls.Client(near, client)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		_ = far.Close()
		done <- err
	}()
	err = c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	_ = near.Close()
	if serverErr := <-done; serverErr != nil {
		err = serverErr
	}
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func loader(t *testing.T, f certs.Files, now *time.Duration) (*certs.Loader, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.TraceLevel)
	l, err := certs.NewLoader(f, func() time.Duration { return *now }, log)
	assert.NilError(t, err)
	return l, hook
}

func TestBothSidesVerify(t *testing.T) {
	ours, theirs := certtest.NewCA(t), certtest.NewCA(t)
	var now time.Duration
	a, b, stranger := ours.Issue(t, "a"), ours.Issue(t, "b"), theirs.Issue(t, "a")
	trusting := stranger
	trusting.CA = ours.File // a stranger that trusts us
	noCertificate := certs.Files{CA: ours.File}
	for name, c := range map[string]struct {
		server, client certs.Files
		ok             bool
	}{
		"same CA":                {a, b, true},
		"client of another CA":   {a, trusting, false},
		"server of another CA":   {trusting, b, false},
		"client without one":     {a, noCertificate, false},
		"client without a CA":    {a, certs.Files{Certificate: b.Certificate, Key: b.Key}, false},
		"both of another CA: ok": {stranger, stranger, true},
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := loader(t, c.server, &now)
			client, _ := loader(t, c.client, &now)
			_, err := handshake(t, server.MutualServer(), client.Client())
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}

func TestFilesAreLoadedAgain(t *testing.T) {
	ca := certtest.NewCA(t)
	var now time.Duration
	files := ca.Issue(t, "a")
	l, hook := loader(t, files, &now)
	client, _ := loader(t, ca.Issue(t, "b"), &now)
	seen := func() int64 {
		now += 2 * time.Second
		serial, err := handshake(t, l.MutualServer(), client.Client())
		assert.NilError(t, err)
		return serial
	}
	first := seen()
	// A half-written certificate changes nothing and is logged once.
	good, err := os.ReadFile(files.Certificate)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Certificate, good[:len(good)/2], 0o600))
	assert.Equal(t, seen(), first)
	assert.Equal(t, seen(), first)
	assert.Equal(t, len(hook.AllEntries()), 1)
	assert.Equal(t, hook.LastEntry().Level, logrus.ErrorLevel)
	ca.Issue(t, "a")
	later := time.Now().Add(time.Minute) // whatever the resolution of the file system
	assert.NilError(t, os.Chtimes(files.Certificate, later, later))
	assert.Assert(t, seen() != first, "the new certificate is not in use")
	// The CA is replaced: the old certificates are refused.
	src, err := os.ReadFile(certtest.NewCA(t).File)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.CA, src, 0o600))
	assert.NilError(t, os.Chtimes(files.CA, later, later))
	now += 2 * time.Second
	_, err = handshake(t, l.MutualServer(), client.Client())
	assert.Assert(t, err != nil)
}

func TestFilesAreLookedAtOnceAnInterval(t *testing.T) {
	ca := certtest.NewCA(t)
	var now time.Duration
	files := ca.Issue(t, "a")
	l, hook := loader(t, files, &now)
	assert.NilError(t, os.Remove(files.Certificate))
	for range 3 {
		_, err := l.Server().GetCertificate(nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(hook.AllEntries()), 0)
}

func TestReadSecret(t *testing.T) {
	name := filepath.Join(t.TempDir(), "secret")
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
		err  string
	}{
		{"pencil\n", 0o600, "pencil", ""},
		{"pen cil", 0o400, "pen cil", ""},
		{"pencil", 0o640, "", "mode 0640"},
		{"pencil", 0o604, "", "mode 0604"},
		{"\n", 0o600, "", "found nothing"},
		{string(make([]byte, 5<<10)), 0o600, "", "at most 4096 bytes"},
	} {
		_ = os.Remove(name)
		assert.NilError(t, os.WriteFile(name, []byte(c.text), 0o600))
		assert.NilError(t, os.Chmod(name, c.mode))
		got, err := certs.ReadSecret(name)
		assert.Equal(t, got, c.want)
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			assert.Assert(t, !strings.Contains(err.Error(), "pencil"))
		}
	}
}
