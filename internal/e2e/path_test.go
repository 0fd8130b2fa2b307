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

// state returns the SQLSTATE of an error, or the empty string.
func state(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func insert(ctx context.Context, c *pgx.Conn, key string) error {
	_, err := c.Exec(ctx, "INSERT INTO tickets (key, value) VALUES ($1, 'v')", key)
	return err
}

func count(t *testing.T, c *pgx.Conn, class string) int {
	t.Helper()
	var n int
	assert.NilError(t, c.QueryRow(t.Context(), "/* class="+class+" */ SELECT count(*) FROM tickets").Scan(&n))
	return n
}

func TestOrdinaryDriversAreServed(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 0)
	ctx := t.Context()
	conn := c.connect(c.hosts[3])

	assert.NilError(t, insert(ctx, conn, "a"))
	assert.Equal(t, state(insert(ctx, conn, "a")), "23505")
	for range 3 { // the second time on, the statement is prepared
		assert.Equal(t, count(t, conn, "lookup"), 1)
	}

	tx, err := conn.Begin(ctx)
	assert.NilError(t, err)
	assert.NilError(t, insert(ctx, conn, "b"))
	assert.Equal(t, count(t, c.connect(c.hosts[0]), "lookup"), 1, "an open transaction must not be seen")
	assert.NilError(t, tx.Commit(ctx))

	tx, err = conn.Begin(ctx)
	assert.NilError(t, err)
	assert.Equal(t, state(insert(ctx, conn, "b")), "23505")
	assert.Equal(t, state(insert(ctx, conn, "c")), "25P02", "a failed transaction runs nothing")
	assert.NilError(t, tx.Rollback(ctx))

	tx, err = conn.Begin(ctx)
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "LISTEN news")
	assert.Equal(t, state(err), "0A000")
	assert.Equal(t, state(insert(ctx, conn, "d")), "25P02", "an error of the proxy aborts the transaction too")
	assert.NilError(t, tx.Rollback(ctx))

	_, err = conn.Exec(ctx, "COPY tickets FROM stdin")
	assert.Equal(t, state(err), "0A000")
	_, err = conn.Exec(ctx, "LISTEN news")
	assert.Equal(t, state(err), "0A000")
	_, err = conn.Exec(ctx, "/* class=nobody */ SELECT 1")
	assert.Equal(t, state(err), "42704")
	_, err = conn.Exec(ctx, "/* class=report */ DELETE FROM tickets WHERE key = 'a'")
	assert.Equal(t, state(err), "42601")
	assert.Equal(t, count(t, conn, "lookup"), 2)

	db, err := sql.Open("pgx", "postgres://clerk@"+c.hosts[1].caller+"/ledger?sslmode=disable")
	assert.NilError(t, err)
	defer db.Close()
	var n int
	assert.NilError(t, db.QueryRowContext(ctx, "/* class=lookup */ SELECT count(*) FROM tickets").Scan(&n))
	assert.Equal(t, n, 2)
}

func TestCancelEndsARunningStatement(t *testing.T) {
	t.Parallel()
	c := start(t, 3, 0)
	conn := c.connect(c.hosts[0])
	ctx, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	time.AfterFunc(200*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(ctx) })
	_, err := conn.Exec(ctx, "SELECT pg_sleep(6)")
	assert.Equal(t, state(err), "57014")
	assert.NilError(t, insert(ctx, conn, "after"))
}

func TestSessionSettingsStayWithTheirSession(t *testing.T) {
	t.Parallel()
	c := start(t, 3, 0)
	ctx := t.Context()
	one, two := c.connect(c.hosts[0]), c.connect(c.hosts[0])
	show := func(conn *pgx.Conn) (v string) {
		err := conn.QueryRow(ctx, "SHOW app.colour", pgx.QueryExecModeSimpleProtocol).Scan(&v)
		assert.Assert(t, err == nil || state(err) == "42704", "%v", err)
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

func TestReadYourWritesAcrossHosts(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 5*time.Millisecond)
	ctx := t.Context()
	c.group[2].SetLag(800 * time.Millisecond) // the other replica confirms writes
	warm := c.connect(c.hosts[0])
	for range 40 { // the replicas are read, so they can prove their age
		count(t, warm, "report")
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
	assert.Equal(t, state(err), "22023")
}

// notRun reports whether an answer says that the statement has not run.
func notRun(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && strings.HasSuffix(pgErr.Detail, "effect: not run")
}
