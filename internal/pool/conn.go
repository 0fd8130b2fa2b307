// Package pool holds the connections to one upstream instance. Only the owner
// of the instance has one.
package pool

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

const (
	// maxPrepared bounds the prepared statements on one connection; one that
	// holds more is replaced.
	maxPrepared = 500
	// maxUpstreamMessageBytes bounds one message of an upstream.
	maxUpstreamMessageBytes = 64 << 20
	// cancelTimeout bounds the delivery of a cancel request.
	cancelTimeout = 500 * time.Millisecond
)

// unknownSettings marks a connection whose settings must be reset before the
// next use. It differs from each list of settings, for those hold no NUL.
const unknownSettings = "\x00"

// Conn is one open connection to an upstream. It serves one request at a time.
type Conn struct {
	net      net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	prepared map[string]struct{}
	settings string // the SET statements in force, joined
	txStatus byte
	doomed   bool // must not be used by another session
	usedAt   time.Time
	out      []byte // reused for what is sent
}

// dial opens a connection and logs in.
func dial(ctx context.Context, cfg *pgconn.Config) (*Conn, error) {
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, err
	}
	h.Frontend.SetMaxBodyLen(maxUpstreamMessageBytes)
	return &Conn{
		net:      h.Conn,
		frontend: h.Frontend,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: map[string]struct{}{},
		txStatus: h.TxStatus,
		usedAt:   time.Now(),
	}, nil
}

// TxStatus returns the transaction state after the latest answer.
func (c *Conn) TxStatus() byte { return c.txStatus }

// reusable reports whether another session may use the connection.
func (c *Conn) reusable() bool {
	return !c.doomed && c.txStatus == request.TxIdle && len(c.prepared) <= maxPrepared
}

// close ends the connection at once.
func (c *Conn) close() { _ = c.net.Close() }

// terminate says goodbye and ends the connection.
func (c *Conn) terminate() {
	_ = c.net.SetWriteDeadline(time.Now().Add(cancelTimeout))
	buf, err := (&pgproto3.Terminate{}).Encode(nil)
	if err == nil {
		_, _ = c.net.Write(buf)
	}
	c.close()
}

// guard makes a blocked read or write on c end with ctx, at the latest at
// deadline. The returned function lifts the guard; it reports whether c is
// still usable.
func (c *Conn) guard(ctx context.Context, deadline time.Time) (lift func() bool) {
	_ = c.net.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() {
		_ = c.net.SetDeadline(time.Unix(1, 0))
	})
	return func() bool {
		if !stop() {
			return false
		}
		_ = c.net.SetDeadline(time.Time{})
		return true
	}
}

// Cancel asks the upstream to stop what the connection runs. It uses a
// connection of its own, as the protocol wants, and waits for its end.
func (c *Conn) Cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.net.RemoteAddr().String())
	if err != nil {
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(cancelTimeout))
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := nc.Write(buf); err != nil {
		return
	}
	_, _ = nc.Read(make([]byte, 1))
}

// applySettings brings the session settings of c to want.
func (c *Conn) applySettings(want []string) error {
	joined := strings.Join(want, ";")
	if c.settings == joined {
		return nil
	}
	c.settings = unknownSettings
	sql := "RESET ALL"
	if joined != "" {
		sql += ";" + joined
	}
	if err := c.Command(sql); err != nil {
		return err
	}
	c.settings = joined
	return nil
}

// Command runs a simple query on behalf of the proxy and drops its rows. An
// error of the upstream comes as *pgconn.PgError; any other error means that
// the connection is lost.
func (c *Conn) Command(sql string) error {
	var r discard
	return c.query(sql, &r)
}

// rowReader takes the rows of a query of the proxy.
type rowReader interface{ row(values [][]byte) }

type discard struct{}

func (*discard) row([][]byte) {}

func (c *Conn) query(sql string, r rowReader) error {
	buf, err := (&pgproto3.Query{String: sql}).Encode(c.out[:0])
	if err != nil {
		return err
	}
	c.out = buf
	if _, err := c.net.Write(buf); err != nil {
		return err
	}
	return c.readQuery(r)
}

// readQuery reads the answer to one simple query of the proxy.
func (c *Conn) readQuery(r rowReader) error {
	var failure error
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			r.row(m.Values)
		case *pgproto3.ErrorResponse:
			failure = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			c.txStatus = m.TxStatus
			return failure
		}
	}
}

// lost turns an error of the network into an error kind: a request of which
// no byte was sent has not run.
func lost(err error, sent bool) *errkind.Error {
	if !sent {
		return errkind.Wrap(err, errkind.UpstreamLost, "%v", err).WithEffect(errkind.NotRun)
	}
	return errkind.Wrap(err, errkind.UpstreamLost, "%v", err)
}
