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

// claimTable holds one row for each attempt at a request with an id. The row is
// written in the same transaction as the effect of the request, so both are
// kept or lost together, also when the primary changes.
const claimTable = "amaranthweir_requests"

// uniqueViolation is the SQLSTATE of a duplicate key.
const uniqueViolation = "23505"

// maxVoidAttempts limits the voided attempts of one request id.
const maxVoidAttempts = 1000

// void is the value of an attempt that was voided: the attempt has not run and
// can never run. The next attempt claims the next number.
const void = "void"

// claim is the exclusive right of one attempt to run the request with an id. It
// is recorded as a row of claimTable.
type claim struct {
	conn *pool.SQLConn
	id   string // service and request id
	// number is the attempt that the claim is for; all earlier attempts are
	// void.
	number int
}

// newClaim returns a claim on the request id of r that has not been acquired
// yet. It returns an error if the connection does not speak SQL.
func newClaim(conn pool.Conn, r *request.Request) (*claim, error) {
	c, ok := conn.(*pool.SQLConn)
	if !ok {
		return nil, errkind.New(errkind.NotSupported, "a request id at an instance that has no SQL")
	}
	return &claim{conn: c, id: r.Service + "/" + r.RequestID}, nil
}

// keyLiteral returns the row key of the attempt as an SQL literal.
func (c *claim) keyLiteral() string { return quote(c.id + "#" + strconv.Itoa(c.number)) }

// insertSQL returns the statement that inserts the row of the attempt.
func (c *claim) insertSQL(value string) string {
	return "INSERT INTO " + claimTable + " (key, value) VALUES (" + c.keyLiteral() + ", " + quote(value) + ")"
}

// rollbackAndLookUp rolls back the open transaction and returns the value in
// the row of the attempt, or the empty string if there is no row.
func (c *claim) rollbackAndLookUp(ctx context.Context) (string, error) {
	if err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
		return "", err
	}
	return c.conn.QueryText(ctx, "SELECT value FROM "+claimTable+" WHERE key = "+c.keyLiteral())
}

// quote returns text as an SQL string literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// acquire claims the first attempt that is not void, with the given value, in a
// transaction that it leaves open. If the request has run already, acquire
// returns the value of that attempt and no transaction is open. While another
// attempt is running, the insert blocks until that attempt ends.
func (c *claim) acquire(ctx context.Context, value string) (found string, err error) {
	for c.number = 0; c.number < maxVoidAttempts; c.number++ {
		err := c.conn.Exec(ctx, "BEGIN", c.insertSQL(value))
		if err == nil {
			return "", nil
		}
		if !isDuplicate(err) {
			return "", err
		}
		found, err := c.rollbackAndLookUp(ctx)
		if err != nil {
			return "", err
		}
		if found != void {
			return found, nil
		}
	}
	return "", errkind.New(errkind.CallerLimit, "request id was shut out %d times", maxVoidAttempts)
}

// isDuplicate reports whether err is a unique violation.
func isDuplicate(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == uniqueViolation
}

// encodeOutcome returns the value of a claim: the digest of the request and its
// command tag.
func encodeOutcome(digest, tag string) string { return digest + "|" + tag }

// decodeOutcome returns the command tag in the value of a claim. It returns an
// error if the request id was used before for a request with another digest.
func decodeOutcome(value, digest string) (tag string, err error) {
	claimedDigest, tag, _ := strings.Cut(value, "|")
	if digest != "" && claimedDigest != digest {
		return "", errkind.New(errkind.BadRequest, "the request id was used for another request")
	}
	return tag, nil
}

// acquireAtCommit claims the request in the caller's own transaction, right
// before its COMMIT. If the request has run already, the transaction is rolled
// back and the value of the earlier attempt is returned.
func (c *claim) acquireAtCommit(ctx context.Context, value string) (found string, err error) {
	err = c.conn.Exec(ctx, c.insertSQL(value))
	if err == nil || !isDuplicate(err) {
		return "", err
	}
	found, err = c.rollbackAndLookUp(ctx)
	if err == nil && found == void {
		err = errkind.New(errkind.UpstreamLost, "an earlier attempt was shut out: run the transaction again under a new request id").WithEffect(errkind.NotRun)
	}
	return found, err
}
