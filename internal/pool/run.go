package pool

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

// chunkBytes is the size from which the buffered part of an answer is passed to
// Exchange.WriteAnswer.
const chunkBytes = 32 << 10

// sqlstateReadOnly is the SQLSTATE of a write on an upstream that is read-only
// (read_only_sql_transaction).
const sqlstateReadOnly = "25006"

// Exchange describes one request on one connection.
type Exchange struct {
	// Settings are applied before the messages are sent, unless KeepSettings is
	// set, as it is inside a transaction.
	Settings     []string
	KeepSettings bool
	// Prepares are the prepared statements that the messages use. Those that
	// the connection lacks are prepared first.
	Prepares []request.Prepare
	// Floor is the mark that the instance must have reached, if HasFloor is
	// set. Only protocols with typed statements enforce it.
	Floor    table.Mark
	HasFloor bool
	// Messages are the encoded messages of the request.
	Messages []byte
	// ChangesSettings is set when the messages change session settings.
	ChangesSettings bool
	// QueryMark appends a query for the mark of the instance to the messages.
	// The mark covers their writes.
	QueryMark bool
	// BufferAnswer buffers the whole answer until it is complete. An answer of
	// more than BufferLimit bytes is an error.
	BufferAnswer bool
	BufferLimit  int
	// WriteAnswer receives the answer in chunks. p is valid only during the
	// call.
	WriteAnswer func(p []byte) error
}

// Outcome is the result of an exchange.
type Outcome struct {
	// TxStatus is the transaction status after the exchange; see package
	// request.
	TxStatus byte
	// Mark is the mark of the instance, if HasMark is set.
	Mark    table.Mark
	HasMark bool
	// Failed is set when the upstream answered with an error.
	Failed bool
	// UpstreamReadOnly is set when the error was that the upstream is read-only,
	// for example because it is no longer the primary.
	UpstreamReadOnly bool
	// ConnReusable is set when Run returns an error but the connection may be put
	// back into its pool: nothing was sent, or the upstream refused the request
	// and is ready for the next one.
	ConnReusable bool
	// NoWrites is set when the request is known to have written nothing.
	NoWrites bool
	// Tag is the last command tag, such as "INSERT 0 1"; for typed statements
	// it is the signature of the answer.
	Tag string
}

// answerReader collects the answer of one exchange.
type answerReader struct {
	x                  *Exchange
	skipParseCompletes int // ParseComplete messages of injected statements still to come
	buf                []byte
	outcome            Outcome
	status             statusRow
}

// Run implements Conn.
func (c *SQLConn) Run(ctx context.Context, deadline time.Time, x *Exchange) (Outcome, error) {
	if x.KeepSettings && !c.isHealthy() { // the pool's check may be long ago
		c.mustClose, c.disconnected = true, true
		return Outcome{}, upstreamLost(errUpstreamClosed, false)
	}
	defer c.watchContext(ctx, deadline, c.reader.silenceTimeout)()
	if !x.KeepSettings {
		if err := c.applySettings(x.Settings); err != nil {
			return Outcome{}, settingsError(err)
		}
	}
	if x.ChangesSettings {
		c.settings = unknownSettings
	}
	buf, injected := c.encode(x)
	if n, err := c.send(buf); err != nil {
		return Outcome{}, exchangeError(ctx, err, n > 0)
	}
	r := &answerReader{x: x, skipParseCompletes: injected}
	if err := c.readAnswer(r); err != nil {
		return r.outcome, exchangeError(ctx, err, true)
	}
	c.usedAt = c.answeredAt
	return r.outcome, r.flush()
}

// errUpstreamClosed is returned when the upstream closed a connection between
// two requests of a transaction.
var errUpstreamClosed = errors.New("the upstream closed the connection")

// settingsError returns the error for session settings that could not be
// applied. The request itself has not run.
func settingsError(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return errkind.Wrap(err, errkind.BadRequest, "session settings: %s", pgErr.Message)
	}
	return upstreamLost(err, false)
}

