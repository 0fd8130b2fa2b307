// Package upstream builds the connection settings for instances, such as the login
// and TLS, and parses their status.
package upstream

import (
	"crypto/tls"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Login holds the credentials and TLS settings with which a host connects to
// instances.
type Login struct {
	User     string
	Password string
	Database string
	// TLS is nil for plain-text connections. If it is set, there is no fallback
	// to plain text.
	TLS *tls.Config
}

// Config returns the settings for a connection to address, which has the form
// ip:port. If timeout is zero, only the context bounds a connection attempt.
func (l Login) Config(address, applicationName string, timeout time.Duration) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	// Only ParseConfig creates a valid pgconn.Config. It also reads environment
	// variables, so every setting that matters is overwritten below.
	pg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	pg.Host, pg.Port = host, uint16(port)
	pg.User, pg.Password, pg.Database = l.User, l.Password, l.Database
	pg.TLSConfig, pg.Fallbacks = l.TLS, nil
	pg.ConnectTimeout = timeout
	pg.RuntimeParams = map[string]string{"application_name": applicationName}
	return pg, nil
}
