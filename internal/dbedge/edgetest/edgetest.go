// Package edgetest holds contract tests of the platform interfaces: one for
// Prober, Promoter and Fencer over the PostgreSQL protocol, and one for Announcer.
package edgetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Client is the implementation under test.
type Client interface {
	dbedge.Prober
	dbedge.Promoter
	dbedge.Fencer
}

// Fixture is a group of two instances, fresh for each case.
type Fixture struct {
	Client Client
	// Primary and Replica are the addresses of the instances. The replica has
	// caught up with the primary.
	Primary, Replica string
	// Term is the current term of the primary.
	Term table.Term
	// Freeze makes the instance at an address stop answering; Thaw undoes that.
	Freeze, Thaw func(address string)
	// Silence makes the open connections of an instance drop all data. New
	// connections work.
	Silence func(address string)
}

// Factory creates a fixture that is cleaned up when t ends.
type Factory func(t *testing.T) *Fixture

const (
	// frozenTimeout is the deadline of calls that get no answer.
	frozenTimeout = 20 * time.Millisecond
	// ownerEpoch is the epoch of the current owner in the cases.
	ownerEpoch table.Epoch = 5
)

// Run runs all cases of the contract, each with a new fixture.
func Run(t *testing.T, factory Factory) {
	cases := map[string]func(*testing.T, *Fixture){
		"probe of primary and replica":             probeRoles,
		"calls to a frozen instance time out":      frozenTimesOut,
		"silent idle connection is replaced":       silentReplaced,
		"promote is idempotent":                    promoteIdempotent,
		"a stale term is refused":                  staleTermRefused,
		"a fenced candidate can be promoted":       fencedCandidate,
		"fence stops a running write":              fenceStopsWrite,
		"fence closes connections of lower epochs": fenceClosesEpochs,
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, factory(t)) })
	}
}

// at returns the target with the given address.
func at(address string) dbedge.Target { return dbedge.Target{Address: address} }

func probeRoles(t *testing.T, f *Fixture) {
	for address, role := range map[string]table.Role{f.Primary: table.RolePrimary, f.Replica: table.RoleReplica} {
		st, err := f.Client.Probe(t.Context(), at(address))
		assert.NilError(t, err)
		assert.Equal(t, st.Role, role)
		assert.Equal(t, st.Mark.Term, f.Term)
		assert.Assert(t, st.TermStart <= st.Mark.Position)
	}
	before, err := f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
	assert.NilError(t, insert(t, open(t, f.Primary, ownerEpoch), "probe"))
	after, err := f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
	assert.Assert(t, before.Mark.Less(after.Mark), "a commit advances the mark")
}

func frozenTimesOut(t *testing.T, f *Fixture) {
	_, err := f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
	f.Freeze(f.Primary)
	calls := map[string]func(context.Context) error{
		"probe": func(ctx context.Context) error { _, err := f.Client.Probe(ctx, at(f.Primary)); return err },
		"promote": func(ctx context.Context) error {
			_, err := f.Client.Promote(ctx, dbedge.Promotion{Target: at(f.Primary), Term: f.Term})
			return err
		},
		"fence": func(ctx context.Context) error { return f.Client.Fence(ctx, at(f.Primary), f.Term, 0) },
	}
	for name, call := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), frozenTimeout)
		err := call(ctx)
		cancel()
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%s: %v", name, err)
	}
	f.Thaw(f.Primary)
	_, err = f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
}

func silentReplaced(t *testing.T, f *Fixture) {
	_, err := f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
	f.Silence(f.Primary)
	_, err = f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
}

func promoteIdempotent(t *testing.T, f *Fixture) {
	first, err := f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Replica), Term: f.Term + 1})
	assert.NilError(t, err)
	assert.Equal(t, first.Role, table.RolePrimary)
	assert.Equal(t, first.Mark.Term, f.Term+1)
	assert.NilError(t, insert(t, open(t, f.Replica, ownerEpoch), "after"))
	second, err := f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Replica), Term: f.Term + 1})
	assert.NilError(t, err)
	assert.Equal(t, second.TermStart, first.TermStart, "the repeated call does not change the start of the term")
	assert.Assert(t, first.Mark.Less(second.Mark))
}

