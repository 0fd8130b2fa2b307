// Package pg speaks the PostgreSQL protocol to callers: it reads requests from
// a connection, hands each to the gateway as one unit, and writes the answers.
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
	// DefaultStartupTimeout bounds the start-up of a caller, its login included.
	DefaultStartupTimeout = 10 * time.Second
	// maxStartupTries bounds the SSLRequest and GSSEncRequest messages before
	// the start-up message.
	maxStartupTries = 3
	// maxStarting bounds the callers in their start-up, their login included;
	// more are refused at once.
	maxStarting = 1024
	// maxSessionParameters bounds the parameters of a start-up message.
	maxSessionParameters = 64
	// maxLoginBytes bounds one message of a caller that has not logged in.
	maxLoginBytes = 4 << 10
)

// Parameters of the start-up message and of SET that the proxy itself reads.
const (
	paramToken     = "amaranthweir.session"
	paramClass     = "amaranthweir.class"
	paramKey       = "amaranthweir.key"
	paramRequestID = "amaranthweir.request_id"
)

// serverVersion is what callers are told; drivers choose their features by it.
const serverVersion = "15.0 (amaranthweir)"

// startup is what a caller said at its start.
type startup struct {
	user     string
	database string
	params   map[string]string
	cancel   *pgproto3.CancelRequest // set when it is a cancel request
}

// errBadStartup is returned for a start-up that does not follow the protocol.
var errBadStartup = errors.New("the start-up message cannot be read")

// readStartup answers SSLRequest and reads the start-up message. The returned
// connection is the TLS one where the caller asked for it. All must be there
// within timeout.
func readStartup(nc net.Conn, tlsConfig *tls.Config, timeout time.Duration) (net.Conn, *startup, error) {
	_ = nc.SetDeadline(time.Now().Add(timeout))
	for range maxStartupTries {
		// A Backend of its own for each try: it must not read ahead into the
		// TLS handshake.
		msg, err := pgproto3.NewBackend(&startupReader{r: nc}, nc).ReceiveStartupMessage()
		if err != nil {
			return nc, nil, errors.Join(errBadStartup, err)
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if nc, err = answerTLS(nc, tlsConfig); err != nil {
				return nc, nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := nc.Write([]byte{'N'}); err != nil {
				return nc, nil, err
			}
		case *pgproto3.CancelRequest:
			return nc, &startup{cancel: m}, nil
		case *pgproto3.StartupMessage:
			s, err := checkStartup(m)
			return nc, s, err
		}
	}
	return nc, nil, errBadStartup
}

// startupReader hands out no more than one start-up packet: the Backend fills
// its buffer with as much as it can get, which would swallow what follows.
type startupReader struct {
	r      io.Reader
	header [4]byte // the length of the packet, with itself
	seen   int     // bytes of the packet handed out
}

// Read implements io.Reader.
func (s *startupReader) Read(p []byte) (int, error) {
	left := len(s.header) - s.seen
	if left <= 0 {
		left = int(binary.BigEndian.Uint32(s.header[:])) - s.seen
	}
	if left <= 0 {
		return 0, errBadStartup
	}
	n, err := s.r.Read(p[:min(len(p), left)])
	if s.seen < len(s.header) {
		copy(s.header[s.seen:], p[:n])
	}
	s.seen += n
	return n, err
}

func answerTLS(nc net.Conn, cfg *tls.Config) (net.Conn, error) {
	if cfg == nil {
		_, err := nc.Write([]byte{'N'})
		return nc, err
	}
	if _, err := nc.Write([]byte{'S'}); err != nil {
		return nc, err
	}
	return tls.Server(nc, cfg), nil
}

func checkStartup(m *pgproto3.StartupMessage) (*startup, error) {
	s := &startup{user: m.Parameters["user"], database: m.Parameters["database"], params: m.Parameters}
	if len(m.Parameters) > maxSessionParameters {
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

// cancelKeyBytes is the length of a cancel key.
const cancelKeyBytes = 4

// newCancelKey returns the secret that a caller shows to cancel a request.
func newCancelKey() uint32 {
	var b [cancelKeyBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint32(b[:])
}
