package peer

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcctx"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// handshakeTimeout bounds the TLS handshake of a host that connects.
const handshakeTimeout = 2 * time.Second

// DialFunc opens a connection to the peer address of a host.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dial is f, or plain TCP where f is nil.
func (f DialFunc) dial(ctx context.Context, address string) (net.Conn, error) {
	if f == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return f(ctx, address)
}

// DialTLS dials with TLS.
func DialTLS(c *tls.Config) DialFunc {
	d := &tls.Dialer{Config: c}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// ListenTLS wraps a listener of a Server with TLS.
func ListenTLS(l net.Listener, c *tls.Config) net.Listener {
	return &tlsListener{Listener: l, config: c}
}

type tlsListener struct {
	net.Listener
	config *tls.Config
}

// Accept implements net.Listener. The handshake comes with the first read, so
// that nobody holds up the others.
func (l *tlsListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tlsConn{Conn: tls.Server(nc, l.config)}, nil
}

// tlsConn bounds its handshake.
type tlsConn struct {
	*tls.Conn
	once sync.Once
	err  error
}

// Read implements net.Conn.
func (c *tlsConn) Read(p []byte) (int, error) {
	c.once.Do(func() {
		ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
		defer stop()
		c.err = c.HandshakeContext(ctx)
	})
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(p)
}

// Unwrapper is a connection around another one. A listener whose connections
// wrap others must offer it, or no host is trusted over them.
type Unwrapper interface{ Unwrap() net.Conn }

// VerifyHost returns an error where the connection behind ctx has a
// certificate that does not name the host. On plain TCP every host is trusted;
// a connection of which nothing is known is not.
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
	for _, c := range secured.ConnectionState().PeerCertificates[:1] {
		if c.Subject.CommonName == string(host) || slices.Contains(c.DNSNames, string(host)) {
			return nil
		}
	}
	return errkind.New(errkind.Unauthenticated, "the certificate does not name the host %.64q", string(host))
}
