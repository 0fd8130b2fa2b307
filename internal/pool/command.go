package pool

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// Exec runs simple queries of the proxy one after the other and discards their
// rows. It stops at the first error: a *pgconn.PgError if the upstream reports an
// error, or an *errkind.Error if the connection is lost or ctx is done.
func (c *SQLConn) Exec(ctx context.Context, queries ...string) error {
	for _, sql := range queries {
		if err := c.withContext(ctx, func() error { return c.Command(sql) }); err != nil {
			return err
		}
	}
	return nil
}

// ApplySettings makes the SET statements in want the session settings of the
// connection.
func (c *SQLConn) ApplySettings(ctx context.Context, want []string) error {
	err := c.withContext(ctx, func() error { return c.applySettings(want) })
	if err != nil {
		return settingsError(err)
	}
	return nil
}

// QueryText runs a simple query and returns the first column of its last row,
// or the empty string if there is none. Its errors are those of Exec.
func (c *SQLConn) QueryText(ctx context.Context, sql string) (string, error) {
	var r firstColumn
	err := c.withContext(ctx, func() error { return c.query(sql, &r) })
	return r.value, err
}

// firstColumn is a rowReader that keeps the first column of the last row.
type firstColumn struct{ value string }

func (f *firstColumn) row(values [][]byte) {
	if len(values) > 0 {
		f.value = string(values[0])
	}
}

// withContext calls run, whose reads and writes are interrupted when ctx is done.
// It wraps errors other than *pgconn.PgError as errkind.UpstreamLost.
func (c *SQLConn) withContext(ctx context.Context, run func() error) error {
	deadline, _ := ctx.Deadline() // zero if ctx has none, which sets no deadline
	unwatch := c.watchContext(ctx, deadline, c.reader.silenceTimeout)
	err := run()
	unwatch()
	var pgErr *pgconn.PgError
	if err == nil || errors.As(err, &pgErr) {
		return err
	}
	return errkind.Wrap(err, errkind.UpstreamLost, "%v", err)
}