// exchangeError returns the *errkind.Error for an exchange that failed with err:
// Cancelled if the caller cancelled ctx, UpstreamLost if the connection failed.
// With sent unset, no byte of the request left this host, so that its effect is
// NotRun. If err is an *errkind.Error already, it is returned unchanged.
func exchangeError(ctx context.Context, err error, sent bool) error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		e := errkind.Wrap(err, errkind.Cancelled, "")
		if !sent {
			e.Effect = errkind.NotRun
		}
		return e
	}
	return upstreamLost(err, sent)
}

// encode returns the messages to send and the number of Parse messages that were
// injected for prepared statements which the connection lacks.
func (c *SQLConn) encode(x *Exchange) ([]byte, int) {
	injected := 0
	buf := c.writeBuf[:0]
	for _, p := range x.Prepares {
		if _, ok := c.prepared[p.Name]; ok {
			continue
		}
		c.prepared[p.Name] = struct{}{}
		buf = append(buf, p.Parse...)
		injected++
	}
	buf = append(buf, x.Messages...)
	if x.QueryMark {
		buf, _ = (&pgproto3.Query{String: upstream.StatusQuery}).Encode(buf)
	}
	return buf, injected
}

// readAnswer reads the answer up to ReadyForQuery, then the answer to the query
// for the mark if there is one.
func (c *SQLConn) readAnswer(r *answerReader) error {
	for {
		msg, err := c.receive()
		if err != nil {
			return err
		}
		if ready, ok := msg.(*pgproto3.ReadyForQuery); ok {
			c.txStatus = ready.TxStatus
			r.outcome.TxStatus = ready.TxStatus
			break
		}
		if err := r.add(msg); err != nil {
			return err
		}
	}
	if r.skipParseCompletes > 0 {
		c.mustClose = true // it is unknown which of the injected statements exist
	}
	if !r.x.QueryMark {
		c.answerReceived()
		return nil
	}
	return c.readMark(r)
}

// readMark reads the answer to the query for the mark. The transaction status
// stays that of the request.
func (c *SQLConn) readMark(r *answerReader) error {
	status := c.txStatus
	err := c.readQuery(&r.status)
	c.txStatus = status
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return nil // a failed transaction rejects the query, so there is no mark
	}
	r.outcome.Mark, r.outcome.HasMark = r.status.mark, r.status.ok
	return err
}

// add appends one message to the answer and passes the answer on once the buffer
// is full.
func (r *answerReader) add(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ParseComplete:
		if r.skipParseCompletes > 0 {
			r.skipParseCompletes--
			return nil
		}
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil // concerns the pooled connection, not the caller's session
	case *pgproto3.ErrorResponse:
		r.outcome.Failed = true
		r.outcome.UpstreamReadOnly = r.outcome.UpstreamReadOnly || m.Code == sqlstateReadOnly
	case *pgproto3.CommandComplete:
		r.outcome.Tag = string(m.CommandTag)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errkind.New(errkind.NotSupported, "COPY").WithEffect(errkind.Unknown)
	}
	var err error
	r.buf, err = msg.Encode(r.buf)
	if err != nil {
		return err
	}
	if r.x.BufferAnswer {
		if len(r.buf) > r.x.BufferLimit {
			return errkind.New(errkind.TooLarge, "answer of a write over %d bytes", r.x.BufferLimit).WithEffect(errkind.Unknown)
		}
		return nil
	}
	if len(r.buf) >= chunkBytes {
		return r.flush()
	}
	return nil
}

// flush passes the buffered part of the answer to WriteAnswer.
func (r *answerReader) flush() error {
	if len(r.buf) == 0 {
		return nil
	}
	err := r.x.WriteAnswer(r.buf)
	r.buf = r.buf[:0]
	return err
}

// statusRow is the rowReader that reads the mark from the answer to
// upstream.StatusQuery.
type statusRow struct {
	mark table.Mark
	ok   bool
}

func (s *statusRow) row(values [][]byte) {
	status, err := upstream.ParseStatus(values)
	s.mark, s.ok = status.Mark, err == nil
}
