package pool

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
	"github.com/amaranthweir/amaranthweir/internal/typedproto/typedtest"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
	"github.com/amaranthweir/amaranthweir/standin/typed"
)

// startGroup starts the group "g" with a primary and a replica.
func startGroup(t *testing.T) (g *typed.Group, primary, replica *typed.Instance) {
	t.Helper()
	g = typed.NewGroup("g", typedtest.Codec{})
	t.Cleanup(g.Close)
	var err error
	primary, err = g.Add("g-1", "127.0.0.1:0")
	assert.NilError(t, err)
	replica, err = g.Add("g-2", "127.0.0.1:0")
	assert.NilError(t, err)
	return g, primary, replica
}

func target(in *typed.Instance) dbedge.Target {
	return dbedge.Target{Group: "g", Instance: in.ID, Address: in.Address}
}

func openStatements(t *testing.T, in *typed.Instance) *StatementConn {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), waittest.Timeout)
	defer stop()
	c, err := OpenStatements(ctx, target(in), typedtest.Codec{})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	c.reader.silenceTimeout = waittest.Timeout
	return c
}

// do runs one statement and returns its answer and outcome. change, if not nil,
// may alter the exchange and the unit before they are sent.
func do(t *testing.T, c Conn, s typedproto.Statement, change func(*Exchange, *typedproto.Unit)) (typedproto.Answer, Outcome, error) {
	t.Helper()
	u := typedproto.Unit{Statement: s, Writes: s.Kind == typedproto.Write}
	var got []byte
	x := &Exchange{WriteAnswer: func(p []byte) error { got = append(got, p...); return nil }}
	if change != nil {
		change(x, &u)
	}
	x.Messages = typedproto.AppendUnit(nil, &u)
	out, err := c.Run(t.Context(), time.Now().Add(waittest.Timeout), x)
	if err != nil || got == nil {
		return typedproto.Answer{}, out, err
	}
	a, parseErr := typedproto.ParseAnswer(got)
	assert.NilError(t, parseErr)
	return a, out, nil
}

func readItem(item string) typedproto.Statement {
	return typedproto.Statement{Kind: typedproto.Read, ID: "r-" + item, Text: "READ " + item}
}

func writeItem(id, item, data string) typedproto.Statement {
	return typedproto.Statement{Kind: typedproto.Write, ID: id, Text: "WRITE " + item + " " + data}
}

// Answers carry the mark of the instance, and NoWrites is set in the outcome of a
// read but not of a write.
func TestStatementsReturnMark(t *testing.T) {
	_, primary, _ := startGroup(t)
	c := openStatements(t, primary)
	a, out, err := do(t, c, writeItem("w1", "apron", "red"), nil)
	assert.NilError(t, err)
	assert.Assert(t, a.Signature != "" && !out.NoWrites && out.HasMark)
	assert.Equal(t, out.Mark, table.Mark{Term: 1, Position: 1})
	a, out, err = do(t, c, readItem("apron"), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"red"})
	assert.Assert(t, out.NoWrites)
}

// Connecting fails if another instance than the expected one listens at the
// address.
func TestOpenStatementsChecksInstance(t *testing.T) {
	_, primary, _ := startGroup(t)
	_, err := OpenStatements(t.Context(), dbedge.Target{Group: "g", Instance: "g-9", Address: primary.Address}, typedtest.Codec{})
	assert.Assert(t, errkind.Is(err, errkind.UpstreamLost), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
}

// Settings and prepared statements of one session never apply to another session
// on the same connection.
func TestSettingsAndPreparedStatementsPerSession(t *testing.T) {
	_, primary, _ := startGroup(t)
	c := openStatements(t, primary)
	prepare := request.Prepare{Name: "aw1", Parse: typedproto.AppendPrepared(nil, "q1", false)}
	with := func(settings ...string) func(*Exchange, *typedproto.Unit) {
		return func(x *Exchange, _ *typedproto.Unit) { x.Settings = settings }
	}
	a, _, err := do(t, c, readItem("x"), with("suffix one"))
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"one"})
	a, _, err = do(t, c, readItem("x"), with("suffix two", "other v"))
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"two"})
	execute := typedproto.Statement{Kind: typedproto.Execute, ID: "e", Text: "EXECUTE mine x", Name: "aw1", Value: "x"}
	for range 2 {
		a, _, err = do(t, c, execute, func(x *Exchange, _ *typedproto.Unit) { x.Prepares = []request.Prepare{prepare} })
		assert.NilError(t, err)
		assert.DeepEqual(t, a.Rows, []string{""}) // no setting is in effect any more
	}
}

