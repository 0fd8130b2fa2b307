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

// conn is a connection to one instance. It is hijacked from pgconn, so that a
// call that ends with its context closes it at once, and does not dial once
// more to cancel the query.
type conn struct {
	net      net.Conn
	frontend *pgproto3.Frontend
	usable   bool // whether another query may follow
}

func (p *Platform) dial(ctx context.Context, address string) (*conn, error) {
	cfg, err := p.cfg.Login.Config(address, ApplicationName, 0)
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

func (c *conn) close() { _ = c.net.Close() } // nothing is left to be told

// query runs one query and returns its rows. The end of ctx ends it.
func (c *conn) query(ctx context.Context, text string) ([][]string, error) {
	c.usable = false
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) }) // fails on a closed connection only
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

func textRow(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, value := range m.Values {
		row[i] = string(value)
	}
	return row
}

// keptConns keeps one idle connection per address.
type keptConns struct {
	mu     sync.Mutex
	max    int
	closed bool
	conns  map[string]*conn
}

func newKeptConns(maxKept int) *keptConns {
	return &keptConns{max: maxKept, conns: map[string]*conn{}}
}

// take returns the connection kept for address, or nil.
func (k *keptConns) take(address string) *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.conns[address]
	delete(k.conns, address)
	return c
}

// give keeps c, or closes it when there is one already or no place.
func (k *keptConns) give(address string, c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.conns[address] != nil || len(k.conns) >= k.max {
		c.close()
		return
	}
	k.conns[address] = c
}

func (k *keptConns) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for _, c := range k.conns {
		c.close()
	}
	clear(k.conns)
}
