package host

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/certs"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

// security holds the TLS configurations and the upstream login from the
// settings. Traffic whose TLS configuration is nil is in plain text.
type security struct {
	callers     *tls.Config // also used for operators
	peersServer *tls.Config
	peersClient *tls.Config
	upstream    upstream.Login
}

// newSecurity loads the certificates and the upstream password that the settings
// name.
func newSecurity(s *config.Settings, clock func() time.Duration, log logrus.FieldLogger) (*security, error) {
	out := &security{upstream: upstream.Login{User: s.Upstream.User, Database: s.Upstream.Database}}
	load := func(f certs.Files) (*certs.Loader, error) { return certs.NewLoader(f, clock, log) }
	if s.TLSCertificate != "" {
		l, err := load(certs.Files{Certificate: s.TLSCertificate, Key: s.TLSKey})
		if err != nil {
			return nil, err
		}
		out.callers = l.Server()
	}
	if t := s.PeerTLS; t != nil {
		l, err := load(certs.Files{Certificate: t.Certificate, Key: t.Key, CA: t.CA})
		if err != nil {
			return nil, err
		}
		out.peersServer, out.peersClient = l.MutualServer(), l.Client()
	}
	if s.Upstream.CA != "" {
		l, err := load(certs.Files{CA: s.Upstream.CA})
		if err != nil {
			return nil, err
		}
		out.upstream.TLS = l.Client()
	}
	if s.Upstream.PasswordFile == "" {
		return out, nil
	}
	var err error
	out.upstream.Password, err = certs.ReadSecret(s.Upstream.PasswordFile)
	return out, err
}

// dialPeer returns the function that dials other hosts with TLS, or nil for
// plain TCP.
func (s *security) dialPeer() peer.DialFunc {
	if s.peersClient == nil {
		return nil
	}
	return peer.DialTLS(s.peersClient)
}

func (s *security) listenPeers(l net.Listener) net.Listener {
	if s.peersServer == nil {
		return l
	}
	return peer.ListenTLS(l, s.peersServer)
}

func (s *security) listenHTTP(l net.Listener) net.Listener {
	l = &limitListener{Listener: l, max: maxHTTPConnections}
	if s.callers == nil {
		return l
	}
	return tls.NewListener(l, s.callers)
}

// callerUsers returns the users that callers may log in as, or nil if callers
// are trusted without a login.
func callerUsers(s *config.Settings, secret []byte) *auth.Users {
	if len(s.Users) == 0 {
		return nil
	}
	verifiers := make(map[string]auth.Verifier, len(s.Users))
	for _, u := range s.Users {
		verifiers[u.Name] = u.Verifier
	}
	return auth.NewUsers(verifiers, s.Users[0].Name, secret)
}

// warnUnprotected logs a warning for each kind of access that the settings leave
// unprotected.
func warnUnprotected(log logrus.FieldLogger, s *config.Settings) {
	for _, w := range []struct {
		unprotected bool
		text        string
	}{
		{len(s.Users) == 0, "callers are trusted: no users are set"},
		{!s.RequireTLS, "callers may use plain text"},
		{s.PeerTLS == nil, "hosts speak plain text with each other and trust each other's names"},
		{s.Upstream.CA == "", "instances are reached in plain text"},
		{len(s.Operators) == 0, "anyone who reaches the HTTP address is an operator"},
		{s.TLSCertificate == "", "the HTTP address serves plain text"},
		{s.AnnounceToken == nil, "announcements need no token"},
	} {
		if w.unprotected {
			log.WithField("allow_plain_text", s.AllowPlainText).Warn("not protected: " + w.text)
		}
	}
}

// handleConsensus delivers a consensus message. It rejects the message if the
// certificate of the connection does not name the host that the message is from.
func (h *Host) handleConsensus(ctx context.Context, body []byte) error {
	return h.control.server.ReceiveFrom(func(id table.HostID) error { return peer.VerifyHost(ctx, id) }, body)
}
