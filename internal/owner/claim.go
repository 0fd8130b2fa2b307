package owner

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// claimTable holds one row for each attempt at a request with an id. The row
// is written in the transaction that has the effect, so both are kept or lost
// together, also by a change of primary.
const claimTable = "amaranthweir_requests"

// uniqueViolation is the SQLSTATE of a duplicate key.
const uniqueViolation = "23505"

// maxVoids bounds the attempts of one id that were shut out.
const maxVoids = 1000

// void is the value of an attempt that was shut out: it has not run and never
// will. The next attempt claims the next number.
const void = "void"

// claim is the right to run a request with an id.
type claim struct {
	conn *pool.SQLConn
	id   string // service and id
	// number is the attempt that the claim is for; those before it are void.
	number int
}

// newClaim fails on a connection that has no SQL.
func newClaim(conn pool.Conn, r *request.Request) (*claim, error) {
	c, ok := conn.(*pool.SQLConn)
	if !ok {
		return nil, errkind.New(errkind.NotSupported, "a request id at an instance that has no SQL")
	}
	return &claim{conn: c, id: r.Service + "/" + r.RequestID}, nil
}

// key is the row of the attempt, as an SQL literal.
func (c *claim) key() string { return quote(c.id + "#" + strconv.Itoa(c.number)) }

// insert is the statement that writes the row of the attempt.
func (c *claim) insert(value string) string {
	return "INSERT INTO " + claimTable + " (key, value) VALUES (" + c.key() + ", " + quote(value) + ")"
}

// lookUp rolls the open transaction back and returns the value in the row of
// the attempt, or the empty string when there is none.
func (c *claim) lookUp(ctx context.Context) (string, error) {
	if err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
		return "", err
	}
	return c.conn.QueryText(ctx, "SELECT value FROM "+claimTable+" WHERE key = "+c.key())
}

// quote returns text as an SQL literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// take claims the first attempt that is not void, with the given value, in an
// open transaction. It returns the value that stands there when the request
// has run already; then no transaction is open. While another attempt is
// running, it waits for its end.
func (c *claim) take(ctx context.Context, value string) (found string, err error) {
	for c.number = 0; c.number < maxVoids; c.number++ {
		err := c.conn.Exec(ctx, "BEGIN", c.insert(value))
		if err == nil {
			return "", nil
		}
		if !isDuplicate(err) {
			return "", err
		}
		found, err := c.lookUp(ctx)
		if err != nil {
			return "", err
		}
		if found != void {
			return found, nil
		}
	}
	return "", errkind.New(errkind.CallerLimit, "request id was shut out %d times", maxVoids)
}

func isDuplicate(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == uniqueViolation
}

// outcome is the value of a claim: the digest of the request and its command
// tag.
func outcome(digest, tag string) string { return digest + "|" + tag }

// firstOutcome reads the value of a claim. A request id that came with another
// content before is an error.
func firstOutcome(value, digest string) (tag string, err error) {
	was, tag, _ := strings.Cut(value, "|")
	if digest != "" && was != digest {
		return "", errkind.New(errkind.BadRequest, "the request id was used for another request")
	}
	return tag, nil
}

// takeAtCommit claims the request in the caller's own transaction, right
// before its COMMIT. When the request has run already, the transaction is
// rolled back and the value that stands there is returned.
func (c *claim) takeAtCommit(ctx context.Context, value string) (found string, err error) {
	err = c.conn.Exec(ctx, c.insert(value))
	if err == nil || !isDuplicate(err) {
		return "", err
	}
	found, err = c.lookUp(ctx)
	if err == nil && found == void {
		err = errkind.New(errkind.UpstreamLost, "an earlier attempt was shut out: run the transaction again under a new request id").WithEffect(errkind.NotRun)
	}
	return found, err
}
