package typedproto

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Units, answers and prepared statements are equal after encoding and decoding.
func TestEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String()
		u := Unit{
			Opens:  rapid.SampledFrom([]Kind{None, Begin, BeginRead}).Draw(t, "opens"),
			Writes: rapid.Bool().Draw(t, "writes"),
			Statement: Statement{
				Kind: Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")),
				ID:   text.Draw(t, "id"), Text: text.Draw(t, "text"),
				Name: text.Draw(t, "name"), Value: text.Draw(t, "value"),
				Writes: rapid.Bool().Draw(t, "prepares a write"),
				Term:   table.Term(rapid.Uint64().Draw(t, "term")),
			},
		}
		decoded, err := ParseUnit(AppendUnit(nil, &u))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, u)

		a := Answer{
			Rows: rapid.SliceOfN(text, 1, 5).Draw(t, "rows"), Signature: text.Draw(t, "signature"),
			Code: Code(rapid.IntRange(0, int(codeCount)-1).Draw(t, "code")), Text: text.Draw(t, "why"),
		}
		answer, err := ParseAnswer(AppendAnswer(nil, &a))
		assert.NilError(t, err)
		assert.DeepEqual(t, answer, a)

		shape, writes, err := ParsePrepared(AppendPrepared(nil, u.Statement.Value, u.Writes))
		assert.NilError(t, err)
		assert.Equal(t, shape, u.Statement.Value)
		assert.Equal(t, writes, u.Writes)
	})
}

// Truncated units and answers, and units with trailing data, are rejected.
func TestTruncatedInputIsRejected(t *testing.T) {
	u := AppendUnit(nil, &Unit{Statement: Statement{Kind: Read, ID: "1", Text: "READ a"}})
	a := AppendAnswer(nil, &Answer{Rows: []string{"row"}, Signature: "s"})
	for n := range u {
		_, err := ParseUnit(u[:n])
		assert.Assert(t, err != nil, "%d bytes of a unit", n)
	}
	for n := range a {
		_, err := ParseAnswer(a[:n])
		assert.Assert(t, err != nil, "%d bytes of an answer", n)
	}
	_, err := ParseUnit(append(u, 0))
	assert.Assert(t, err != nil, "trailing data")
}

// FuzzParse checks that whatever decodes can be encoded and decoded again.
func FuzzParse(f *testing.F) {
	f.Add(AppendUnit(nil, &Unit{Opens: Begin, Statement: Statement{Kind: Write, ID: "1", Text: "WRITE a b"}}))
	f.Add(AppendAnswer(nil, &Answer{Code: CodeBusy, Text: "no room"}))
	f.Fuzz(func(t *testing.T, src []byte) {
		if u, err := ParseUnit(src); err == nil {
			decoded, err := ParseUnit(AppendUnit(nil, &u))
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, u)
		}
		if a, err := ParseAnswer(src); err == nil {
			decoded, err := ParseAnswer(AppendAnswer(nil, &a))
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, a)
		}
	})
}
