package statement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRead checks where texts are split and how the statements are classified.
func TestRead(t *testing.T) {
	kinds := func(sql string) []Kind {
		var ks []Kind
		for _, s := range Parse(sql).Statements {
			ks = append(ks, s.Kind)
		}
		return ks
	}
	for _, c := range []struct {
		sql  string
		want []Kind
	}{
		{"", nil},
		{" ; ;", nil},
		{"select 1", []Kind{Select}},
		{"/* a /* nested */ b */ begin", []Kind{Begin}},
		{"-- x\nCOMMIT AND CHAIN", []Kind{Commit}},
		{"BEGIN; insert into t values ('a;b'); COMMIT;", []Kind{Begin, Other, Commit}},
		{`select ";"; select 'it''s;' ; select e'\';'`, []Kind{Select, Select, Select}},
		{"select $$;$$; select $a$ ; $$ ; $a$", []Kind{Select, Select}},
		{"select $1; select a$b;select 2", []Kind{Select, Select, Select}},
		{"rollback to savepoint a", []Kind{Other}},
		{"rollback work to a; rollback", []Kind{Other, Rollback}},
		{"set local x = 1; set x = 1; set session authorization y", []Kind{SetLocal, Set, Unsupported}},
		{"copy t from stdin", []Kind{Unsupported}},
		{"create temp table x ()", []Kind{Unsupported}},
		{"create table x ()", []Kind{Other}},
		{"create or replace local temporary view x as select 1", []Kind{Unsupported}},
		{"create table x (temp int)", []Kind{Other}},
		{"select * into temp x from y; select temp into z from y", []Kind{Unsupported, Select}},
		{"select set_config('a', 'b', false); select pg_catalog.set_config('a','b',true)", []Kind{Unsupported, Unsupported}},
		{`select 'set_config', $$set_config$$ -- set_config`, []Kind{Select}},
		{`select "set_config"('a','b',false)`, []Kind{Unsupported}},
		{"with x as (select pg_advisory_lock(1)) select 1; select pg_advisory_xact_lock(1)", []Kind{Unsupported, Select}},
		{"set session role x; set session_authorization = x; set session x = 1", []Kind{Unsupported, Unsupported, Set}},
		{"insert into t values ('-- /* $$'); commit", []Kind{Other, Commit}},
		{"with x as (select 1) insert into t select * from x", []Kind{Other}},
		{"(select 1)", []Kind{Select}},
		{"'unclosed ; ", []Kind{Other}},
	} {
		assert.DeepEqual(t, kinds(c.sql), c.want)
	}
}

// Only a comment at the start of the text is read for tags.
func TestTags(t *testing.T) {
	got := Parse(" /* class=settlement request_id=a1 key=7 note */ insert into t values (1)")
	assert.DeepEqual(t, got.Tags, Tags{Class: "settlement", RequestID: "a1", Key: "7"})
	assert.Equal(t, got.Statements[0].Verb, "INSERT")
	assert.Equal(t, Parse("select 1 /* class=x */").Tags.Class, "")
}

// FuzzParse checks that Parse does not panic on any input.
func FuzzParse(f *testing.F) {
	f.Add("/* class=a */ select $$x$$; -- y")
	f.Fuzz(func(_ *testing.T, sql string) {
		Parse(sql)
	})
}

func BenchmarkRead(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Parse("/* class=ticket */ INSERT INTO tickets (key, value) VALUES ('2024-118', 'a lorry of husk')")
	}
}
