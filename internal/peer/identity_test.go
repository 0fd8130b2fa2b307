package peer

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcctx"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// securedConn is a connection in the given TLS state.
type securedConn struct {
	net.Conn
	state tls.ConnectionState
}

func (c securedConn) ConnectionState() tls.ConnectionState { return c.state }

// A peer without a certificate must be rejected. Taking the first of no
// certificates used to panic, which would have ended the process.
func TestVerifyHost(t *testing.T) {
	certificate := func(name string, dns ...string) []*x509.Certificate {
		return []*x509.Certificate{{Subject: pkix.Name{CommonName: name}, DNSNames: dns}}
	}
	for _, c := range []struct {
		name     string
		peers    []*x509.Certificate
		accepted bool
	}{
		{"no certificate", nil, false},
		{"the common name", certificate("h1"), true},
		{"a DNS name", certificate("other", "h1"), true},
		{"another host", certificate("h2", "h3"), false},
		{"only an issuer names the host", append(certificate("h2"), certificate("h1")...), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := drpcctx.WithTransport(t.Context(), securedConn{state: tls.ConnectionState{PeerCertificates: c.peers}})
			err := VerifyHost(ctx, table.HostID("h1"))
			if c.accepted {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errkind.Is(err, errkind.Unauthenticated), "%v", err)
		})
	}
}
