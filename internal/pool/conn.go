// Package pool holds the connections to one upstream instance. Only the owner
// of the instance has one.
package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

const (
	// maxPrepared bounds the prepared statements on one connection; one that
	// holds more is replaced.
	maxPrepared = 500
	// maxUpstreamMessageBytes bounds one message of an upstream.
	maxUpstreamMessageBytes = 64 << 20
	// cancelTimeout bounds the delivery of a cancel request.
	cancelTimeout = 500 * time.Millisecond
	// lingerTimeout bounds the wait for an upstream to end a connection.
	lingerTimeout = 500 * time.Millisecond
)

// unknownSettings marks a connection whose settings must be reset before the
// next use. It differs from each list of settings, for those hold no NUL.
const unknownSettings = "\x00"

// statementEnd ends a statement that may close with a line comment.
const statementEnd = "\n;"

// Conn is one open connection to an upstream. It serves one request at a time.
type Conn struct {
	net      net.Conn
	reader   *reader
	socket   *socket
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	prepared map[string]struct{}
	settings string // the SET statements in force, joined
	txStatus byte
	doomed   bool   // must not be used by another session
	asked    bool   // an answer is outstanding
	gone     bool   // the upstream has ended the connection
	out      []byte // reused for what is sent
	guards   sync.WaitGroup

	openedAt   time.Time
	usedAt     time.Time // by a request
	answeredAt time.Time // the end of the latest answer, also to a probe
}

// dial opens a connection and logs in.
func dial(ctx context.Context, cfg *pgconn.Config) (*Conn, error) {
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, err
	}
	r := &reader{net: h.Conn, silent: func(context.Context) bool { return false }, progress: DefaultProgress}
	frontend := pgproto3.NewFrontend(r, h.Conn)
	frontend.SetMaxBodyLen(maxUpstreamMessageBytes)
	now := time.Now()
	return &Conn{
		net:      h.Conn,
		reader:   r,
		socket:   newSocket(h.Conn),
		frontend: frontend,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: map[string]struct{}{},
		txStatus: h.TxStatus,

		openedAt:   now,
		usedAt:     now,
		answeredAt: now,
	}, nil
}

// reusable reports whether another session may use the connection.
func (c *Conn) reusable() bool {
	return !c.doomed && !c.asked && c.txStatus == request.TxIdle && len(c.prepared) <= maxPrepared
}

// fit reports whether an idle connection may be used: the upstream has not
// closed it, and no byte waits that nobody asked for.
func (c *Conn) fit() bool {
	return c.frontend.ReadBufferLen() == 0 && c.socket.quiet()
}

// close ends the connection and returns once the upstream has ended it too, or
// lingerTimeout has passed. What still runs on it is cancelled.
func (c *Conn) close() {
	defer c.net.Close()
	if c.gone {
		return
	}
	_ = c.net.SetDeadline(time.Now().Add(lingerTimeout))
	if c.asked {
		c.cancel()
	} else if buf, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		// Never behind an outstanding request, which it might complete.
		_, _ = c.net.Write(buf)
	}
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.net) // up to the end
}

// guard makes a blocked read or write on c end with ctx, at the latest at
// deadline. After patience without a byte it is asked whether c went silent.
// The returned function lifts the guard.
func (c *Conn) guard(ctx context.Context, deadline time.Time, patience time.Duration) (lift func()) {
	_ = c.net.SetWriteDeadline(deadline)
	c.reader.begin(ctx, deadline, patience)
	c.guards.Add(1)
	stop := context.AfterFunc(ctx, c.interrupt)
	return func() {
		if stop() {
			c.guards.Done()
		} else {
			c.guards.Wait() // else it could hit the next request
		}
	}
}

// interrupt ends a blocked read or write.
func (c *Conn) interrupt() {
	defer c.guards.Done()
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// ping makes a round trip that runs nothing on the upstream.
func (c *Conn) ping(ctx context.Context, timeout time.Duration) error {
	// A probe asks nothing: it is what answers the question.
	defer c.guard(ctx, time.Now().Add(timeout), 2*timeout)()
	buf, err := (&pgproto3.Sync{}).Encode(c.out[:0])
	if err != nil {
		return err
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	return c.readQuery(&discard{})
}

// send writes buf; an answer is outstanding then. It returns how many bytes
// left this host at most.
func (c *Conn) send(buf []byte) (int, error) {
	c.out = buf
	c.asked = true
	n, err := c.net.Write(buf)
	if err != nil {
		c.note(err)
	}
	return n, err
}

// answered notes that no answer is outstanding any more.
func (c *Conn) answered() {
	c.asked = false
	c.answeredAt = c.reader.heardAt
}

// note remembers that an error ended the connection.
func (c *Conn) note(err error) {
	c.doomed = true
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSilent) {
		c.gone = true
	}
}

// receive reads one message.
func (c *Conn) receive() (pgproto3.BackendMessage, error) {
	msg, err := c.frontend.Receive()
	if err != nil {
		c.note(err)
		return nil, err
	}
	return msg, nil
}

// cancel asks the upstream to stop what the connection runs. It uses a
// connection of its own, as the protocol wants, and waits for its end.
func (c *Conn) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.net.RemoteAddr().String())
	if err != nil {
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(cancelTimeout))
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := nc.Write(buf); err != nil {
		return
	}
	_, _ = nc.Read(make([]byte, 1))
}

// applySettings brings the session settings of c to want.
func (c *Conn) applySettings(want []string) error {
	joined := strings.Join(want, statementEnd)
	if c.settings == joined {
		return nil
	}
	c.settings = unknownSettings
	sql := "RESET ALL"
	if joined != "" {
		sql += statementEnd + joined
	}
	if err := c.Command(sql); err != nil {
		return err
	}
	c.settings = joined
	return nil
}

// Command runs a simple query on behalf of the proxy and drops its rows. An
// error of the upstream comes as *pgconn.PgError; any other error means that
// the connection is lost.
func (c *Conn) Command(sql string) error {
	var r discard
	return c.query(sql, &r)
}

// rowReader takes the rows of a query of the proxy.
type rowReader interface{ row(values [][]byte) }

type discard struct{}

func (*discard) row([][]byte) {}

func (c *Conn) query(sql string, r rowReader) error {
	buf, err := (&pgproto3.Query{String: sql}).Encode(c.out[:0])
	if err != nil {
		return err
	}
	if _, err := c.send(buf); err != nil {
		return err
	}
	return c.readQuery(r)
}

// readQuery reads the answer to one simple query of the proxy.
func (c *Conn) readQuery(r rowReader) error {
	var failure error
	for {
		msg, err := c.receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			r.row(m.Values)
		case *pgproto3.ErrorResponse:
			failure = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			c.txStatus = m.TxStatus
			c.answered()
			return failure
		}
	}
}

// lost turns an error of the network into an error kind: a request of which
// no byte was sent has not run.
func lost(err error, sent bool) *errkind.Error {
	if !sent {
		return errkind.Wrap(err, errkind.UpstreamLost, "%v", err).WithEffect(errkind.NotRun)
	}
	return errkind.Wrap(err, errkind.UpstreamLost, "%v", err)
}
