package pool

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Exec runs simple queries on behalf of the proxy, one after the other, and
// drops their rows. It stops at the first error: a *pgconn.PgError of the
// upstream, or an *errkind.Error when the connection is lost or ctx ended.
func (c *SQLConn) Exec(ctx context.Context, queries ...string) error {
	for _, sql := range queries {
		if err := c.within(ctx, func() error { return c.Command(sql) }); err != nil {
			return err
		}
	}
	return nil
}

// ApplySettings brings the session settings of the connection to want.
func (c *SQLConn) ApplySettings(ctx context.Context, want []string) error {
	err := c.within(ctx, func() error { return c.applySettings(want) })
	if err != nil {
		return settingsError(err)
	}
	return nil
}

// QueryText runs a simple query and returns the first column of its last row,
// or the empty string when there is none.
func (c *SQLConn) QueryText(ctx context.Context, sql string) (string, error) {
	var r firstColumn
	err := c.within(ctx, func() error { return c.query(sql, &r) })
	return r.value, err
}

type firstColumn struct{ value string }

func (f *firstColumn) row(values [][]byte) {
	if len(values) > 0 {
		f.value = string(values[0])
	}
}

// within runs one exchange that ends with ctx.
func (c *SQLConn) within(ctx context.Context, run func() error) error {
	deadline, _ := ctx.Deadline() // without one it is zero: no deadline
	lift := c.guard(ctx, deadline, c.reader.progress)
	err := run()
	lift()
	var pgErr *pgconn.PgError
	if err == nil || errors.As(err, &pgErr) {
		return err
	}
	return errkind.Wrap(err, errkind.UpstreamLost, "%v", err)
}
