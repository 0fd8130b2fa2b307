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
	// ownerPrefix is the prefix of the application name of an owner's
	// connections. The epoch of the ownership follows it.
	ownerPrefix = "amaranthweir/"
	// PlatformName is the application name of the platform's connections, which
	// probe, promote and fence. They do not count towards Config.Connections.
	PlatformName = "amaranthweir-platform"
	// ReservedConnections is the maximum number of connections of the platform.
	ReservedConnections = 16
	// maxMessageBytes is the maximum size of a message of a caller.
	maxMessageBytes = 16 << 20
	// finalErrorTimeout bounds the write of the error that ends a session.
	finalErrorTimeout = time.Second
)

// session is the server side of a caller's connection.
type session struct {
	in       *Instance
	number   int
	secret   []byte
	conn     *faultConn
	be       *pgproto3.Backend
	platform bool
	hasEpoch bool        // the application name contains an epoch
	epoch    table.Epoch // valid if hasEpoch
	admitted bool        // counted in open or reserved; guarded by in.mu

	ctx   context.Context
	stop  context.CancelFunc
	ended chan struct{}

	mu     sync.Mutex
	cause  *sqlError          // why the session was terminated
	cancel context.CancelFunc // cancels the running statement, nil if none runs

	tx         *tx
	settings   map[string]string
	prepared   map[string]*preparedStatement
	portals    map[string]*portal
	skipToSync bool // ignore messages until Sync, after an error
}

// acceptCallers accepts connections of callers until the instance is closed.
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
	_, _ = rand.Read(s.secret) // rand.Read never fails
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
		_ = conn.Close() // Instance.Close may have missed this session
	}
	return s
}

func (s *session) serve() {
	defer close(s.ended)
	defer s.cleanUp()
	if err := s.handshake(); err != nil {
		s.sendFinalError(err)
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
	if cause := s.terminationCause(); cause != nil {
		s.sendFinalError(cause)
	}
}

// handshake reads the startup messages, admits the session and sends the messages
// that complete the startup.
func (s *session) handshake() error {
	params, err := s.readStartup()
	if err != nil {
		return err
	}
	s.parseApplicationName(params["application_name"])
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
	return s.sendReady()
}

// readStartup returns the parameters of the startup message. For a cancel request
// it cancels the statement and returns errCloseSession. Requests for encryption
// are refused.
func (s *session) readStartup() (map[string]string, error) {
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
			return nil, errCloseSession
		default: // request for TLS or GSS encryption
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

// parseApplicationName recognizes connections of the platform and of owners.
func (s *session) parseApplicationName(name string) {
	s.platform = name == PlatformName
	text, ok := strings.CutPrefix(name, ownerPrefix)
	if !ok {
		return
	}
	epoch, err := strconv.ParseUint(text, 10, 64)
	s.hasEpoch = err == nil
	s.epoch = table.Epoch(epoch)
}

// admit counts the session towards its connection limit. It returns
// errEpochFenced or errTooManyConnections if the session is refused.
func (in *Instance) admit(s *session) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s.hasEpoch && s.epoch < in.minEpoch {
		return errEpochFenced
	}
	open, maxOpen, limit := &in.open, &in.maxOpen, in.cfg.Connections
	if s.platform {
		open, maxOpen, limit = &in.reserved, &in.maxReserved, ReservedConnections
	}
	if *open >= limit {
		return errTooManyConnections
	}
	*open++
	*maxOpen = max(*maxOpen, *open)
	s.admitted = true
	return nil
}

// cleanUp rolls the transaction back and closes the connection. The session stops
// counting towards its limit before the caller sees the connection close, so that
// the caller can reconnect at once.
func (s *session) cleanUp() {
	s.rollback()
	s.stop()
	defer s.conn.Conn.Close() // the session is over, so the error does not matter
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

// terminate makes the session end with the error cause. It does not wait for the
// end.
func (s *session) terminate(cause *sqlError) {
	s.mu.Lock()
	s.cause = cause
	s.mu.Unlock()
	s.stop()
	_ = s.conn.SetDeadline(time.Unix(1, 0)) // interrupts a blocked read or write
}

// terminationCause returns the cause passed to terminate, or nil.
func (s *session) terminationCause() *sqlError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// sendFinalError sends err to the caller as the last message of the session, if
// err is a sqlError.
func (s *session) sendFinalError(err error) {
	var e *sqlError
	if !errors.As(err, &e) {
		return
	}
	_ = s.conn.SetDeadline(time.Now().Add(finalErrorTimeout)) // if this fails, Flush fails too
	s.be.Send(response(e))
	_ = s.be.Flush() // the caller may have disconnected
}

// cancelRequest cancels the running statement of the session with that number, if
// the secret matches.
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

// handle handles one message of the caller. The session ends if handle returns an
// error.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	if _, sync := msg.(*pgproto3.Sync); s.skipToSync && !sync {
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
		return errCloseSession
	}
	err := s.extended(msg)
	switch {
	case err == nil:
		return nil
	case s.endsSession(err):
		return err
	}
	s.fail(err)
	s.skipToSync = true
	return nil
}

// endsSession reports whether the session must end after err. If the session was
// terminated, endsSession also sends the cause to the caller.
func (s *session) endsSession(err error) bool {
	if cause := s.terminationCause(); cause != nil {
		s.sendFinalError(cause)
		return true
	}
	return errors.Is(err, errCloseSession) || s.ctx.Err() != nil
}

// fail sends err to the caller and fails the transaction. An implicit transaction
// is rolled back.
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

// sendReady sends ReadyForQuery with the transaction status and flushes.
func (s *session) sendReady() error {
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

// query handles a simple query. Outside an explicit transaction its statements
// form one implicit transaction.
func (s *session) query(text string) error {
	statements, err := sql.Parse(text)
	if err != nil {
		s.fail(newError("42601", err.Error()))
		return s.sendReady()
	}
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		res, err := s.run(st, nil)
		if err == nil && i == len(statements)-1 {
			err = s.endImplicit()
		}
		if err != nil && s.endsSession(err) {
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
	return s.sendReady()
}

// endImplicit commits the transaction if it is implicit, that is, not started by
// BEGIN.
func (s *session) endImplicit() error {
	if s.tx == nil || s.tx.explicit {
		return nil
	}
	return s.commit()
}
