package standin_test

import (
	"context"
	"database/sql"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin"
)

// start starts an instance without open cost. The change, if any, applies to its
// config.
func start(t *testing.T, change func(*standin.Config)) *standin.Instance {
	t.Helper()
	cfg := standin.DefaultConfig("g1", "g1-a")
	cfg.OpenCost = 0
	if change != nil {
		change(&cfg)
	}
	in, err := standin.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, in.Close()) })
	return in
}

func startPrimary(t *testing.T) *standin.Instance {
	t.Helper()
	return start(t, func(c *standin.Config) { c.Primary = true })
}

func dial(t *testing.T, in *standin.Instance, options string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), "postgres://u@"+in.Address()+"/ledger?sslmode=disable"+options)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, query string, args ...any) string {
	t.Helper()
	tag, err := conn.Exec(t.Context(), query, args...)
	assert.NilError(t, err)
	return tag.String()
}

func hasSQLState(state string) func(error) cmp.Comparison {
	return func(err error) cmp.Comparison {
		return func() cmp.Result {
			var e *pgconn.PgError
			if errors.As(err, &e) && e.Code == state {
				return cmp.ResultSuccess
			}
			return cmp.ResultFailure("want SQLSTATE " + state + ", got: " + errorText(err))
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}

func TestStatementsInEveryExecMode(t *testing.T) {
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			conn := dial(t, startPrimary(t), "&default_query_exec_mode="+mode)
			assert.Equal(t, exec(t, conn, "/* class=settlement */ INSERT INTO pay (key, value) VALUES ($1, $2)", "a", "it's"), "INSERT 0 1")
			assert.Equal(t, exec(t, conn, "INSERT INTO pay (key, value) VALUES ($1, $2) ON CONFLICT DO NOTHING", "a", "x"), "INSERT 0 0")
			_, err := conn.Exec(t.Context(), "INSERT INTO pay (key, value) VALUES ('a', 'x')")
			assert.Assert(t, hasSQLState("23505")(err))
			assert.Equal(t, exec(t, conn, "INSERT INTO pay (key, value) VALUES ('b', 'two')"), "INSERT 0 1")
			var value string
			assert.NilError(t, conn.QueryRow(t.Context(), "SELECT value FROM pay WHERE key=$1 -- end", "a").Scan(&value))
			assert.Equal(t, value, "it's")
			var count int64
			assert.NilError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM pay").Scan(&count))
			assert.Equal(t, count, int64(2))
			var one int32
			assert.NilError(t, conn.QueryRow(t.Context(), "SELECT 1").Scan(&one))
			assert.Equal(t, one, int32(1))
			assert.Equal(t, exec(t, conn, "UPDATE pay SET value=$1 WHERE key=$2", "new", "a"), "UPDATE 1")
			assert.Equal(t, exec(t, conn, "DELETE FROM pay WHERE key=$1", "none"), "DELETE 0")
			rows, err := conn.Query(t.Context(), "SELECT key, value FROM pay")
			assert.NilError(t, err)
			got := map[string]string{}
			var key string
			_, err = pgx.ForEachRow(rows, []any{&key, &value}, func() error { got[key] = value; return nil })
			assert.NilError(t, err)
			assert.DeepEqual(t, got, map[string]string{"a": "new", "b": "two"})
			_, err = conn.Exec(t.Context(), "CREATE TABLE x (y int)")
			assert.Assert(t, hasSQLState("42601")(err))
		})
	}
}

func TestTransactionStatusAndIsolation(t *testing.T) {
	in := startPrimary(t)
	a, b := dial(t, in, ""), dial(t, in, "")
	exec(t, a, "BEGIN")
	assert.Equal(t, a.PgConn().TxStatus(), byte('T'))
	exec(t, a, "INSERT INTO k (key, value) VALUES ('x', '1')")
	var n int
	assert.NilError(t, a.QueryRow(t.Context(), "SELECT count(*) FROM k").Scan(&n))
	assert.Equal(t, n, 1, "own writes are visible")
	assert.NilError(t, b.QueryRow(t.Context(), "SELECT count(*) FROM k").Scan(&n))
	assert.Equal(t, n, 0, "uncommitted writes of others are not visible")
	_, err := a.Exec(t.Context(), "INSERT INTO k (key, value) VALUES ('x', '2')")
	assert.Assert(t, hasSQLState("23505")(err))
	assert.Equal(t, a.PgConn().TxStatus(), byte('E'))
	_, err = a.Exec(t.Context(), "SELECT 1")
	assert.Assert(t, hasSQLState("25P02")(err))
	assert.Equal(t, exec(t, a, "COMMIT"), "ROLLBACK")
	assert.Equal(t, a.PgConn().TxStatus(), byte('I'))
	assert.Equal(t, len(in.Rows("k")), 0)
}

