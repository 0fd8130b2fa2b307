package sql

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	literal := func(text string) Operand { return Operand{Text: text} }
	cases := map[string]*Statement{
		"/* class=x /* nested */ */ select 1 -- end": {Kind: Literal, Value: literal("1")},
		`INSERT INTO "Pay" (key, value) VALUES ('it''s', $2) ON CONFLICT (key) DO NOTHING;`: {
			Kind: Insert, Table: "Pay", HasKey: true, Key: literal("it's"),
			Value: Operand{Param: 2}, IgnoreConflict: true, Params: []Type{Text, Text},
		},
		"UPDATE s.t SET value='1' WHERE key=$1": {
			Kind: Update, Table: "s.t", HasKey: true, Key: Operand{Param: 1}, Value: literal("1"), Params: []Type{Text},
		},
		"DELETE FROM t WHERE key='a'":               {Kind: Delete, Table: "t", HasKey: true, Key: literal("a")},
		"SELECT key, value FROM t ORDER BY key":     {Kind: Select, Table: "t", Columns: []string{"key", "value"}},
		"SELECT value FROM t WHERE key='a'":         {Kind: Select, Table: "t", Columns: []string{"value"}, HasKey: true, Key: literal("a")},
		"SELECT count(*) FROM t":                    {Kind: Count, Table: "t"},
		"SELECT pg_sleep($1)":                       {Kind: Call, Function: Sleep, Args: []Operand{{Param: 1}}, Params: []Type{Float}},
		"SELECT * FROM amaranthweir.status()":       {Kind: Call, Function: Status},
		"SELECT amaranthweir.promote(7)":            {Kind: Call, Function: Promote, Args: []Operand{literal("7")}},
		"SELECT amaranthweir.fence(7, 3)":           {Kind: Call, Function: Fence, Args: []Operand{literal("7"), literal("3")}},
		"START TRANSACTION READ ONLY":               {Kind: Begin, ReadOnly: true},
		"begin isolation level serializable":        {Kind: Begin},
		"END":                                       {Kind: Commit},
		"ROLLBACK WORK":                             {Kind: Rollback},
		"SET SESSION amaranthweir.session TO 'tok'": {Kind: Set, Name: "amaranthweir.session", Value: literal("tok")},
		"SET client_encoding = utf8":                {Kind: Set, Name: "client_encoding", Value: literal("utf8")},
		"RESET ALL":                                 {Kind: Reset, Name: "all"},
		"SHOW x":                                    {Kind: Show, Name: "x"},
		"DISCARD ALL":                               {Kind: Discard},
		"DEALLOCATE PREPARE p":                      {Kind: Deallocate, Name: "p"},
	}
	for query, want := range cases {
		got, err := Parse(query)
		assert.NilError(t, err, query)
		assert.DeepEqual(t, got, []*Statement{want})
	}
}

func TestParseCountsStatements(t *testing.T) {
	for query, want := range map[string]int{"": 0, " -- ping": 0, ";;": 0, "BEGIN; SELECT 1;; COMMIT": 3} {
		got, err := Parse(query)
		assert.NilError(t, err, query)
		assert.Equal(t, len(got), want, query)
	}
}

func TestParseRefusesOtherStatements(t *testing.T) {
	for _, query := range []string{
		"CREATE TABLE t (x int)", "SELECT", "SELECT x FROM t", "SELECT version()", "SELECT 1 1",
		"SELECT value FROM t WHERE key=$0", "SELECT value FROM t WHERE key=$17", "SELECT $",
		"INSERT INTO t (key) VALUES ('a')", "UPDATE t SET value='1'", "/* open", "SELECT 'open",
		"SET x TO $1", "BEGIN SLOWLY", "DISCARD TEMP", "SELECT * FROM t", "SELECT amaranthweir.fence(1)",
	} {
		_, err := Parse(query)
		var syntax *SyntaxError
		assert.Assert(t, errors.As(err, &syntax), query)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("/* class=x */ INSERT INTO t (key, value) VALUES ($1, 'it''s') ON CONFLICT DO NOTHING; COMMIT")
	f.Add("SELECT * FROM amaranthweir.status() -- \x00\xff")
	f.Fuzz(func(t *testing.T, query string) {
		statements, err := Parse(query)
		var syntax *SyntaxError
		if err != nil && !errors.As(err, &syntax) {
			t.Fatalf("%q: not a syntax error: %v", query, err)
		}
		for _, st := range statements {
			if len(st.Params) > MaxParams {
				t.Fatalf("%q: %d parameters", query, len(st.Params))
			}
		}
	})
}
