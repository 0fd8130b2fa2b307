package pool

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// readBufferBytes holds an ordinary answer of an instance.
	readBufferBytes = 2 << 10
	// resetTimeout bounds the rollback before a connection is given back.
	resetTimeout = 250 * time.Millisecond
)

// StatementConn is a connection whose protocol has typed statements.
type StatementConn struct {
	*link
	codec    stmt.UpstreamCodec
	in       *bufio.Reader
	prepared map[string]struct{}
	settings map[string]string // in force on the connection
	// reached is the mark of the latest answer.
	reached    table.Mark
	hasReached bool
}

// DialStatements returns the Dialer of an instance with typed statements.
func DialStatements(t dbedge.Target, codec stmt.UpstreamCodec) Dialer {
	return func(ctx context.Context) (Conn, error) {
		c, err := OpenStatements(ctx, t, codec)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// OpenStatements opens one connection. It fails where another instance lives at
// the address by now.
func OpenStatements(ctx context.Context, t dbedge.Target, codec stmt.UpstreamCodec) (*StatementConn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	l := newLink(nc)
	c := &StatementConn{
		link:     l,
		codec:    codec,
		in:       bufio.NewReaderSize(l.reader, readBufferBytes),
		prepared: map[string]struct{}{},
		settings: map[string]string{},
	}
	if err := c.start(ctx, t); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// start sends the first message and takes its answer.
func (c *StatementConn) start(ctx context.Context, t dbedge.Target) error {
	deadline, _ := ctx.Deadline()
	defer c.guard(ctx, deadline, DefaultProgress)()
	if _, err := c.send(c.codec.AppendStartup(nil, t.Group, t.Instance)); err != nil {
		return err
	}
	a, err := c.receive()
	if err != nil {
		return err
	}
	if a.Code != stmt.CodeNone {
		return refusedBy(&a)
	}
	return nil
}

// refusedBy turns a failure that promises that nothing was kept into an error.
func refusedBy(a *stmt.Answer) *errkind.Error {
	kind := errkind.UpstreamBusy
	switch a.Code {
	case stmt.CodeLagging:
		kind = errkind.StalenessUnprovable
	case stmt.CodeReadOnly:
		kind = errkind.NoPrimary
	case stmt.CodeWrongInstance, stmt.CodeNoStatement, stmt.CodeMalformed:
		kind = errkind.UpstreamLost
	}
	return errkind.New(kind, "the instance said %s", a.Text).WithEffect(errkind.NotRun)
}

// notRun reports whether a failure promises that the statement did not run.
func notRun(code stmt.Code) bool {
	switch code {
	case stmt.CodeNone, stmt.CodeFailed, stmt.CodeTimeout, stmt.CodeInDoubt:
		return false
	}
	return true
}

// Run implements Conn.
func (c *StatementConn) Run(ctx context.Context, deadline time.Time, x *Exchange) (Outcome, error) {
	u, err := stmt.ParseUnit(x.Messages)
	if err != nil {
		return Outcome{TxStatus: c.txStatus, ConnReusable: true}, err
	}
	if x.KeepSettings && !c.fit() { // lent long ago
		c.doomed, c.gone = true, true
		return Outcome{}, lost(errEnded, false)
	}
	defer c.guard(ctx, deadline, c.reader.progress)()
	var floor *table.Mark
	if x.HasFloor {
		floor = &x.Floor
	}
	if out, err := c.arrange(ctx, x, u.Opens, floor); err != nil {
		return out, err
	}
	if u.Opens != stmt.None || u.Statement.Kind == stmt.Commit {
		floor = nil // the transaction was opened behind it
	}
	if n, err := c.send(c.codec.AppendStatement(c.out[:0], &u.Statement, floor)); err != nil {
		return Outcome{}, interrupted(ctx, err, n > 0)
	}
	a, err := c.receive()
	if err != nil {
		return Outcome{}, interrupted(ctx, err, true)
	}
	c.usedAt = c.answeredAt
	return c.outcome(x, &u, &a)
}

// outcome passes an answer on, or turns a refusal into an error.
func (c *StatementConn) outcome(x *Exchange, u *stmt.Unit, a *stmt.Answer) (Outcome, error) {
	out := Outcome{
		TxStatus: c.txStatus,
		Mark:     c.reached,
		HasMark:  c.hasReached,
		Failed:   a.Code != stmt.CodeNone,
		OnlyRead: !u.Writes,
	}
	if notRun(a.Code) {
		if a.Code == stmt.CodeNoStatement {
			clear(c.prepared)
		}
		out.ConnReusable = c.txStatus == request.TxIdle
		return out, refusedBy(a)
	}
	if !out.Failed {
		out.Tag = a.Signature
	}
	return out, x.Pass(stmt.AppendAnswer(nil, a))
}

// arrange brings the settings and prepared names of the connection to what the
// exchange needs, and opens its transaction. The statement itself is sent only
// once all of that succeeded: it must not run outside of its transaction or
// under other settings.
func (c *StatementConn) arrange(ctx context.Context, x *Exchange, opens stmt.Kind, floor *table.Mark) (Outcome, error) {
	buf, count, err := c.preparation(x, c.out[:0])
	if err != nil {
		return Outcome{TxStatus: c.txStatus, ConnReusable: true}, err
	}
	if opens != stmt.None {
		buf = c.codec.AppendStatement(buf, &stmt.Statement{Kind: opens}, floor)
		count++
	}
	if count == 0 {
		return Outcome{}, nil
	}
	if _, err := c.send(buf); err != nil {
		return Outcome{}, interrupted(ctx, err, false)
	}
	var refused *stmt.Answer
	for range count {
		a, err := c.receive()
		if err != nil {
			return Outcome{}, unstarted(interrupted(ctx, err, false))
		}
		if a.Code != stmt.CodeNone && refused == nil {
			refused = &a
		}
		c.asked = true // until the last of them
	}
	c.asked = false
	if refused == nil {
		return Outcome{}, nil
	}
	if opens == stmt.None || count > 1 {
		c.doomed = true // which settings and names it has is not known
	}
	out := Outcome{TxStatus: c.txStatus, ConnReusable: !c.doomed && c.txStatus == request.TxIdle}
	return out, refusedBy(refused)
}

// unstarted says of an error that no statement of the caller had been sent.
func unstarted(err error) error { return errkind.Of(err).WithEffect(errkind.NotRun) }

// preparation appends what brings settings and names to what x needs, and
// counts the messages.
func (c *StatementConn) preparation(x *Exchange, buf []byte) ([]byte, int, error) {
	count := 0
	if c.surplus(x.Settings) {
		buf = c.codec.AppendStatement(buf, &stmt.Statement{Kind: stmt.Discard}, nil)
		count++
		clear(c.settings)
		clear(c.prepared)
	}
	for _, s := range x.Settings {
		name, value, _ := strings.Cut(s, " ")
		if old, ok := c.settings[name]; ok && old == value {
			continue
		}
		buf = c.codec.AppendStatement(buf, &stmt.Statement{Kind: stmt.Set, Name: name, Value: value}, nil)
		count++
		c.settings[name] = value
	}
	for _, p := range x.Prepares {
		if _, ok := c.prepared[p.Name]; ok {
			continue
		}
		shape, writes, err := stmt.ParsePrepared(p.Parse)
		if err != nil {
			return nil, 0, err
		}
		buf = c.codec.AppendStatement(buf, &stmt.Statement{Kind: stmt.Prepare, Name: p.Name, Value: shape, Writes: writes}, nil)
		count++
		c.prepared[p.Name] = struct{}{}
	}
	return buf, count, nil
}

// surplus reports whether the connection has a setting that is not wanted.
func (c *StatementConn) surplus(want []string) bool {
	for name := range c.settings {
		if !slices.ContainsFunc(want, func(s string) bool { return settingName(s) == name }) {
			return true
		}
	}
	return false
}

// settingName is the name in a setting written as a name, a blank and the value.
func settingName(setting string) string {
	name, _, _ := strings.Cut(setting, " ")
	return name
}

// receive reads one answer and notes the state that it tells.
func (c *StatementConn) receive() (stmt.Answer, error) {
	a, err := c.codec.ReadAnswer(c.in)
	if err != nil {
		c.note(err)
		return a, err
	}
	if a.TxStatus != 0 {
		c.txStatus = a.TxStatus
	}
	if a.HasMark {
		c.reached, c.hasReached = a.Mark, true
	}
	c.answered()
	return a, nil
}

// Ask sends a statement of the proxy and returns its answer.
func (c *StatementConn) Ask(ctx context.Context, s *stmt.Statement) (stmt.Answer, error) {
	deadline, _ := ctx.Deadline()
	defer c.guard(ctx, deadline, time.Hour)()
	if _, err := c.send(c.codec.AppendStatement(c.out[:0], s, nil)); err != nil {
		return stmt.Answer{}, err
	}
	return c.receive()
}

// Status asks the instance for its state.
func (c *StatementConn) Status(ctx context.Context) (stmt.State, error) {
	return c.state(ctx, &stmt.Statement{Kind: stmt.Status})
}

// StepDown tells the instance that terms below term are over.
func (c *StatementConn) StepDown(ctx context.Context, term table.Term) (stmt.State, error) {
	return c.state(ctx, &stmt.Statement{Kind: stmt.StepDown, Term: term})
}

// Pause tells a replica to receive no more until a Resume.
func (c *StatementConn) Pause(ctx context.Context, term table.Term) (stmt.State, error) {
	return c.state(ctx, &stmt.Statement{Kind: stmt.Pause, Term: term})
}

// Resume lets a replica receive again.
func (c *StatementConn) Resume(ctx context.Context) (stmt.State, error) {
	return c.state(ctx, &stmt.Statement{Kind: stmt.Resume})
}

func (c *StatementConn) state(ctx context.Context, s *stmt.Statement) (stmt.State, error) {
	a, err := c.Ask(ctx, s)
	if err != nil {
		return stmt.State{}, err
	}
	if a.Code == stmt.CodeBusy {
		return stmt.State{}, dbedge.ErrBusy
	}
	if a.Code != stmt.CodeNone || len(a.Rows) != 1 {
		return stmt.State{}, refusedBy(&a)
	}
	return c.codec.ParseState(a.Rows[0])
}

// Reset implements Conn.
func (c *StatementConn) Reset(ctx context.Context) bool {
	if c.asked || c.doomed || c.gone {
		return false
	}
	if c.txStatus == request.TxIdle {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, resetTimeout)
	defer stop()
	_, err := c.Ask(ctx, &stmt.Statement{Kind: stmt.Rollback})
	return err == nil && c.reusable()
}

// Close ends the connection.
func (c *StatementConn) Close() { c.close() }

func (c *StatementConn) reusable() bool {
	return !c.doomed && !c.asked && c.txStatus == request.TxIdle && len(c.prepared) <= maxPrepared
}

func (c *StatementConn) fit() bool { return c.in.Buffered() == 0 && c.socket.quiet() }

// ping implements Conn. The answer may be a refusal: it came.
func (c *StatementConn) ping(ctx context.Context, timeout time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	_, err := c.Ask(ctx, &stmt.Statement{Kind: stmt.Status})
	return err
}

// close implements Conn. A connection with an outstanding answer is cut off:
// the instance rolls back what it was doing.
func (c *StatementConn) close() {
	defer c.net.Close()
	if c.gone || c.asked {
		return
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = c.net.Write(c.codec.AppendTerminate(nil)) // it is closed either way
}

var _ Conn = (*StatementConn)(nil)
