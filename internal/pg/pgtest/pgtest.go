// Package pgtest provides helpers for tests of the PostgreSQL protocol.
package pgtest

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Encode returns the wire encoding of caller messages.
func Encode(t testing.TB, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var buf []byte
	for _, m := range messages {
		var err error
		buf, err = m.Encode(buf)
		assert.NilError(t, err)
	}
	return buf
}
