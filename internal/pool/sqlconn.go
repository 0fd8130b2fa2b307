// Package pool manages the connections to one upstream instance. Only the owner
// of the instance has a pool for it.
package pool

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

const (
	// maxPrepared bounds the prepared statements on one connection. A
	// connection that has more is closed instead of reused.
	maxPrepared = 500
	// maxUpstreamMessageBytes bounds one message received from an upstream.
	maxUpstreamMessageBytes = 64 << 20
	// cancelTimeout bounds the delivery of a cancel request.
	cancelTimeout = 500 * time.Millisecond
	// lingerTimeout bounds the wait for an upstream to close its end of a
	// connection.
	lingerTimeout = 500 * time.Millisecond
)

// unknownSettings marks a connection whose settings must be reset before the
// next use. It cannot equal a joined list of settings, as those contain no NUL.
const unknownSettings = "\x00"

// statementSeparator separates statements. The newline ends a line comment at
// the end of the preceding statement.
const statementSeparator = "\n;"

// SQLConn is a connection that speaks the PostgreSQL protocol.
type SQLConn struct {
	*baseConn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	prepared map[string]struct{}
	settings string // the SET statements in effect, joined by statementSeparator
}

// DialSQL returns a Dialer for an instance that speaks the PostgreSQL protocol.
// The connections carry the ownership epoch in application_name, so that a fence
// can close the connections of an earlier owner. The protocol has no workspaces.
func DialSQL(address string, login upstream.Login, epoch table.Epoch, timeout time.Duration) (Dialer, error) {
	cfg, err := login.Config(address, "amaranthweir/"+strconv.FormatUint(uint64(epoch), 10), timeout)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, _ string) (Conn, error) {
		c, err := dialSQL(ctx, cfg)
		if err != nil {
			return nil, err
		}
		return c, nil
	}, nil
}

// dialSQL opens a connection and logs in.
func dialSQL(ctx context.Context, cfg *pgconn.Config) (*SQLConn, error) {
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, err
	}
	b := newBaseConn(h.Conn)
	b.txStatus = h.TxStatus
	frontend := pgproto3.NewFrontend(b.reader, h.Conn)
	frontend.SetMaxBodyLen(maxUpstreamMessageBytes)
	return &SQLConn{
		baseConn: b,
		frontend: frontend,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: map[string]struct{}{},
	}, nil
}

// Reset implements Conn. It always returns false: the transaction is rolled back
// by closing the connection.
func (c *SQLConn) Reset(context.Context) bool { return false }

// isReusable implements Conn.
func (c *SQLConn) isReusable() bool {
	return !c.mustClose && !c.awaitingAnswer && c.txStatus == request.TxIdle && len(c.prepared) <= maxPrepared
}

// isHealthy implements Conn.
func (c *SQLConn) isHealthy() bool {
	return c.frontend.ReadBufferLen() == 0 && c.socket.isIdle()
}

// close implements Conn.
func (c *SQLConn) close() {
	defer c.net.Close()
	if c.disconnected {
		return
	}
	_ = c.net.SetDeadline(time.Now().Add(lingerTimeout))
	if c.awaitingAnswer {
		c.cancel()
	} else if buf, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		// Terminate is not sent while an answer is pending: if the request was
		// sent only in part, the bytes of Terminate could complete it.
		_, _ = c.net.Write(buf)
	}
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.net) // until the upstream closes its end
}

// ping implements Conn. It sends a Sync, which runs no statement.
func (c *SQLConn) ping(ctx context.Context, timeout time.Duration) error {
	// A probe may be part of a silence check and must not start another one,
	// so the silence timeout is longer than the deadline.
	defer c.watchContext(ctx, time.Now().Add(timeout), 2*timeout)()
	buf, err := (&pgproto3.Sync{}).Encode(c.writeBuf[:0])
	if err != nil {
		return err
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	return c.readQuery(&discardRows{})
}

// receive reads one message. After an error, the connection must be closed.
func (c *SQLConn) receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	if err != nil {
		c.recordError(err)
		return nil, err
	}
	return msg, nil
}

// cancel asks the upstream to cancel the running statement of c. It sends the
// request over a separate connection, as the protocol requires, and waits until
// the upstream closes that connection. Errors are ignored.
func (c *SQLConn) cancel() {
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

// applySettings resets the session settings of c and runs the SET statements in
// want, unless exactly these are in effect already.
func (c *SQLConn) applySettings(want []string) error {
	joined := strings.Join(want, statementSeparator)
	if c.settings == joined {
		return nil
	}
	c.settings = unknownSettings
	sql := "RESET ALL"
	if joined != "" {
		sql += statementSeparator + joined
	}
	if err := c.Command(sql); err != nil {
		return err
	}
	c.settings = joined
	return nil
}

// Command runs a simple query of the proxy and discards its rows. It returns a
// *pgconn.PgError if the upstream reports an error; any other error means that
// the connection is lost.
func (c *SQLConn) Command(sql string) error {
	var r discardRows
	return c.query(sql, &r)
}

// rowReader receives the rows of a query of the proxy.
type rowReader interface{ row(values [][]byte) }

// discardRows is a rowReader that ignores all rows.
type discardRows struct{}

func (*discardRows) row([][]byte) {}

// query runs a simple query of the proxy. See Command for its errors.
func (c *SQLConn) query(sql string, r rowReader) error {
	buf, err := (&pgproto3.Query{String: sql}).Encode(c.writeBuf[:0])
	if err != nil {
		return err
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	return c.readQuery(r)
}

// readQuery reads the answer to one simple query of the proxy up to
// ReadyForQuery.
func (c *SQLConn) readQuery(r rowReader) error {
	var failure error
	for {
		msg, err := c.receive()
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
			c.answerReceived()
			return failure
		}
	}
}
