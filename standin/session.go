package standin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin/sql"
)

const (
	// ownerPrefix starts the application name of an owner's connections; the
	// epoch follows.
	ownerPrefix = "amaranthweir/"
	// PlatformName is the application name of the connections that probe,
	// promote and fence. They have reserved places.
	PlatformName = "amaranthweir-platform"
	// ReservedConnections is the number of these places.
	ReservedConnections = 16
	// maxMessageBytes bounds one message of a caller.
	maxMessageBytes = 16 << 20
	// farewellTimeout bounds the last message of a session.
	farewellTimeout = time.Second
)

// session is the connection of one caller.
type session struct {
	in       *Instance
	number   int
	secret   []byte
	conn     *faultConn
	be       *pgproto3.Backend
	platform bool
	owned    bool        // the application name carries an epoch
	epoch    table.Epoch // if owned
	admitted bool        // guarded by the mutex of the instance

	ctx   context.Context
	stop  context.CancelFunc
	ended chan struct{}

	mu     sync.Mutex
	cause  *sqlError          // why the session was terminated
	cancel context.CancelFunc // of the running statement

	tx       *tx
	settings map[string]string
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	skip     bool // until Sync
}

// acceptCallers serves callers until the instance is closed.
func (in *Instance) acceptCallers() {
	for {
		conn, err := in.listener.Accept()
		if err != nil {
			return
		}
		s := in.newSession(conn)
		in.spawn(s.serve)
	}
}

func (in *Instance) newSession(conn net.Conn) *session {
	s := &session{
		in:       in,
		secret:   make([]byte, 4),
		ended:    make(chan struct{}),
		settings: map[string]string{},
		prepared: map[string]*preparedStatement{},
		portals:  map[string]*portal{},
	}
	_, _ = rand.Read(s.secret) // never fails
	s.ctx, s.stop = context.WithCancel(in.ctx)
	in.mu.Lock()
	defer in.mu.Unlock()
	s.number = in.nextNumber
	in.nextNumber++
	s.conn = &faultConn{
		Conn:   conn,
		ctx:    s.ctx,
		faults: in.faults,
		peer:   conn.RemoteAddr().String(),
		number: s.number,
	}
	s.be = pgproto3.NewBackend(s.conn, s.conn)
	s.be.SetMaxBodyLen(maxMessageBytes)
	in.sessions[s.number] = s
	if in.ctx.Err() != nil {
		_ = conn.Close() // Close has passed over this session
	}
	return s
}

func (s *session) serve() {
	defer close(s.ended)
	defer s.leave()
	if err := s.open(); err != nil {
		s.farewell(err)
		return
	}
	for s.ctx.Err() == nil {
		msg, err := s.be.Receive()
		if err != nil {
			break
		}
		if err := s.handle(msg); err != nil {
			return
		}
	}
	if cause := s.terminated(); cause != nil {
		s.farewell(cause)
	}
}

// open reads the start-up messages and lets the caller in.
func (s *session) open() error {
	params, err := s.startup()
	if err != nil {
		return err
	}
	s.readName(params["application_name"])
	if err := sleep(s.ctx, s.in.cfg.OpenCost); err != nil {
		return err
	}
	if err := s.in.admit(s); err != nil {
		return err
	}
	for name, value := range params {
		s.settings[strings.ToLower(name)] = value
	}
	s.be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		s.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.number), SecretKey: s.secret})
	return s.ready()
}