func staleTermRefused(t *testing.T, f *Fixture) {
	_, err := f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Replica), Term: f.Term})
	assert.Assert(t, errors.Is(err, dbedge.ErrStaleTerm), "replica promoted in the term of its primary: %v", err)
	_, err = f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Replica), Term: f.Term + 2})
	assert.NilError(t, err)
	_, err = f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Replica), Term: f.Term + 1})
	assert.Assert(t, errors.Is(err, dbedge.ErrStaleTerm), "primary of a later term: %v", err)
	assert.NilError(t, f.Client.Fence(t.Context(), at(f.Primary), f.Term+2, 0))
	_, err = f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Primary), Term: f.Term + 1})
	assert.Assert(t, errors.Is(err, dbedge.ErrStaleTerm), "instance fenced against the term: %v", err)
}

func fencedCandidate(t *testing.T, f *Fixture) {
	assert.NilError(t, f.Client.Fence(t.Context(), at(f.Replica), f.Term+1, ownerEpoch))
	st, err := f.Client.Promote(t.Context(), dbedge.Promotion{Target: at(f.Replica), Term: f.Term + 1})
	assert.NilError(t, err)
	assert.Equal(t, st.Role, table.RolePrimary)
}

func fenceStopsWrite(t *testing.T, f *Fixture) {
	before, err := f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
	conn := open(t, f.Primary, ownerEpoch)
	_, err = conn.Exec(t.Context(), "BEGIN").ReadAll()
	assert.NilError(t, err)
	assert.NilError(t, insert(t, conn, "running"))
	assert.NilError(t, f.Client.Fence(t.Context(), at(f.Primary), f.Term+1, ownerEpoch))
	_, err = conn.Exec(t.Context(), "COMMIT").ReadAll()
	assert.Equal(t, sqlstate(err), "25006", "the running write")
	assert.Equal(t, sqlstate(insert(t, open(t, f.Primary, ownerEpoch), "new")), "25006", "a new write")
	after, err := f.Client.Probe(t.Context(), at(f.Primary))
	assert.NilError(t, err)
	assert.Equal(t, after.Mark, before.Mark, "nothing was committed")
	assert.Equal(t, after.Role, table.RoleReplica, "a fenced primary accepts no write")
}

func fenceClosesEpochs(t *testing.T, f *Fixture) {
	old := open(t, f.Primary, ownerEpoch-1)
	_, err := old.Exec(t.Context(), "BEGIN").ReadAll()
	assert.NilError(t, err)
	assert.NilError(t, insert(t, old, "old"))
	current := open(t, f.Primary, ownerEpoch)
	assert.NilError(t, f.Client.Fence(t.Context(), at(f.Primary), f.Term, ownerEpoch))
	_, err = old.Exec(t.Context(), "COMMIT").ReadAll()
	assert.Assert(t, err != nil, "the connection of the old epoch is closed")
	assert.NilError(t, insert(t, current, "old"), "the lock and the write of the old epoch are rolled back")
}

// open opens a connection as an owner with the given epoch does.
func open(t *testing.T, address string, epoch table.Epoch) *pgconn.PgConn {
	t.Helper()
	url := fmt.Sprintf("postgres://owner@%s/contract?sslmode=disable&application_name=amaranthweir/%d", address, epoch)
	conn, err := pgconn.Connect(t.Context(), url)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) }) // a fence may have closed it
	return conn
}

// insert writes one row with the given key.
func insert(t *testing.T, conn *pgconn.PgConn, key string) error {
	t.Helper()
	_, err := conn.Exec(t.Context(), "INSERT INTO contract (key, value) VALUES ('"+key+"', '1')").ReadAll()
	return err
}

// sqlstate returns the SQLSTATE of an error of the instance, or the text of any
// other error.
func sqlstate(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}
