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
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/certs"
	"github.com/amaranthweir/amaranthweir/internal/certs/certtest"
)

// handshake performs a TLS handshake and returns the serial number of the server
// certificate. If both sides fail, it returns the error of the server.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	clientConn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	serverConn, err := ln.Accept()
	assert.NilError(t, err)
	defer clientConn.Close()
	defer serverConn.Close()
	s, c := tls.Server(serverConn, server), tls.Client(clientConn, client)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		_ = serverConn.Close()
		done <- err
	}()
	err = c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	if serverErr := <-done; serverErr != nil {
		err = serverErr
	}
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func newLoader(t *testing.T, f certs.Files, now *time.Duration) (*certs.Loader, *logrustest.Hook) {
	t.Helper()
	log, hook := logrustest.NewNullLogger()
	log.SetLevel(logrus.TraceLevel)
	l, err := certs.NewLoader(f, func() time.Duration { return *now }, log)
	assert.NilError(t, err)
	return l, hook
}

func TestBothSidesVerify(t *testing.T) {
	ca, otherCA := certtest.NewCA(t), certtest.NewCA(t)
	var now time.Duration
	a, b, foreign := ca.Issue(t, "a"), ca.Issue(t, "b"), otherCA.Issue(t, "a")
	foreignTrustingCA := foreign
	foreignTrustingCA.CA = ca.File // certificate of otherCA, but verifies peers against ca
	noCertificate := certs.Files{CA: ca.File}
	for name, c := range map[string]struct {
		server, client certs.Files
		ok             bool
	}{
		"same CA":                      {a, b, true},
		"client of another CA":         {a, foreignTrustingCA, false},
		"server of another CA":         {foreignTrustingCA, b, false},
		"client without a certificate": {a, noCertificate, false},
		"client without a CA":          {a, certs.Files{Certificate: b.Certificate, Key: b.Key}, false},
		"both of another CA":           {foreign, foreign, true},
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := newLoader(t, c.server, &now)
			client, _ := newLoader(t, c.client, &now)
			_, err := handshake(t, server.MutualServer(), client.Client())
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}

func TestFilesAreLoadedAgain(t *testing.T) {
	ca := certtest.NewCA(t)
	var now time.Duration
	files := ca.Issue(t, "a")
	l, hook := newLoader(t, files, &now)
	client, _ := newLoader(t, ca.Issue(t, "b"), &now)
	serverSerial := func() int64 {
		now += 2 * time.Second
		serial, err := handshake(t, l.MutualServer(), client.Client())
		assert.NilError(t, err)
		return serial
	}
	first := serverSerial()
	// A partially written certificate is not used, and is logged once.
	good, err := os.ReadFile(files.Certificate)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Certificate, good[:len(good)/2], 0o600))
	assert.Equal(t, serverSerial(), first)
	assert.Equal(t, serverSerial(), first)
	assert.Equal(t, len(hook.AllEntries()), 1)
	assert.Equal(t, hook.LastEntry().Level, logrus.ErrorLevel)
	ca.Issue(t, "a")
	later := time.Now().Add(time.Minute) // differs at any timestamp resolution of the file system
	assert.NilError(t, os.Chtimes(files.Certificate, later, later))
	assert.Assert(t, serverSerial() != first, "the new certificate is not in use")
	// After the CA is replaced, certificates of the previous CA are rejected.
	src, err := os.ReadFile(certtest.NewCA(t).File)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.CA, src, 0o600))
	assert.NilError(t, os.Chtimes(files.CA, later, later))
	now += 2 * time.Second
	_, err = handshake(t, l.MutualServer(), client.Client())
	assert.Assert(t, err != nil)
}

func TestFilesAreCheckedOncePerInterval(t *testing.T) {
	ca := certtest.NewCA(t)
	var now time.Duration
	files := ca.Issue(t, "a")
	l, hook := newLoader(t, files, &now)
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