// startup returns the parameters of the start-up message.
func (s *session) startup() (map[string]string, error) {
	for {
		msg, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m.Parameters, nil
		case *pgproto3.CancelRequest:
			s.in.cancelRequest(int(m.ProcessID), m.SecretKey)
			return nil, errHangUp
		default: // TLS or GSS is asked for
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

func (s *session) readName(name string) {
	s.platform = name == PlatformName
	text, ok := strings.CutPrefix(name, ownerPrefix)
	if !ok {
		return
	}
	epoch, err := strconv.ParseUint(text, 10, 64)
	s.owned = err == nil
	s.epoch = table.Epoch(epoch)
}

// admit counts the session, or refuses it.
func (in *Instance) admit(s *session) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s.owned && s.epoch < in.oldest {
		return errOwnerOver
	}
	open, maxOpen, limit := &in.open, &in.maxOpen, in.cfg.Connections
	if s.platform {
		open, maxOpen, limit = &in.reserved, &in.maxReserve, ReservedConnections
	}
	if *open >= limit {
		return errTooMany
	}
	*open++
	*maxOpen = max(*maxOpen, *open)
	s.admitted = true
	return nil
}

// leave ends the session and rolls its transaction back. Its place is free
// before the caller sees the end.
func (s *session) leave() {
	s.rollback()
	s.stop()
	defer s.conn.Conn.Close() // nothing is left to be told
	in := s.in
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.sessions, s.number)
	switch {
	case !s.admitted:
	case s.platform:
		in.reserved--
	default:
		in.open--
	}
}

// terminate ends the session with cause. It does not wait for the end.
func (s *session) terminate(cause *sqlError) {
	s.mu.Lock()
	s.cause = cause
	s.mu.Unlock()
	s.stop()
	_ = s.conn.SetDeadline(time.Unix(1, 0)) // ends a read or write that waits
}

func (s *session) terminated() *sqlError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// farewell sends the error that ends the session.
func (s *session) farewell(err error) {
	var e *sqlError
	if !errors.As(err, &e) {
		return
	}
	_ = s.conn.SetDeadline(time.Now().Add(farewellTimeout)) // a failure shows in the flush
	s.be.Send(response(e))
	_ = s.be.Flush() // the caller may be gone
}

// cancelRequest cancels the running statement of a session.
func (in *Instance) cancelRequest(number int, secret []byte) {
	in.mu.Lock()
	s := in.sessions[number]
	in.mu.Unlock()
	if s == nil || subtle.ConstantTimeCompare(s.secret, secret) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// handle answers one message. An error ends the session.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	if _, sync := msg.(*pgproto3.Sync); s.skip && !sync {
		return nil
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.be.Flush()
	case *pgproto3.Terminate:
		return errHangUp
	}
	err := s.extended(msg)
	switch {
	case err == nil:
		return nil
	case s.over(err):
		return err
	}
	s.fail(err)
	s.skip = true
	return nil
}

// over reports whether err ends the session, and says why to the caller.
func (s *session) over(err error) bool {
	if cause := s.terminated(); cause != nil {
		s.farewell(cause)
		return true
	}
	return errors.Is(err, errHangUp) || s.ctx.Err() != nil
}

// fail tells the caller about err and fails the transaction.
func (s *session) fail(err error) {
	s.be.Send(response(err))
	if s.tx == nil {
		return
	}
	s.tx.failed = true
	if !s.tx.explicit {
		s.rollback()
	}
}

func (s *session) ready() error {
	status := byte('I')
	if s.tx != nil {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.be.Flush()
}

// query answers a simple query. Without BEGIN its statements are one
// transaction.
func (s *session) query(text string) error {
	statements, err := sql.Parse(text)
	if err != nil {
		s.fail(newError("42601", err.Error()))
		return s.ready()
	}
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		res, err := s.run(st, nil)
		if err == nil && i == len(statements)-1 {
			err = s.endImplicit()
		}
		if err != nil && s.over(err) {
			return err
		}
		if err != nil {
			s.fail(err)
			break
		}
		if res.columns != nil {
			s.be.Send(describe(res.columns, nil))
		}
		res.send(s.be, nil, 0)
	}
	return s.ready()
}

// endImplicit commits a transaction that BEGIN did not begin.
func (s *session) endImplicit() error {
	if s.tx == nil || s.tx.explicit {
		return nil
	}
	return s.commit()
}
