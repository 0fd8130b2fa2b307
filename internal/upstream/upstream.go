// Package upstream makes the connection settings for instances: who logs in,
// and whether with TLS.
package upstream

import (
	"crypto/tls"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Login is how a host logs in to instances.
type Login struct {
	User     string
	Password string
	Database string
	// TLS is nil for plain text. With it, plain text is never tried.
	TLS *tls.Config
}

// Config returns the settings of a connection to ip:port. A timeout of zero
// leaves the bound to the context of each connect.
func (l Login) Config(address, applicationName string, timeout time.Duration) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	// ParseConfig is the only way to a valid pgconn.Config; all that matters
	// is set below, so that no environment variable has a say.
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
