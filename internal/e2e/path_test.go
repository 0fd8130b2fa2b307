package e2e

import (
	"context"
	"database/sql"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"
)

// sqlstate returns the SQLSTATE of an error, or the empty string.
func sqlstate(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// insert inserts a ticket in the default class.
func insert(ctx context.Context, c *pgx.Conn, key string) error {
	_, err := c.Exec(ctx, "INSERT INTO tickets (key, value) VALUES ($1, 'v')", key)
	return err
}

// count returns the number of tickets that a read of the class sees.
func count(t *testing.T, c *pgx.Conn, class string) int {
	t.Helper()
	var n int
	assert.NilError(t, c.QueryRow(t.Context(), "/* class="+class+" */ SELECT count(*) FROM tickets").Scan(&n))
	return n
}

// TestStandardDrivers uses pgx and database/sql for prepared statements,
// transactions and errors. An error within a transaction must abort it, also when
// the proxy reports the error, and unsupported commands must be refused.
func TestStandardDrivers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 0)
	ctx := t.Context()
	conn := c.connect(c.hosts[3])

	assert.NilError(t, insert(ctx, conn, "a"))
	assert.Equal(t, sqlstate(insert(ctx, conn, "a")), "23505")
	for range 3 { // from the second execution on, pgx uses a prepared statement
		assert.Equal(t, count(t, conn, "lookup"), 1)
	}

	tx, err := conn.Begin(ctx)
	assert.NilError(t, err)
	assert.NilError(t, insert(ctx, conn, "b"))
	assert.Equal(t, count(t, c.connect(c.hosts[0]), "lookup"), 1, "writes of an open transaction must not be visible")
	assert.NilError(t, tx.Commit(ctx))

	tx, err = conn.Begin(ctx)
	assert.NilError(t, err)
	assert.Equal(t, sqlstate(insert(ctx, conn, "b")), "23505")
	assert.Equal(t, sqlstate(insert(ctx, conn, "c")), "25P02", "a failed transaction must run no statement")
	assert.NilError(t, tx.Rollback(ctx))

	tx, err = conn.Begin(ctx)
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "LISTEN news")
	assert.Equal(t, sqlstate(err), "0A000")
	assert.Equal(t, sqlstate(insert(ctx, conn, "d")), "25P02", "an error of the proxy must abort the transaction too")
	assert.NilError(t, tx.Rollback(ctx))

	_, err = conn.Exec(ctx, "COPY tickets FROM stdin")
	assert.Equal(t, sqlstate(err), "0A000")
	_, err = conn.Exec(ctx, "LISTEN news")
	assert.Equal(t, sqlstate(err), "0A000")
	_, err = conn.Exec(ctx, "/* class=nobody */ SELECT 1")
	assert.Equal(t, sqlstate(err), "42704")
	_, err = conn.Exec(ctx, "/* class=report */ DELETE FROM tickets WHERE key = 'a'")
	assert.Equal(t, sqlstate(err), "42601")
	assert.Equal(t, count(t, conn, "lookup"), 2)

	db, err := sql.Open("pgx", "postgres://clerk@"+c.hosts[1].callerAddress+"/ledger?sslmode=disable")
	assert.NilError(t, err)
	defer db.Close()
	var n int
	assert.NilError(t, db.QueryRowContext(ctx, "/* class=lookup */ SELECT count(*) FROM tickets").Scan(&n))
	assert.Equal(t, n, 2)
}

// TestCancelRunningStatement checks that a cancel request reaches the instance
// and that the connection remains usable.
func TestCancelRunningStatement(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 0)
	conn := c.connect(c.hosts[0])
	ctx, stop := context.WithTimeout(t.Context(), waitTimeout)
	defer stop()
	time.AfterFunc(200*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(ctx) })
	_, err := conn.Exec(ctx, "SELECT pg_sleep(6)")
	assert.Equal(t, sqlstate(err), "57014")
	assert.NilError(t, insert(ctx, conn, "after"))
}

// TestSessionSettingsAreIsolated guards against settings that leak between
// sessions because their statements share upstream connections.
func TestSessionSettingsAreIsolated(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, 0)
	ctx := t.Context()
	one, two := c.connect(c.hosts[0]), c.connect(c.hosts[0])
	show := func(conn *pgx.Conn) (v string) {
		err := conn.QueryRow(ctx, "SHOW app.colour", pgx.QueryExecModeSimpleProtocol).Scan(&v)
		assert.Assert(t, err == nil || sqlstate(err) == "42704", "%v", err)
		return v
	}
	_, err := one.Exec(ctx, "SET app.colour = 'red'")
	assert.NilError(t, err)
	for range 8 {
		assert.Equal(t, show(one), "red")
		assert.Equal(t, show(two), "")
	}
	_, err = one.Exec(ctx, "RESET ALL")
	assert.NilError(t, err)
	assert.Equal(t, show(one), "")
}

// TestReadYourWritesAcrossHosts writes through one host and reads through others.
// One replica lags, so a read that ignored the session would miss the write.
func TestReadYourWritesAcrossHosts(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, 5*time.Millisecond)
	ctx := t.Context()
	c.instances[2].SetLag(800 * time.Millisecond) // the other replica acknowledges writes
	warmup := c.connect(c.hosts[0])
	for range 40 { // only replicas that are read prove their staleness
		count(t, warmup, "report")
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 6 {
		writer := c.connect(c.hosts[i%4])
		assert.NilError(t, insert(ctx, writer, string(rune('a'+i))))
		token := writer.PgConn().ParameterStatus("amaranthweir.session")
		reader := c.connect(c.hosts[(i+1)%4], "amaranthweir.session", token)
		assert.Equal(t, count(t, reader, "report"), i+1, "with the token")
		assert.Equal(t, count(t, c.connect(c.hosts[(i+2)%4]), "report"), i+1, "without a token")
	}
	_, err := c.connect(c.hosts[0]).Exec(ctx, "SET amaranthweir.session = 'forged'")
	assert.Equal(t, sqlstate(err), "22023")
}

// isNotRun reports whether an error states that the statement has not run.
func isNotRun(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && strings.HasSuffix(pgErr.Detail, "effect: not run")
}
