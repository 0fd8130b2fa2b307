// Package pool holds the connections to one upstream instance. Only the owner
// of the instance has one.
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
	// maxPrepared bounds the prepared statements on one connection; one that
	// holds more is replaced.
	maxPrepared = 500
	// maxUpstreamMessageBytes bounds one message of an upstream.
	maxUpstreamMessageBytes = 64 << 20
	// cancelTimeout bounds the delivery of a cancel request.
	cancelTimeout = 500 * time.Millisecond
	// lingerTimeout bounds the wait for an upstream to end a connection.
	lingerTimeout = 500 * time.Millisecond
)

// unknownSettings marks a connection whose settings must be reset before the
// next use. It differs from each list of settings, for those hold no NUL.
const unknownSettings = "\x00"

// statementEnd ends a statement that may close with a line comment.
const statementEnd = "\n;"

// SQLConn is a connection that speaks the PostgreSQL protocol.
type SQLConn struct {
	*link
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	prepared map[string]struct{}
	settings string // the SET statements in force, joined
}

// DialSQL returns the Dialer of an instance that speaks the PostgreSQL
// protocol. The upstream sees the ownership epoch in application_name, so that
// a fence can close what an older owner left open.
func DialSQL(address string, login upstream.Login, epoch table.Epoch, timeout time.Duration) (Dialer, error) {
	cfg, err := login.Config(address, "amaranthweir/"+strconv.FormatUint(uint64(epoch), 10), timeout)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) (Conn, error) {
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
	l := newLink(h.Conn)
	l.txStatus = h.TxStatus
	frontend := pgproto3.NewFrontend(l.reader, h.Conn)
	frontend.SetMaxBodyLen(maxUpstreamMessageBytes)
	return &SQLConn{
		link:     l,
		frontend: frontend,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: map[string]struct{}{},
	}, nil
}

// Reset implements Conn: what is open is rolled back by closing the connection.
func (c *SQLConn) Reset(context.Context) bool { return false }

// reusable reports whether another session may use the connection.
func (c *SQLConn) reusable() bool {
	return !c.doomed && !c.asked && c.txStatus == request.TxIdle && len(c.prepared) <= maxPrepared
}

// fit implements Conn.
func (c *SQLConn) fit() bool {
	return c.frontend.ReadBufferLen() == 0 && c.socket.quiet()
}

// close implements Conn.
func (c *SQLConn) close() {
	defer c.net.Close()
	if c.gone {
		return
	}
	_ = c.net.SetDeadline(time.Now().Add(lingerTimeout))
	if c.asked {
		c.cancel()
	} else if buf, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		// Never behind an outstanding request, which it might complete.
		_, _ = c.net.Write(buf)
	}
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.net) // up to the end
}

// ping makes a round trip that runs nothing on the upstream.
func (c *SQLConn) ping(ctx context.Context, timeout time.Duration) error {
	// A probe asks nothing: it is what answers the question.
	defer c.guard(ctx, time.Now().Add(timeout), 2*timeout)()
	buf, err := (&pgproto3.Sync{}).Encode(c.out[:0])
	if err != nil {
		return err
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	return c.readQuery(&discard{})
}

// receive reads one message.
func (c *SQLConn) receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	if err != nil {
		c.note(err)
		return nil, err
	}
	return msg, nil
}

// cancel asks the upstream to stop what the connection runs. It uses a
// connection of its own, as the protocol wants, and waits for its end.
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

// applySettings brings the session settings of c to want.
func (c *SQLConn) applySettings(want []string) error {
	joined := strings.Join(want, statementEnd)
	if c.settings == joined {
		return nil
	}
	c.settings = unknownSettings
	sql := "RESET ALL"
	if joined != "" {
		sql += statementEnd + joined
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
func (c *SQLConn) Command(sql string) error {
	var r discard
	return c.query(sql, &r)
}

// rowReader takes the rows of a query of the proxy.
type rowReader interface{ row(values [][]byte) }

type discard struct{}

func (*discard) row([][]byte) {}

func (c *SQLConn) query(sql string, r rowReader) error {
	buf, err := (&pgproto3.Query{String: sql}).Encode(c.out[:0])
	if err != nil {
		return err
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	return c.readQuery(r)
}

// readQuery reads the answer to one simple query of the proxy.
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
			c.answered()
			return failure
		}
	}
}
