package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

const (
	// readBufferBytes is enough for a typical answer of an instance.
	readBufferBytes = 2 << 10
	// resetTimeout bounds the rollback in Reset.
	resetTimeout = 250 * time.Millisecond
	// terminateTimeout bounds the wait for an instance to close its end of a
	// connection. A request may wait for the room.
	terminateTimeout = 50 * time.Millisecond
)

// StatementConn is a connection that speaks a protocol with typed statements.
type StatementConn struct {
	*baseConn
	codec    typedproto.UpstreamCodec
	readBuf  *bufio.Reader
	prepared map[string]struct{}
	settings map[string]string // in effect on the connection
	// mark is the latest mark in an answer, if hasMark is set.
	mark    table.Mark
	hasMark bool
}

// DialStatements returns a Dialer for an instance that speaks a protocol with
// typed statements.
func DialStatements(t dbedge.Target, codec typedproto.UpstreamCodec) Dialer {
	return func(ctx context.Context, workspace string) (Conn, error) {
		c, err := dialStatements(ctx, t, codec, workspace)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// OpenStatements opens one connection for the proxy itself. It fails if the address
// now belongs to another instance.
func OpenStatements(ctx context.Context, t dbedge.Target, codec typedproto.UpstreamCodec) (*StatementConn, error) {
	return dialStatements(ctx, t, codec, "")
}

// dialStatements is OpenStatements on behalf of a workspace.
func dialStatements(ctx context.Context, t dbedge.Target, codec typedproto.UpstreamCodec, workspace string) (*StatementConn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	b := newBaseConn(nc)
	c := &StatementConn{
		baseConn: b,
		codec:    codec,
		readBuf:  bufio.NewReaderSize(b.reader, readBufferBytes),
		prepared: map[string]struct{}{},
		settings: map[string]string{},
	}
	if err := c.startup(ctx, t, workspace); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// startup sends the startup message and checks its answer.
func (c *StatementConn) startup(ctx context.Context, t dbedge.Target, workspace string) error {
	deadline, _ := ctx.Deadline()
	defer c.watchContext(ctx, deadline, DefaultSilenceTimeout)()
	buf, err := c.codec.AppendStartup(nil, typedproto.InstanceStartup{Group: t.Group, Workspace: workspace, Instance: t.Instance})
	if err != nil {
		return notCarried(err)
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	a, err := c.receive()
	if err != nil {
		return err
	}
	if a.Code != typedproto.CodeNone {
		return refusalError(&a)
	}
	return nil
}

// notCarried returns the error for a text that the protocol cannot carry. Nothing of the
// message was sent.
func notCarried(err error) error {
	return errkind.Wrap(err, errkind.BadRequest, "%v", err).WithEffect(errkind.NotRun)
}

// refusalError returns the error for a refused statement, with the effect NotRun.
// It must not be used for a statement of a caller that may have run.
func refusalError(a *typedproto.Answer) *errkind.Error {
	kind := errkind.UpstreamBusy
	switch a.Code {
	case typedproto.CodeLagging:
		kind = errkind.StalenessUnprovable
	case typedproto.CodeReadOnly:
		kind = errkind.NoPrimary
	case typedproto.CodeWrongInstance, typedproto.CodeNoStatement, typedproto.CodeMalformed:
		kind = errkind.UpstreamLost
	}
	return errkind.New(kind, "the instance said %s", a.Text).WithEffect(errkind.NotRun)
}

// notRun reports whether a failure code guarantees that the statement did not
// run.
func notRun(code typedproto.Code) bool {
	switch code {
	case typedproto.CodeNone, typedproto.CodeFailed, typedproto.CodeTimeout, typedproto.CodeInDoubt:
		return false
	}
	return true
}

// Run implements Conn.
func (c *StatementConn) Run(ctx context.Context, deadline time.Time, x *Exchange) (Outcome, error) {
	u, err := typedproto.ParseUnit(x.Messages)
	if err != nil {
		return Outcome{TxStatus: c.txStatus, ConnReusable: true}, err
	}
	if x.KeepSettings && !c.isHealthy() { // the pool's check may be long ago
		c.mustClose, c.disconnected = true, true
		return Outcome{}, upstreamLost(errUpstreamClosed, false)
	}
	defer c.watchContext(ctx, deadline, c.reader.silenceTimeout)()
	var floor *table.Mark
	if x.HasFloor {
		floor = &x.Floor
	}
	statementFloor := floor
	if u.Opens != typedproto.None || u.Statement.Kind == typedproto.Commit {
		statementFloor = nil // the statement that opened the transaction carried the floor
	}
	// Encoded first, so that no transaction is opened for it in vain.
	message, err := c.codec.AppendStatement(nil, &u.Statement, statementFloor)
	if err != nil {
		return Outcome{TxStatus: c.txStatus, ConnReusable: true}, notCarried(err)
	}
	if out, err := c.setUp(ctx, x, u.Opens, floor); err != nil {
		return out, err
	}
	if n, err := c.send(message); err != nil {
		return Outcome{}, exchangeError(ctx, err, n > 0)
	}
	a, err := c.receive()
	if err != nil {
		return Outcome{}, exchangeError(ctx, err, true)
	}
	c.usedAt = c.answeredAt
	return c.outcome(x, &u, &a)
}

// outcome passes an answer to WriteAnswer, or returns a refusal as an error.
func (c *StatementConn) outcome(x *Exchange, u *typedproto.Unit, a *typedproto.Answer) (Outcome, error) {
	out := Outcome{
		TxStatus: c.txStatus,
		Mark:     c.mark,
		HasMark:  c.hasMark,
		Failed:   a.Code != typedproto.CodeNone,
		NoWrites: !u.Writes,
	}
	if notRun(a.Code) {
		if a.Code == typedproto.CodeNoStatement {
			clear(c.prepared)
		}
		out.ConnReusable = c.txStatus == request.TxIdle
		return out, refusalError(a)
	}
	if !out.Failed {
		out.Tag = a.Signature
	}
	return out, x.WriteAnswer(typedproto.AppendAnswer(nil, a))
}

// setUp applies the settings and prepares the statements that the exchange needs,
// and opens its transaction. The caller's statement is sent only after all of
// that has succeeded, so that it never runs outside its transaction or under
// other settings.
func (c *StatementConn) setUp(ctx context.Context, x *Exchange, opens typedproto.Kind, floor *table.Mark) (Outcome, error) {
	buf, count, err := c.appendSetup(x, c.writeBuf[:0])
	if err == nil && opens != typedproto.None {
		buf, err = c.codec.AppendStatement(buf, &typedproto.Statement{Kind: opens}, floor)
		count++
	}
	if err != nil {
		c.mustClose = true // it lacks settings and prepared statements that it counts as in effect
		return Outcome{TxStatus: c.txStatus}, notCarried(err)
	}
	if count == 0 {
		return Outcome{}, nil
	}
	if _, err := c.send(buf); err != nil {
		return Outcome{}, exchangeError(ctx, err, false)
	}
	var refused *typedproto.Answer
	for range count {
		a, err := c.receive()
		if err != nil {
			return Outcome{}, withNotRun(exchangeError(ctx, err, false))
		}
		if a.Code != typedproto.CodeNone && refused == nil {
			refused = &a
		}
		c.awaitingAnswer = true // until the last answer
	}
	c.awaitingAnswer = false
	if refused == nil {
		return Outcome{}, nil
	}
	if opens == typedproto.None || count > 1 {
		c.mustClose = true // it is unknown which settings and prepared statements are in effect
	}
	out := Outcome{TxStatus: c.txStatus, ConnReusable: !c.mustClose && c.txStatus == request.TxIdle, Mark: c.mark, HasMark: c.hasMark}
	return out, refusalError(refused)
}

// withNotRun returns err with the effect NotRun, for failures before a statement
// of the caller was sent.
func withNotRun(err error) error { return errkind.Of(err).WithEffect(errkind.NotRun) }

// appendSetup appends the statements that give the connection the settings and
// prepared statements that x needs. It returns the buffer and the number of
// statements appended.
func (c *StatementConn) appendSetup(x *Exchange, buf []byte) ([]byte, int, error) {
	count := 0
	var err error
	if c.hasExtraSetting(x.Settings) {
		if buf, err = c.codec.AppendStatement(buf, &typedproto.Statement{Kind: typedproto.Discard}, nil); err != nil {
			return nil, 0, err
		}
		count++
		clear(c.settings)
		clear(c.prepared)
	}
	for _, s := range x.Settings {
		name, value, _ := strings.Cut(s, " ")
		if old, ok := c.settings[name]; ok && old == value {
			continue
		}
		if buf, err = c.codec.AppendStatement(buf, &typedproto.Statement{Kind: typedproto.Set, Name: name, Value: value}, nil); err != nil {
			return nil, 0, err
		}
		count++
		c.settings[name] = value
	}
	for _, p := range x.Prepares {
		if _, ok := c.prepared[p.Name]; ok {
			continue
		}
		shape, writes, err := typedproto.ParsePrepared(p.Parse)
		if err != nil {
			return nil, 0, err
		}
		prepare := typedproto.Statement{Kind: typedproto.Prepare, Name: p.Name, Value: shape, Writes: writes}
		if buf, err = c.codec.AppendStatement(buf, &prepare, nil); err != nil {
			return nil, 0, err
		}
		count++
		c.prepared[p.Name] = struct{}{}
	}
	return buf, count, nil
}

// hasExtraSetting reports whether a setting is in effect that want does not
// contain.
func (c *StatementConn) hasExtraSetting(want []string) bool {
	for name := range c.settings {
		if !slices.ContainsFunc(want, func(s string) bool { return settingName(s) == name }) {
			return true
		}
	}
	return false
}

// settingName returns the name in a setting of the form "name value".
func settingName(setting string) string {
	name, _, _ := strings.Cut(setting, " ")
	return name
}

// receive reads one answer and records the transaction status and mark in it.
// After an error, the connection must be closed.
func (c *StatementConn) receive() (typedproto.Answer, error) {
	a, err := c.codec.ReadAnswer(c.readBuf)
	if err != nil {
		c.recordError(err)
		return a, err
	}
	if a.TxStatus != 0 {
		c.txStatus = a.TxStatus
	}
	if a.HasMark {
		c.mark, c.hasMark = a.Mark, true
	}
	c.answerReceived()
	return a, nil
}

// RoundTrip sends a statement of the proxy and returns its answer. A silence
// timeout of one hour effectively disables the silence check.
func (c *StatementConn) RoundTrip(ctx context.Context, s *typedproto.Statement) (typedproto.Answer, error) {
	deadline, _ := ctx.Deadline()
	defer c.watchContext(ctx, deadline, time.Hour)()
	buf, err := c.codec.AppendStatement(c.writeBuf[:0], s, nil)
	if err != nil {
		return typedproto.Answer{}, notCarried(err)
	}
	if _, err := c.send(buf); err != nil {
		return typedproto.Answer{}, err
	}
	return c.receive()
}

// Status asks the instance for its state.
func (c *StatementConn) Status(ctx context.Context) (typedproto.State, error) {
	return c.queryState(ctx, &typedproto.Statement{Kind: typedproto.Status})
}

// StepDown makes the instance a replica if it is the primary of a term below
// term.
func (c *StatementConn) StepDown(ctx context.Context, term table.Term) (typedproto.State, error) {
	return c.queryState(ctx, &typedproto.Statement{Kind: typedproto.StepDown, Term: term})
}

// Pause makes a replica stop receiving from its primary until Resume.
func (c *StatementConn) Pause(ctx context.Context, term table.Term) (typedproto.State, error) {
	return c.queryState(ctx, &typedproto.Statement{Kind: typedproto.Pause, Term: term})
}

// Resume makes a paused replica receive from its primary again.
func (c *StatementConn) Resume(ctx context.Context) (typedproto.State, error) {
	return c.queryState(ctx, &typedproto.Statement{Kind: typedproto.Resume})
}

// queryState sends a statement that is answered with the state of the instance.
// It returns dbedge.ErrBusy if the instance is busy.
func (c *StatementConn) queryState(ctx context.Context, s *typedproto.Statement) (typedproto.State, error) {
	a, err := c.RoundTrip(ctx, s)
	if err != nil {
		return typedproto.State{}, err
	}
	if a.Code == typedproto.CodeBusy {
		return typedproto.State{}, dbedge.ErrBusy
	}
	if a.Code != typedproto.CodeNone || len(a.Rows) != 1 {
		return typedproto.State{}, refusalError(&a)
	}
	return c.codec.ParseState(a.Rows[0])
}

// Reset implements Conn.
func (c *StatementConn) Reset(ctx context.Context) bool {
	if c.awaitingAnswer || c.mustClose || c.disconnected {
		return false
	}
	if c.txStatus == request.TxIdle {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, resetTimeout)
	defer stop()
	_, err := c.RoundTrip(ctx, &typedproto.Statement{Kind: typedproto.Rollback})
	return err == nil && c.isReusable()
}

// Close closes the connection. It does not wait for the instance.
func (c *StatementConn) Close() {
	c.terminate()
	_ = c.net.Close()
}

// isReusable implements Conn.
func (c *StatementConn) isReusable() bool {
	return !c.mustClose && !c.awaitingAnswer && c.txStatus == request.TxIdle && len(c.prepared) <= maxPrepared
}

// isHealthy implements Conn.
func (c *StatementConn) isHealthy() bool { return c.readBuf.Buffered() == 0 && c.socket.isIdle() }

// ping implements Conn. A refusal counts as an answer.
func (c *StatementConn) ping(ctx context.Context, timeout time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	_, err := c.RoundTrip(ctx, &typedproto.Statement{Kind: typedproto.Status})
	return err
}

// close implements Conn. A connection with a pending answer is closed without a
// terminate message, and the instance rolls back the running statement.
func (c *StatementConn) close() {
	defer c.net.Close()
	if !c.terminate() {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(terminateTimeout))
	_, _ = io.Copy(io.Discard, c.net) // until the instance has closed its end
}

// terminate sends the terminate message unless an answer is pending or the
// connection is broken. It reports whether the message was sent.
func (c *StatementConn) terminate() bool {
	if c.disconnected || c.awaitingAnswer {
		return false
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, err := c.net.Write(c.codec.AppendTerminate(nil))
	return err == nil
}

var _ Conn = (*StatementConn)(nil)
