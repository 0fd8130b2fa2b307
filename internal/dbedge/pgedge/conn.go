package pgedge

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// conn is a connection to one instance. It is hijacked from pgconn, so that a call
// whose context is done closes the connection at once. pgconn would dial a second
// connection to cancel the query.
type conn struct {
	net      net.Conn
	frontend *pgproto3.Frontend
	usable   bool // whether another query may follow
}

// dial opens a connection and logs in.
func (cl *Client) dial(ctx context.Context, address string) (*conn, error) {
	cfg, err := cl.cfg.Login.Config(address, ApplicationName, 0)
	if err != nil {
		return nil, err
	}
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	return &conn{net: hijacked.Conn, frontend: hijacked.Frontend, usable: true}, nil
}

func (c *conn) close() { _ = c.net.Close() } // an error on close needs no handling

// query runs one query and returns its rows. It returns the error of ctx if ctx is
// done first.
func (c *conn) query(ctx context.Context, text string) ([][]string, error) {
	c.usable = false
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
	rows, err := c.exchange(text)
	c.usable = stop() && c.usable
	if ctx.Err() != nil && err != nil {
		return nil, ctx.Err()
	}
	return rows, err
}

// exchange sends a query and reads up to ReadyForQuery.
func (c *conn) exchange(text string) (rows [][]string, refused error) {
	c.frontend.SendQuery(&pgproto3.Query{String: text})
	if err := c.frontend.Flush(); err != nil {
		return nil, err
	}
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, textRow(m))
		case *pgproto3.ErrorResponse:
			refused = fmt.Errorf("the instance refuses: %w", pgconn.ErrorResponseToPgError(m))
		case *pgproto3.ReadyForQuery:
			c.usable = true
			return rows, refused
		}
	}
}

// textRow returns the columns of a row as strings.
func textRow(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, value := range m.Values {
		row[i] = string(value)
	}
	return row
}

// idleConns holds at most one idle connection per address, and at most max in
// all. It is safe for concurrent use.
type idleConns struct {
	mu     sync.Mutex
	max    int
	closed bool
	conns  map[string]*conn
}

func newIdleConns(maxIdle int) *idleConns {
	return &idleConns{max: maxIdle, conns: map[string]*conn{}}
}

// take removes and returns the idle connection to address, or returns nil if there
// is none.
func (ic *idleConns) take(address string) *conn {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	c := ic.conns[address]
	delete(ic.conns, address)
	return c
}

// put adds c as the idle connection to address. It closes c if there is one
// already, the limit is reached or ic is closed.
func (ic *idleConns) put(address string, c *conn) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.closed || ic.conns[address] != nil || len(ic.conns) >= ic.max {
		c.close()
		return
	}
	ic.conns[address] = c
}

// close closes all idle connections and makes put close those that follow.
func (ic *idleConns) close() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.closed = true
	for _, c := range ic.conns {
		c.close()
	}
	clear(ic.conns)
}
