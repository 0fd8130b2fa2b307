// Package pgedge probes, promotes and fences instances over the PostgreSQL
// protocol. It calls the SQL functions in the schema amaranthweir that
// docs/ops/upstreams.md describes.
package pgedge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

// ApplicationName is the application_name of this package's connections.
const ApplicationName = "amaranthweir-platform"

// sqlstateStaleTerm is the SQLSTATE with which an instance refuses a promotion in a
// stale term (object_not_in_prerequisite_state).
const sqlstateStaleTerm = "55000"

// Config configures the connections to the instances.
type Config struct {
	Login upstream.Login
	// ReuseTimeout bounds a call over a connection that an earlier call opened.
	// If that connection fails or does not answer in time, the call is repeated
	// over a new one, because a connection may be silent while new ones work.
	ReuseTimeout time.Duration
	// MaxIdle bounds the idle connections to all instances together. At most
	// one is kept per instance.
	MaxIdle int
}

// DefaultConfig returns the default Config, without a password.
func DefaultConfig() Config {
	return Config{
		Login:        upstream.Login{User: "amaranthweir", Database: "postgres"},
		ReuseTimeout: 100 * time.Millisecond,
		MaxIdle:      1024,
	}
}

func (c Config) validate() error {
	if c.Login.User == "" || c.Login.Database == "" {
		return errors.New("login user and database must be set")
	}
	if c.ReuseTimeout <= 0 || c.MaxIdle < 0 {
		return errors.New("ReuseTimeout must be positive and MaxIdle must not be negative")
	}
	return nil
}

// Client is a Prober, Promoter and Fencer. It is safe for concurrent use.
type Client struct {
	cfg  Config
	idle *idleConns
}

var (
	_ dbedge.Prober   = (*Client)(nil)
	_ dbedge.Promoter = (*Client)(nil)
	_ dbedge.Fencer   = (*Client)(nil)
)

// New returns a Client, or an error if cfg is invalid. Close releases its
// connections.
func New(cfg Config) (*Client, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("pgedge: %w", err)
	}
	return &Client{cfg: cfg, idle: newIdleConns(cfg.MaxIdle)}, nil
}

// Close closes the idle connections. Connections that are in use are closed after
// their call.
func (cl *Client) Close() { cl.idle.close() }

// Probe implements dbedge.Prober.
func (cl *Client) Probe(ctx context.Context, t dbedge.Target) (dbedge.Status, error) {
	address := t.Address
	rows, err := cl.call(ctx, address, upstream.StatusQuery)
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("probe %s: %w", address, err)
	}
	if len(rows) != 1 {
		return dbedge.Status{}, fmt.Errorf("probe %s: %w", address, upstream.ErrStatus)
	}
	status, err := upstream.ParseStatus(rows[0])
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("probe %s: %w", address, err)
	}
	return status, nil
}

// Promote implements dbedge.Promoter.
func (cl *Client) Promote(ctx context.Context, order dbedge.Promotion) (dbedge.Status, error) {
	address, term := order.Address, order.Term
	_, err := cl.call(ctx, address, fmt.Sprintf("SELECT amaranthweir.promote(%d)", term))
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == sqlstateStaleTerm {
		err = fmt.Errorf("%w: %w", dbedge.ErrStaleTerm, err)
	}
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("promote %s: %w", address, err)
	}
	status, err := cl.Probe(ctx, order.Target)
	if err != nil {
		return dbedge.Status{}, err
	}
	if status.Role != table.RolePrimary || status.Mark.Term != term {
		return status, fmt.Errorf("promote %s: the instance is %s of term %d: %w", address, status.Role, status.Mark.Term, dbedge.ErrStaleTerm)
	}
	return status, nil
}

// Fence implements dbedge.Fencer.
func (cl *Client) Fence(ctx context.Context, t dbedge.Target, term table.Term, epoch table.Epoch) error {
	address := t.Address
	if _, err := cl.call(ctx, address, fmt.Sprintf("SELECT amaranthweir.fence(%d, %d)", term, epoch)); err != nil {
		return fmt.Errorf("fence %s: %w", address, err)
	}
	return nil
}

// call runs one query over the idle connection to address. If there is none, or it
// fails or does not answer within ReuseTimeout, call runs the query over a new
// connection. Every query of this package is idempotent, so that it is safe to
// repeat it.
func (cl *Client) call(ctx context.Context, address, query string) ([][]string, error) {
	if c := cl.idle.take(address); c != nil {
		rows, err := cl.callReused(ctx, c, query)
		if err == nil || c.usable {
			cl.idle.put(address, c)
			return rows, err
		}
		c.close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	c, err := cl.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	rows, err := c.query(ctx, query)
	if c.usable {
		cl.idle.put(address, c)
		return rows, err
	}
	c.close()
	return rows, err
}

// callReused runs one query over a connection that an earlier call opened.
func (cl *Client) callReused(ctx context.Context, c *conn, query string) ([][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.ReuseTimeout)
	defer cancel()
	return c.query(ctx, query)
}
