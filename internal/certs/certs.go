// Package certs loads certificates from files and reloads them when the files
// change, so that no restart is needed. It provides the TLS configurations for
// callers, operators, upstreams and other hosts.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// checkInterval is the minimum time between two checks of the files.
	checkInterval = time.Second
	// maxFileBytes is the maximum size of a file with certificates or a key.
	maxFileBytes = 1 << 20
	// maxSecretBytes is the maximum size of a file with a password or a token.
	maxSecretBytes = 4 << 10
	// groupAndOtherPerm are the permission bits that a file with a secret must not
	// have.
	groupAndOtherPerm = 0o077
)

// Files names the files that a Loader loads. The certificate with its key may be
// empty, and so may the CA.
type Files struct {
	Certificate string
	Key         string // private key of Certificate
	CA          string // certificates that the peer is verified against
}

// loadedFiles holds the parsed contents of the files and the file states from which
// they were loaded.
type loadedFiles struct {
	pair   *tls.Certificate
	pool   *x509.CertPool
	states [3]fileState
}

// fileState is the size and modification time of a file, used to detect changes.
type fileState struct {
	size     int64
	modified time.Time
}

// Loader loads certificates and reloads them when their files change. It is safe
// for concurrent use.
type Loader struct {
	files Files
	log   logrus.FieldLogger
	clock func() time.Duration

	mu        sync.Mutex
	current   loadedFiles
	lastTried [3]fileState  // file states at the last load attempt
	nextCheck time.Duration // clock time of the next check of the files
}

// NewLoader loads the files and returns a Loader for them. The clock must be
// monotonic.
func NewLoader(f Files, clock func() time.Duration, log logrus.FieldLogger) (*Loader, error) {
	l := &Loader{files: f, log: log, clock: clock, nextCheck: clock() + checkInterval}
	l.lastTried = l.statFiles()
	var err error
	l.current, err = l.load(l.lastTried)
	return l, err
}

// statFiles returns the state of each file. A missing file has the zero state.
func (l *Loader) statFiles() (states [3]fileState) {
	for i, name := range []string{l.files.Certificate, l.files.Key, l.files.CA} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			states[i] = fileState{info.Size(), info.ModTime()}
		}
	}
	return states
}

// load reads and parses the files.
func (l *Loader) load(states [3]fileState) (loadedFiles, error) {
	out := loadedFiles{states: states}
	if l.files.Certificate != "" {
		certificate, err := readBounded(l.files.Certificate, maxFileBytes)
		if err != nil {
			return out, err
		}
		key, err := readBounded(l.files.Key, maxFileBytes)
		if err != nil {
			return out, err
		}
		pair, err := tls.X509KeyPair(certificate, key)
		if err != nil {
			return out, fmt.Errorf("%s: %w", l.files.Certificate, err)
		}
		out.pair = &pair
	}
	if l.files.CA != "" {
		src, err := readBounded(l.files.CA, maxFileBytes)
		if err != nil {
			return out, err
		}
		out.pool = x509.NewCertPool()
		if !out.pool.AppendCertsFromPEM(src) {
			return out, fmt.Errorf("%s: no certificate found", l.files.CA)
		}
	}
	return out, nil
}

// latest returns the current contents of the files, and reloads changed files at
// most once per checkInterval. If changed files cannot be loaded, the error is
// logged once per change and the previous contents stay in use.
func (l *Loader) latest() loadedFiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if now < l.nextCheck {
		return l.current
	}
	l.nextCheck = now + checkInterval
	states := l.statFiles()
	if states == l.lastTried {
		return l.current
	}
	l.lastTried = states
	log := l.log.WithFields(logrus.Fields{"certificate": l.files.Certificate, "ca": l.files.CA})
	next, err := l.load(states)
	if err != nil {
		log.WithError(err).Error("failed to reload certificates, keeping the previous ones")
		return l.current
	}
	l.current = next
	log.Info("certificates reloaded")
	return l.current
}

// Server returns the TLS configuration of a listener that requests no client
// certificates.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.latest().pair, nil
		},
	}
}

// MutualServer returns the TLS configuration of a listener that requires a client
// certificate issued by the CA.
func (l *Loader) MutualServer() *tls.Config {
	c := l.Server()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAnyClientCert // verified below, against the current CA
	c.VerifyConnection = l.verify(x509.ExtKeyUsageClientAuth)
	c.SessionTicketsDisabled = true
	return c
}

// Client returns the TLS configuration of a client that requires a server
// certificate issued by the CA. Names are not verified, because addresses are IP
// numbers that the peer announced itself. The client sends its own certificate if
// the server requests one.
func (l *Loader) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, // verified below, without a name
		VerifyConnection:   l.verify(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := l.latest().pair; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

// errNoCertificate is returned if the peer sent no certificate.
var errNoCertificate = errors.New("the peer sent no certificate")

// verify returns a function that verifies the peer's certificate chain against the
// current CA, for the given key usage.
func (l *Loader) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errNoCertificate
		}
		options := x509.VerifyOptions{
			Roots:         l.latest().pool,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		if options.Roots == nil {
			options.Roots = x509.NewCertPool() // a nil pool would mean the system's roots; trust no one instead
		}
		for _, c := range s.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(options)
		return err
	}
}

// readBounded reads a regular file of at most limit bytes.
func readBounded(name string, limit int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > limit {
		return nil, fmt.Errorf("%s: expected a file of at most %d bytes", name, limit)
	}
	return os.ReadFile(name)
}

// ReadSecret reads a password or a token from a file that must be accessible only
// to its owner. Trailing line breaks are not part of the secret.
func ReadSecret(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&groupAndOtherPerm != 0 {
		return "", fmt.Errorf("%s: mode %04o, expected 0600 or less", name, info.Mode().Perm())
	}
	raw, err := readBounded(name, maxSecretBytes)
	if err != nil {
		return "", err
	}
	secret := strings.TrimRight(string(raw), "\r\n")
	if secret == "" {
		return "", fmt.Errorf("%s: expected a secret, found nothing", name)
	}
	return secret, nil
}
