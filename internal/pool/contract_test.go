package pool

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pg/pgtest"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/stmt/stmttest"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
)

// protocol is an instance behind one implementation of Conn.
type protocol struct {
	dial Dialer
	// The units that the cases run, encoded as for the implementation: a read, a
	// write by itself, the opening of a transaction with a write, and its commit.
	read, write, open []byte
	commit            []byte
	settings          []string
	// kept reports whether the instance kept the write.
	kept func() bool
	// Faults of the instance: it loses the next answer of a write, answers
	// nothing any more, or ends.
	loseAnswer, silence, kill func()
}

// protocols are the implementations of Conn, each with a fresh instance.
var protocols = map[string]func(t *testing.T) *protocol{
	"postgresql": postgresql,
	"typed":      typedStatements,
}

func postgresql(t *testing.T) *protocol {
	up := startUpstream(t, nil)
	dial, err := DialSQL(up.Address(), upstream.Login{User: "u", Database: "ledger"}, 0, waittest.Patience)
	assert.NilError(t, err)
	const insert = "INSERT INTO k (key, value) VALUES ('w1', 'v')"
	return &protocol{
		dial:       dial,
		read:       pgtest.Encode(t, &pgproto3.Query{String: "SELECT 1"}),
		write:      pgtest.Encode(t, &pgproto3.Query{String: insert}),
		open:       pgtest.Encode(t, &pgproto3.Query{String: "BEGIN; " + insert}),
		commit:     pgtest.Encode(t, &pgproto3.Query{String: "COMMIT"}),
		settings:   []string{"SET my.a = '1'"},
		kept:       func() bool { return up.Rows("k")["w1"] == "v" },
		loseAnswer: func() { up.LoseAnswers(1) },
		silence:    up.SilenceOpen,
		kill:       up.Kill,
	}
}

func typedStatements(t *testing.T) *protocol {
	g, primary, _ := startGroup(t)
	unit := func(u stmt.Unit) []byte { return stmt.AppendUnit(nil, &u) }
	write := writeItem("w1", "apron", "red")
	return &protocol{
		dial:       DialStatements(target(primary), stmttest.Codec{}),
		read:       unit(stmt.Unit{Statement: readItem("apron")}),
		write:      unit(stmt.Unit{Statement: write, Writes: true}),
		open:       unit(stmt.Unit{Opens: stmt.Begin, Statement: write, Writes: true}),
		commit:     unit(stmt.Unit{Statement: stmt.Statement{Kind: stmt.Commit, ID: "c1", Text: "COMMIT"}, Writes: true}),
		settings:   []string{"suffix one"},
		kept:       func() bool { return g.Kept("w1") > 0 },
		loseAnswer: func() { primary.LoseAnswers(1) },
		silence:    func() { primary.Silence(true) },
		kill:       primary.Kill,
	}
}

// connect opens a connection that nothing but its context hurries.
func (p *protocol) connect(t *testing.T) Conn {
	t.Helper()
	c, err := p.dial(t.Context())
	assert.NilError(t, err)
	c.shared().reader.progress = waittest.Patience
	t.Cleanup(c.close)
	return c
}

// do runs one unit and returns its answer.
func (p *protocol) do(ctx context.Context, c Conn, unit []byte, settings ...string) (answer []byte, out Outcome, err error) {
	out, err = c.Run(ctx, time.Now().Add(waittest.Patience), &Exchange{
		Settings:     settings,
		KeepSettings: c.shared().txStatus != request.TxIdle,
		Messages:     unit,
		QueryMark:      true,
		BufferAnswer:         true,
		BufferLimit:    1 << 20,
		WriteAnswer:         func(part []byte) error { answer = append(answer, part...); return nil },
	})
	return answer, out, err
}

// The contract of Conn, for every protocol.
var contract = map[string]func(t *testing.T, p *protocol){
	"a write is answered with a position": func(t *testing.T, p *protocol) {
		c := p.connect(t)
		_, before, err := p.do(t.Context(), c, p.read)
		assert.NilError(t, err)
		answer, out, err := p.do(t.Context(), c, p.write, p.settings...)
		assert.NilError(t, err)
		assert.Assert(t, len(answer) > 0 && !out.Failed && out.HasMark)
		assert.Equal(t, out.TxStatus, request.TxIdle)
		assert.Assert(t, before.Mark.Less(out.Mark), "%v, then %v", before.Mark, out.Mark)
		assert.Assert(t, p.kept())
		assert.Assert(t, c.reusable() && c.fit())
	},
	"a transaction counts with its commit": func(t *testing.T, p *protocol) {
		c := p.connect(t)
		_, out, err := p.do(t.Context(), c, p.open)
		assert.NilError(t, err)
		assert.Equal(t, out.TxStatus, request.TxOpen)
		assert.Assert(t, !p.kept() && !c.reusable())
		_, out, err = p.do(t.Context(), c, p.commit)
		assert.NilError(t, err)
		assert.Equal(t, out.TxStatus, request.TxIdle)
		assert.Assert(t, p.kept() && c.reusable())
	},
	"a reset rolls back": func(t *testing.T, p *protocol) {
		c := p.connect(t)
		_, _, err := p.do(t.Context(), c, p.open)
		assert.NilError(t, err)
		if c.Reset(t.Context()) {
			assert.Assert(t, c.reusable())
		} else {
			c.close() // which rolls back too
		}
		_, _, err = p.do(t.Context(), p.connect(t), p.read)
		assert.NilError(t, err)
		assert.Assert(t, !p.kept())
	},
	"a lost answer leaves the outcome open": func(t *testing.T, p *protocol) {
		c := p.connect(t)
		p.loseAnswer()
		_, _, err := p.do(t.Context(), c, p.write)
		assert.Assert(t, errkind.Is(err, errkind.UpstreamLost), "%v", err)
		assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown)
		assert.Assert(t, p.kept(), "it has run")
		assert.Assert(t, !c.Reset(t.Context()))
	},
	"a silent instance ends with the context": func(t *testing.T, p *protocol) {
		c := p.connect(t)
		p.silence()
		ctx, stop := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, stop)
		_, _, err := p.do(ctx, c, p.write)
		assert.Assert(t, errkind.Is(err, errkind.Cancelled), "%v", err)
		assert.Assert(t, errkind.Of(err).Effect != errkind.NotRun, "it may run yet")
		assert.Assert(t, !c.Reset(t.Context()))
	},
	"an instance that ended shows on idle connections": func(t *testing.T, p *protocol) {
		c := p.connect(t)
		assert.Assert(t, c.fit())
		p.kill()
		waittest.Until(t, "the end", func() bool { return !c.fit() })
	},
	"an instance that has ended is not reached": func(t *testing.T, p *protocol) {
		p.kill()
		_, err := p.dial(t.Context())
		assert.Assert(t, err != nil)
	},
}

func TestContract(t *testing.T) {
	for name, start := range protocols {
		for rule, check := range contract {
			t.Run(name+"/"+rule, func(t *testing.T) { check(t, start(t)) })
		}
	}
}
