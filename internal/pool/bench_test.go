package pool

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/standin"
)

func benchPool(b *testing.B, openCost time.Duration) *Pool {
	b.Helper()
	cfg := standin.DefaultConfig("g1", "g1-a")
	cfg.Primary, cfg.OpenCost = true, openCost
	up, err := standin.Start(cfg)
	assert.NilError(b, err)
	p, err := New(config(up.Address(), nil))
	assert.NilError(b, err)
	b.Cleanup(func() {
		p.Close()
		_ = up.Close()
	})
	return p
}

// BenchmarkFit is the look at a connection before each use.
func BenchmarkFit(b *testing.B) {
	p := benchPool(b, 0)
	c, err := p.Get(b.Context())
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if !c.fit() {
			b.Fatal("not fit")
		}
	}
	p.Put(c)
}

// BenchmarkExchange is a statement over a connection that rests, beside a
// probe, and beside one over a new connection.
func BenchmarkExchange(b *testing.B) {
	buf, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	assert.NilError(b, err)
	x := &Exchange{Messages: buf, WriteAnswer: func([]byte) error { return nil }}
	for _, kind := range []string{"warm", "probe", "new"} {
		b.Run(kind, func(b *testing.B) {
			p := benchPool(b, 10*time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				c, err := p.Get(b.Context())
				assert.NilError(b, err)
				if kind == "probe" {
					assert.NilError(b, c.ping(b.Context(), time.Minute))
				} else {
					_, err = c.Run(b.Context(), time.Now().Add(time.Minute), x)
					assert.NilError(b, err)
				}
				if kind == "new" {
					p.Discard(c)
				} else {
					p.Put(c)
				}
			}
		})
	}
}
