package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcctx"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// handshakeTimeout bounds the server side of a TLS handshake with another host.
const handshakeTimeout = 2 * time.Second

// DialFunc opens a connection to the peer address of a host.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dial calls f, or dials plain TCP if f is nil.
func (f DialFunc) dial(ctx context.Context, address string) (net.Conn, error) {
	if f == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return f(ctx, address)
}

// DialTLS returns a DialFunc that opens TLS connections with the given config.
func DialTLS(c *tls.Config) DialFunc {
	d := &tls.Dialer{Config: c}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// ListenTLS wraps the listener of a Server in TLS.
func ListenTLS(l net.Listener, c *tls.Config) net.Listener {
	return &tlsListener{Listener: l, config: c}
}

type tlsListener struct {
	net.Listener
	config *tls.Config
}

// Accept implements net.Listener. The handshake runs on the first read, so that
// a slow client does not block the accept loop.
func (l *tlsListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tlsConn{Conn: tls.Server(nc, l.config)}, nil
}

// tlsConn is a TLS connection whose handshake is bounded by handshakeTimeout.
type tlsConn struct {
	*tls.Conn
	handshakeOnce sync.Once
	handshakeErr  error
}

// Read implements net.Conn.
func (c *tlsConn) Read(p []byte) (int, error) {
	c.handshakeOnce.Do(func() {
		ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
		defer stop()
		c.handshakeErr = c.HandshakeContext(ctx)
	})
	if c.handshakeErr != nil {
		return 0, c.handshakeErr
	}
	return c.Conn.Read(p)
}

// Unwrapper is implemented by connections that wrap another connection. A
// wrapper without it hides the transport from VerifyHost, which then rejects
// every host.
type Unwrapper interface{ Unwrap() net.Conn }

// VerifyHost returns an Unauthenticated error if the peer certificate of the
// connection behind ctx does not name host. On plain TCP every host is trusted;
// a connection of an unknown type is rejected.
func VerifyHost(ctx context.Context, host table.HostID) error {
	var transport any
	transport, _ = drpcctx.Transport(ctx)
	for {
		wrapper, ok := transport.(Unwrapper)
		if !ok {
			break
		}
		transport = wrapper.Unwrap()
	}
	if _, plain := transport.(*net.TCPConn); plain {
		return nil
	}
	secured, ok := transport.(interface{ ConnectionState() tls.ConnectionState })
	if !ok {
		return errkind.New(errkind.Unauthenticated, "nothing is known of the connection of the host %.64q", string(host))
	}
	certificates := secured.ConnectionState().PeerCertificates
	if len(certificates) > 0 && certifies(certificates[0], host) {
		return nil
	}
	return errkind.New(errkind.Unauthenticated, "the certificate does not name the host %.64q", string(host))
}

// certifies reports whether a certificate names host.
func certifies(c *x509.Certificate, host table.HostID) bool {
	return c.Subject.CommonName == string(host) || slices.Contains(c.DNSNames, string(host))
}