func TestMultiStatementSimpleQueryIsOneTransaction(t *testing.T) {
	in := startPrimary(t)
	conn := dial(t, in, "")
	_, err := conn.PgConn().Exec(t.Context(), "INSERT INTO k (key, value) VALUES ('x','1'); INSERT INTO k (key, value) VALUES ('x','2')").ReadAll()
	assert.Assert(t, hasSQLState("23505")(err))
	assert.Equal(t, len(in.Rows("k")), 0)
	results, err := conn.PgConn().Exec(t.Context(), "BEGIN; INSERT INTO k (key, value) VALUES ('x','1'); COMMIT; SELECT * FROM amaranthweir.status()").ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, len(results), 4)
	assert.Equal(t, string(results[3].Rows[0][2]), "1")
}

func TestConflictingWriterWaitsForTheLock(t *testing.T) {
	in := startPrimary(t)
	a, b := dial(t, in, ""), dial(t, in, "")
	exec(t, a, "BEGIN")
	exec(t, a, "INSERT INTO k (key, value) VALUES ('x', 'a')")
	done := make(chan error, 1)
	go func() {
		_, err := b.Exec(t.Context(), "INSERT INTO k (key, value) VALUES ('x', 'b')")
		done <- err
	}()
	exec(t, a, "INSERT INTO k (key, value) VALUES ('y', 'a')")
	exec(t, a, "COMMIT")
	assert.Assert(t, hasSQLState("23505")(<-done))
	assert.DeepEqual(t, in.Rows("k"), map[string]string{"x": "a", "y": "a"})
}

func TestDeadlockIsDetected(t *testing.T) {
	in := startPrimary(t)
	a, b := dial(t, in, ""), dial(t, in, "")
	exec(t, a, "BEGIN; INSERT INTO k (key, value) VALUES ('x', 'a')")
	exec(t, b, "BEGIN; INSERT INTO k (key, value) VALUES ('y', 'b')")
	errs := make(chan error, 2)
	insert := func(conn *pgx.Conn, key string) {
		_, err := conn.Exec(t.Context(), "INSERT INTO k (key, value) VALUES ($1, 'c')", key)
		_ = conn.Close(t.Context())
		errs <- err
	}
	go insert(a, "y")
	go insert(b, "x")
	first, second := <-errs, <-errs
	if first == nil {
		first, second = second, first
	}
	assert.Assert(t, hasSQLState("40P01")(first))
	assert.NilError(t, second)
}

func TestDatabaseSQLAndSettings(t *testing.T) {
	in := startPrimary(t)
	db, err := sql.Open("pgx", "postgres://u@"+in.Address()+"/ledger?sslmode=disable")
	assert.NilError(t, err)
	defer db.Close()
	assert.NilError(t, db.PingContext(t.Context()))
	tx, err := db.BeginTx(t.Context(), &sql.TxOptions{Isolation: sql.LevelSerializable})
	assert.NilError(t, err)
	_, err = tx.Exec("INSERT INTO k (key, value) VALUES ($1, $2)", "x", "1")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit())
	conn := dial(t, in, "")
	exec(t, conn, "SET amaranthweir.session TO 'token'")
	var shown string
	assert.NilError(t, conn.QueryRow(t.Context(), "SHOW amaranthweir.session").Scan(&shown))
	assert.Equal(t, shown, "token")
	exec(t, conn, "DISCARD ALL")
	_, err = conn.Exec(t.Context(), "SHOW amaranthweir.session", pgx.QueryExecModeSimpleProtocol)
	assert.Assert(t, hasSQLState("42704")(err))
}

func TestSlotsAreGrantedInOrder(t *testing.T) {
	in := start(t, func(c *standin.Config) { c.Primary, c.Slots = true, 2 })
	var sleepers []*pgx.Conn
	errs := make(chan error, 3)
	for i := range 3 {
		conn := dial(t, in, "")
		sleepers = append(sleepers, conn)
		go func() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(3600)")
			errs <- err
		}()
		waitFor(t, func() bool { s := in.Stats(); return s.Running+s.Waiting == i+1 })
	}
	assert.Equal(t, in.Stats().Running, 2)
	assert.Equal(t, in.Stats().Waiting, 1)
	for i := range 3 {
		assert.NilError(t, sleepers[i].PgConn().CancelRequest(t.Context()))
		assert.Assert(t, hasSQLState("57014")(<-errs))
	}
	assert.Equal(t, in.Stats().MaxRunning, 2)
}

func TestConnectionLimit(t *testing.T) {
	in := start(t, func(c *standin.Config) { c.Connections = 2 })
	dial(t, in, "")
	second := dial(t, in, "")
	_, err := pgx.Connect(t.Context(), "postgres://u@"+in.Address()+"/x?sslmode=disable")
	assert.Assert(t, hasSQLState("53300")(err))
	dial(t, in, "&application_name="+standin.PlatformName)
	assert.NilError(t, second.Close(t.Context()))
	waitFor(t, func() bool { return in.Stats().Open == 1 })
	dial(t, in, "")
	assert.Equal(t, in.Stats().MaxOpen, 2)
}

func TestReplicaRefusesWrites(t *testing.T) {
	in := start(t, nil)
	assert.Equal(t, in.Role(), table.RoleReplica)
	_, err := dial(t, in, "").Exec(t.Context(), "INSERT INTO k (key, value) VALUES ('x', '1')")
	assert.Assert(t, hasSQLState("25006")(err))
}

// waitFor polls until condition returns true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(pollDelay))
}

const pollDelay = time.Millisecond
