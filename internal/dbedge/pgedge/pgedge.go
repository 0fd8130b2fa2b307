// Package pgedge probes, promotes and fences instances over the PostgreSQL
// protocol. It calls the SQL functions of the schema amaranthweir, which
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

// ApplicationName names the connections of this package to the instances.
const ApplicationName = "amaranthweir-platform"

// stateTermOver is the SQLSTATE with which an instance refuses a promotion.
const stateTermOver = "55000"

// Config says how instances are reached.
type Config struct {
	Login upstream.Login
	// KeptTimeout bounds a call over a connection kept from an earlier call;
	// after it the call goes on over a new one. It finds connections that went
	// silent while new ones work.
	KeptTimeout time.Duration
	// MaxKept bounds the connections kept in all, one per instance at most.
	MaxKept int
}

// DefaultConfig returns the Config in ordinary use, without a password.
func DefaultConfig() Config {
	return Config{
		Login:       upstream.Login{User: "amaranthweir", Database: "postgres"},
		KeptTimeout: 100 * time.Millisecond,
		MaxKept:     1024,
	}
}

func (c Config) validate() error {
	if c.Login.User == "" || c.Login.Database == "" {
		return errors.New("user and database must be named")
	}
	if c.KeptTimeout <= 0 || c.MaxKept < 0 {
		return errors.New("kept timeout must be positive, the bound on kept connections not negative")
	}
	return nil
}

// Platform is a Prober, Promoter and Fencer. It is safe for concurrent use.
type Platform struct {
	cfg  Config
	kept *keptConns
}

var (
	_ dbedge.Prober   = (*Platform)(nil)
	_ dbedge.Promoter = (*Platform)(nil)
	_ dbedge.Fencer   = (*Platform)(nil)
)

// New returns a Platform. Close ends it.
func New(cfg Config) (*Platform, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return &Platform{cfg: cfg, kept: newKeptConns(cfg.MaxKept)}, nil
}

// Close closes the kept connections.
func (p *Platform) Close() { p.kept.close() }

// Probe implements dbedge.Prober.
func (p *Platform) Probe(ctx context.Context, t dbedge.Target) (dbedge.Status, error) {
	address := t.Address
	rows, err := p.call(ctx, address, upstream.StatusQuery)
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
func (p *Platform) Promote(ctx context.Context, order dbedge.Promotion) (dbedge.Status, error) {
	address, term := order.Address, order.Term
	_, err := p.call(ctx, address, fmt.Sprintf("SELECT amaranthweir.promote(%d)", term))
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == stateTermOver {
		err = fmt.Errorf("%w: %w", dbedge.ErrTermOver, err)
	}
	if err != nil {
		return dbedge.Status{}, fmt.Errorf("promote %s: %w", address, err)
	}
	status, err := p.Probe(ctx, order.Target)
	if err != nil {
		return dbedge.Status{}, err
	}
	if status.Role != table.RolePrimary || status.Mark.Term != term {
		return status, fmt.Errorf("promote %s: it is %s of term %d by now: %w", address, status.Role, status.Mark.Term, dbedge.ErrTermOver)
	}
	return status, nil
}

// Fence implements dbedge.Fencer.
func (p *Platform) Fence(ctx context.Context, t dbedge.Target, term table.Term, epoch table.Epoch) error {
	address := t.Address
	if _, err := p.call(ctx, address, fmt.Sprintf("SELECT amaranthweir.fence(%d, %d)", term, epoch)); err != nil {
		return fmt.Errorf("fence %s: %w", address, err)
	}
	return nil
}

// call runs one query, over the kept connection if that answers in time. Every
// query of this package is idempotent, so that a repeat does no harm.
func (p *Platform) call(ctx context.Context, address, query string) ([][]string, error) {
	if c := p.kept.take(address); c != nil {
		rows, err := p.callKept(ctx, c, query)
		if err == nil || c.usable {
			p.kept.give(address, c)
			return rows, err
		}
		c.close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	rows, err := c.query(ctx, query)
	if c.usable {
		p.kept.give(address, c)
		return rows, err
	}
	c.close()
	return rows, err
}

func (p *Platform) callKept(ctx context.Context, c *conn, query string) ([][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.KeptTimeout)
	defer cancel()
	return c.query(ctx, query)
}
