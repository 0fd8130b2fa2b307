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

// chunkBytes is how much of an answer is gathered before it is passed on.
const chunkBytes = 32 << 10

// readOnlyTransaction is the SQLSTATE of a write where none are taken.
const readOnlyTransaction = "25006"

// Exchange is one request on one connection.
type Exchange struct {
	// Settings are brought into force first, unless KeepSettings is set, as
	// inside of a transaction.
	Settings     []string
	KeepSettings bool
	Prepares     []request.Prepare
	// Floor is the mark that the log of the instance must hold, where the
	// protocol can ask for it.
	Floor           table.Mark
	HasFloor        bool
	Messages        []byte
	ChangesSettings bool
	// AskMark adds a question for the mark behind the messages, which then
	// covers their writes.
	AskMark bool
	// Hold keeps the whole answer back until the end; it is an error if it
	// grows over HoldLimit bytes.
	Hold      bool
	HoldLimit int
	// Pass takes the answer in chunks; the bytes are valid during the call.
	Pass func(p []byte) error
}

// Outcome is what is known after an exchange.
type Outcome struct {
	TxStatus byte
	Mark     table.Mark
	HasMark  bool
	// Failed is set when the upstream answered with an error.
	Failed bool
	// ReadOnly is set when the error was that the upstream takes no writes, as
	// one that is no primary any more.
	ReadOnly bool
	// ConnReusable is set with an error after which the connection may be given back
	// to its pool all the same: the upstream refused and is ready for more.
	ConnReusable bool
	// OnlyRead is set when what was answered is known to have written nothing.
	OnlyRead bool
	// Tag is the last command tag, such as "INSERT 0 1".
	Tag string
}

// answerReader gathers the answer of one exchange.
type answerReader struct {
	x       *Exchange
	skip    int // ParseComplete messages that belong to injected statements
	buf     []byte
	outcome Outcome
	status  statusRow
}

// Run does one exchange. Errors are *errkind.Error; after one, the connection
// must be discarded.
func (c *SQLConn) Run(ctx context.Context, deadline time.Time, x *Exchange) (Outcome, error) {
	if x.KeepSettings && !c.fit() { // lent long ago
		c.doomed, c.gone = true, true
		return Outcome{}, lost(errEnded, false)
	}
	defer c.guard(ctx, deadline, c.reader.progress)()
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
		return Outcome{}, interrupted(ctx, err, n > 0)
	}
	r := &answerReader{x: x, skip: injected}
	if err := c.readAnswer(r); err != nil {
		return r.outcome, interrupted(ctx, err, true)
	}
	c.usedAt = c.answeredAt
	return r.outcome, r.flush()
}

// errEnded says that the upstream closed a connection.
var errEnded = errors.New("the upstream closed the connection")

// settingsError is the error of a failed SET before the request itself.
func settingsError(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return errkind.Wrap(err, errkind.BadRequest, "session settings: %s", pgErr.Message)
	}
	return lost(err, false)
}

// interrupted tells a caller's own cancel from a lost connection.
func interrupted(ctx context.Context, err error, sent bool) error {
	var kind *errkind.Error
	if errors.As(err, &kind) {
		return kind
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		e := errkind.Wrap(err, errkind.Cancelled, "")
		if !sent {
			e.Effect = errkind.NotRun
		}
		return e
	}
	return lost(err, sent)
}

// encode returns everything that the exchange sends, and how many statements
// were injected.
func (c *SQLConn) encode(x *Exchange) ([]byte, int) {
	injected := 0
	buf := c.out[:0]
	for _, p := range x.Prepares {
		if _, ok := c.prepared[p.Name]; ok {
			continue
		}
		c.prepared[p.Name] = struct{}{}
		buf = append(buf, p.Parse...)
		injected++
	}
	buf = append(buf, x.Messages...)
	if x.AskMark {
		buf, _ = (&pgproto3.Query{String: upstream.StatusQuery}).Encode(buf)
	}
	return buf, injected
}

// readAnswer reads up to the ReadyForQuery of the messages, and the answer to
// the question for the mark.
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
		if err := r.take(msg); err != nil {
			return err
		}
	}
	if r.skip > 0 {
		c.doomed = true // which statements exist on it is not known
	}
	if !r.x.AskMark {
		c.answered()
		return nil
	}
	return c.readMark(r)
}

func (c *SQLConn) readMark(r *answerReader) error {
	status := c.txStatus
	err := c.readQuery(&r.status)
	c.txStatus = status
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return nil // an aborted transaction answers nothing; there is no mark
	}
	r.outcome.Mark, r.outcome.HasMark = r.status.mark, r.status.ok
	return err
}

// take adds one message to the answer.
func (r *answerReader) take(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ParseComplete:
		if r.skip > 0 {
			r.skip--
			return nil
		}
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil // belongs to the connection, not to the caller
	case *pgproto3.ErrorResponse:
		r.outcome.Failed = true
		r.outcome.ReadOnly = r.outcome.ReadOnly || m.Code == readOnlyTransaction
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
	if r.x.Hold {
		if len(r.buf) > r.x.HoldLimit {
			return errkind.New(errkind.TooLarge, "answer of a write over %d bytes", r.x.HoldLimit).WithEffect(errkind.Unknown)
		}
		return nil
	}
	if len(r.buf) >= chunkBytes {
		return r.flush()
	}
	return nil
}

// flush passes on what was gathered.
func (r *answerReader) flush() error {
	if len(r.buf) == 0 {
		return nil
	}
	err := r.x.Pass(r.buf)
	r.buf = r.buf[:0]
	return err
}

// statusRow reads the mark from an answer to upstream.StatusQuery.
type statusRow struct {
	mark table.Mark
	ok   bool
}

func (s *statusRow) row(values [][]byte) {
	status, err := upstream.ParseStatus(values)
	s.mark, s.ok = status.Mark, err == nil
}