// A statement is not sent if its transaction could not be opened.
func TestStatementNeedsItsTransaction(t *testing.T) {
	g, _, replica := startGroup(t)
	c := openStatements(t, replica)
	opens := func(_ *Exchange, u *typedproto.Unit) { u.Opens = typedproto.Begin }
	_, out, err := do(t, c, writeItem("w1", "apron", "red"), opens)
	assert.Assert(t, errkind.Is(err, errkind.NoPrimary), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
	assert.Assert(t, out.ConnReusable, "the connection remains reusable")
	assert.Equal(t, g.RunCount("w1"), 0)
}

// A replica whose log has not reached the floor refuses a read without running it.
func TestLaggingReplicaRefusesRead(t *testing.T) {
	g, primary, replica := startGroup(t)
	g.Lag = time.Hour
	c := openStatements(t, replica)
	_, _, err := do(t, openStatements(t, primary), writeItem("w1", "apron", "red"), nil)
	assert.NilError(t, err)
	floor := func(x *Exchange, _ *typedproto.Unit) { x.Floor, x.HasFloor = table.Mark{Term: 1, Position: 1}, true }
	_, out, err := do(t, c, readItem("apron"), floor)
	assert.Assert(t, errkind.Is(err, errkind.StalenessUnprovable), "%v", err)
	assert.Assert(t, out.ConnReusable)
	assert.Equal(t, g.RunCount("r-apron"), 0)
	_, _, err = do(t, c, readItem("apron"), nil)
	assert.NilError(t, err)
}

// Reset rolls back the open transaction.
func TestResetRollsBack(t *testing.T) {
	g, primary, _ := startGroup(t)
	c := openStatements(t, primary)
	_, out, err := do(t, c, writeItem("w1", "apron", "red"), func(_ *Exchange, u *typedproto.Unit) { u.Opens = typedproto.Begin })
	assert.NilError(t, err)
	assert.Equal(t, out.TxStatus, request.TxOpen)
	assert.Assert(t, !c.isReusable())
	assert.Assert(t, c.Reset(t.Context()))
	assert.Equal(t, g.CommitCount("w1"), 0)
}

// A write whose answer is lost has an unknown effect.
func TestLostAnswerOfWriteIsUnknown(t *testing.T) {
	g, primary, _ := startGroup(t)
	c := openStatements(t, primary)
	primary.LoseAnswers(1)
	_, _, err := do(t, c, writeItem("w1", "apron", "red"), nil)
	assert.Assert(t, errkind.Is(err, errkind.UpstreamLost), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.Unknown)
	assert.Equal(t, g.CommitCount("w1"), 1)
	assert.Assert(t, !c.Reset(t.Context()))
}

// A busy instance refuses a statement without running it, and the connection
// remains reusable.
func TestBusyInstanceRefusesStatement(t *testing.T) {
	_, primary, _ := startGroup(t)
	c := openStatements(t, primary)
	primary.RefuseBusy(1)
	_, out, err := do(t, c, readItem("apron"), nil)
	assert.Assert(t, errkind.Is(err, errkind.UpstreamBusy), "%v", err)
	assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
	assert.Assert(t, out.ConnReusable)
}

// lineCodec cannot carry texts with a line feed, like a protocol of lines.
type lineCodec struct{ typedtest.Codec }

var errLineFeed = errors.New("a line feed")

func (c lineCodec) AppendStatement(dst []byte, s *typedproto.Statement, floor *table.Mark) ([]byte, error) {
	if strings.Contains(s.Text+s.Name+s.Value, "\n") {
		return dst, errLineFeed
	}
	return c.Codec.AppendStatement(dst, s, floor)
}

// A text that the protocol cannot carry is refused as not run. Nothing is sent for it,
// and no setting counts as in effect that the instance was never given.
func TestTextsThatCannotBeSent(t *testing.T) {
	g, primary, _ := startGroup(t)
	c := openStatements(t, primary)
	c.codec = lineCodec{}
	notRun := func(err error) {
		t.Helper()
		assert.Assert(t, errors.Is(err, errLineFeed) && errkind.Is(err, errkind.BadRequest), "%v", err)
		assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun)
	}
	_, out, err := do(t, c, writeItem("w1", "apron", "red\nWRITE cap 0"), func(_ *Exchange, u *typedproto.Unit) { u.Opens = typedproto.Begin })
	notRun(err)
	assert.Assert(t, out.ConnReusable && c.isReusable(), "no transaction was opened")
	assert.Equal(t, g.RunCount("w1"), 0)
	_, _, err = do(t, c, writeItem("w2", "apron", "red"), nil)
	assert.NilError(t, err)

	_, out, err = do(t, c, readItem("apron"), func(x *Exchange, _ *typedproto.Unit) { x.Settings = []string{"suffix one", "other a\nb"} })
	notRun(err)
	assert.Assert(t, !out.ConnReusable && !c.isReusable())
	assert.Equal(t, g.RunCount("r-apron"), 0)
}
