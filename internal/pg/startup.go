// Package pg serves callers over the PostgreSQL protocol. It reads messages from
// a connection, passes each unit (a simple query or the messages up to a Sync)
// to the gateway, and writes the answers.
package pg

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

const (
	// DefaultStartupTimeout bounds the time to read the start-up messages of a
	// caller, including login.
	DefaultStartupTimeout = 10 * time.Second
	// maxStartupPackets bounds the start-up packets that are read: SSLRequest and
	// GSSEncRequest messages and the start-up message.
	maxStartupPackets = 3
	// maxConcurrentStartups bounds the callers in start-up or login; further
	// callers are refused immediately.
	maxConcurrentStartups = 1024
	// maxStartupParameters bounds the number of parameters in a start-up message.
	maxStartupParameters = 64
	// maxLoginBytes bounds one message of a caller during login.
	maxLoginBytes = 4 << 10
)

// Parameters of the start-up message and of SET that configure the proxy.
const (
	paramToken     = "amaranthweir.session"
	paramClass     = "amaranthweir.class"
	paramKey       = "amaranthweir.key"
	paramRequestID = "amaranthweir.request_id"
)

// serverVersion is the server_version reported to callers. Drivers select
// features by it.
const serverVersion = "15.0 (amaranthweir)"

// startup holds the start-up message of a caller, or its cancel request.
type startup struct {
	user     string
	database string
	params   map[string]string
	cancel   *pgproto3.CancelRequest // set only for a cancel request
}

// errBadStartup is returned if the start-up does not follow the protocol.
var errBadStartup = errors.New("the start-up message cannot be read")

// readStartup answers SSLRequest and GSSEncRequest messages and reads the
// start-up message. The returned connection is a TLS connection if TLS was
// negotiated. The whole start-up must complete within timeout.
func readStartup(nc net.Conn, tlsConfig *tls.Config, timeout time.Duration) (net.Conn, *startup, error) {
	_ = nc.SetDeadline(time.Now().Add(timeout))
	for range maxStartupPackets {
		// Use a new Backend for each packet, because buffered bytes could belong
		// to the TLS handshake.
		msg, err := pgproto3.NewBackend(&startupReader{r: nc}, nc).ReceiveStartupMessage()
		if err != nil {
			return nc, nil, errors.Join(errBadStartup, err)
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if nc, err = negotiateTLS(nc, tlsConfig); err != nil {
				return nc, nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := nc.Write([]byte{'N'}); err != nil {
				return nc, nil, err
			}
		case *pgproto3.CancelRequest:
			return nc, &startup{cancel: m}, nil
		case *pgproto3.StartupMessage:
			s, err := parseStartup(m)
			return nc, s, err
		}
	}
	return nc, nil, errBadStartup
}

// startupReader returns at most one start-up packet. Without it the Backend
// would fill its buffer with the bytes that follow the packet.
type startupReader struct {
	r        io.Reader
	header   [4]byte // the length of the packet, including these bytes
	consumed int     // bytes of the packet that were returned
}

// Read implements io.Reader.
func (s *startupReader) Read(p []byte) (int, error) {
	remaining := len(s.header) - s.consumed
	if remaining <= 0 {
		remaining = int(binary.BigEndian.Uint32(s.header[:])) - s.consumed
	}
	if remaining <= 0 {
		return 0, errBadStartup
	}
	n, err := s.r.Read(p[:min(len(p), remaining)])
	if s.consumed < len(s.header) {
		copy(s.header[s.consumed:], p[:n])
	}
	s.consumed += n
	return n, err
}

// negotiateTLS answers an SSLRequest. It returns a TLS connection, or nc itself
// if cfg is nil and TLS is rejected.
func negotiateTLS(nc net.Conn, cfg *tls.Config) (net.Conn, error) {
	if cfg == nil {
		_, err := nc.Write([]byte{'N'})
		return nc, err
	}
	if _, err := nc.Write([]byte{'S'}); err != nil {
		return nc, err
	}
	return tls.Server(nc, cfg), nil
}

// parseStartup validates a start-up message. The database defaults to the user.
func parseStartup(m *pgproto3.StartupMessage) (*startup, error) {
	s := &startup{user: m.Parameters["user"], database: m.Parameters["database"], params: m.Parameters}
	if len(m.Parameters) > maxStartupParameters {
		return nil, errkind.New(errkind.TooLarge, "%d parameters at start-up", len(m.Parameters))
	}
	if s.user == "" {
		return nil, errkind.New(errkind.Unauthenticated, "no user named")
	}
	if s.database == "" {
		s.database = s.user
	}
	return s, nil
}

// cancelKeyBytes is the length of a cancel key in bytes.
const cancelKeyBytes = 4

// newCancelKey returns a random key that a caller must present to cancel a
// request.
func newCancelKey() uint32 {
	var b [cancelKeyBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint32(b[:])
}
