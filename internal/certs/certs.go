// Package certs loads certificates from files and loads them again when the
// files change, so that no restart is needed. It makes the TLS settings for
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
	// checkInterval is how often at most the files are looked at.
	checkInterval = time.Second
	// maxFileBytes bounds a file with certificates or a key.
	maxFileBytes = 1 << 20
	// maxSecretBytes bounds a file with a password or a token.
	maxSecretBytes = 4 << 10
	// othersMode are the permissions that a file with a secret must not give.
	othersMode = 0o077
)

// Files names what a Loader loads. Either part may be empty.
type Files struct {
	Certificate string
	Key         string // of Certificate
	CA          string // certificates that the other side is verified against
}

// loaded is what the files held at one time.
type loaded struct {
	pair  *tls.Certificate
	pool  *x509.CertPool
	marks [3]mark
}

// mark tells two states of a file apart.
type mark struct {
	size     int64
	modified time.Time
}

// Loader keeps certificates up to date. It is safe for concurrent use.
type Loader struct {
	files Files
	log   logrus.FieldLogger
	clock func() time.Duration

	mu      sync.Mutex
	current loaded
	tried   [3]mark       // the state that was tried last
	next    time.Duration // when the files are looked at again
}

// NewLoader loads the files. The clock is monotonic.
func NewLoader(f Files, clock func() time.Duration, log logrus.FieldLogger) (*Loader, error) {
	l := &Loader{files: f, log: log, clock: clock, next: clock() + checkInterval}
	l.tried = l.look()
	var err error
	l.current, err = l.load(l.tried)
	return l, err
}

// look returns the state of each file; one that is missing has the zero mark.
func (l *Loader) look() (marks [3]mark) {
	for i, name := range []string{l.files.Certificate, l.files.Key, l.files.CA} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			marks[i] = mark{info.Size(), info.ModTime()}
		}
	}
	return marks
}

func (l *Loader) load(marks [3]mark) (loaded, error) {
	out := loaded{marks: marks}
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
			return out, fmt.Errorf("%s: no certificate in it", l.files.CA)
		}
	}
	return out, nil
}

// latest returns what the files hold. New files that cannot be read are
// logged once, and the old ones stay in use.
func (l *Loader) latest() loaded {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if now < l.next {
		return l.current
	}
	l.next = now + checkInterval
	marks := l.look()
	if marks == l.tried {
		return l.current
	}
	l.tried = marks
	log := l.log.WithFields(logrus.Fields{"certificate": l.files.Certificate, "ca": l.files.CA})
	next, err := l.load(marks)
	if err != nil {
		log.WithError(err).Error("new certificates cannot be loaded, the old ones stay in use")
		return l.current
	}
	l.current = next
	log.Info("certificates loaded again")
	return l.current
}

// Server returns the TLS settings of a listener without client certificates.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.latest().pair, nil
		},
	}
}

// MutualServer returns the TLS settings of a listener that demands a client
// certificate of the CA.
func (l *Loader) MutualServer() *tls.Config {
	c := l.Server()
	c.MinVersion = tls.VersionTLS13
	c.ClientAuth = tls.RequireAnyClientCert // verified below, against the CA of now
	c.VerifyConnection = l.verify(x509.ExtKeyUsageClientAuth)
	c.SessionTicketsDisabled = true
	return c
}

// Client returns the TLS settings of a connection whose other side has a
// certificate of the CA. Names are not compared: addresses are IP numbers that
// the other side announced itself. The own certificate is shown on request.
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

// errNoCertificate says that the other side showed no certificate.
var errNoCertificate = errors.New("no certificate shown")

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
			options.Roots = x509.NewCertPool() // trust nobody, not the system's list
		}
		for _, c := range s.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(options)
		return err
	}
}

// readBounded reads a file of at most limit bytes.
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

// ReadSecret reads a password or a token from a file that only its owner may
// read. A line break at its end does not belong to it.
func ReadSecret(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&othersMode != 0 {
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
