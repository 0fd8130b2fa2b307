package upstream_test

import (
	"crypto/tls"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/certs"
	"github.com/amaranthweir/amaranthweir/internal/certs/certtest"
	"github.com/amaranthweir/amaranthweir/internal/upstream"
)

const password = "upstream-pencil"

// instance is a server that authenticates clients by SCRAM-SHA-256. If tls is nil, it
// refuses requests for TLS.
type instance struct {
	users *auth.Users
	tls   *tls.Config
}

// serve handles one connection until the end of the login.
func (in *instance) serve(nc net.Conn) {
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	b := pgproto3.NewBackend(nc, nc)
	msg, err := b.ReceiveStartupMessage()
	if _, ok := msg.(*pgproto3.SSLRequest); err == nil && ok {
		if in.tls == nil {
			_, _ = nc.Write([]byte{'N'})
			return
		}
		_, _ = nc.Write([]byte{'S'})
		nc = tls.Server(nc, in.tls)
		b = pgproto3.NewBackend(nc, nc)
		msg, err = b.ReceiveStartupMessage()
	}
	startup, ok := msg.(*pgproto3.StartupMessage)
	if err != nil || !ok {
		return
	}
	c, err := in.users.Begin(startup.Parameters["user"])
	if err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}})
	_ = b.Flush()
	_ = b.SetAuthType(pgproto3.AuthTypeSASL)
	msg, _ = b.Receive()
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return
	}
	challenge, _ := c.Step(string(first.Data))
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = b.Flush()
	_ = b.SetAuthType(pgproto3.AuthTypeSASLContinue)
	msg, _ = b.Receive()
	if last, ok := msg.(*pgproto3.SASLResponse); ok {
		proof, _ := c.Step(string(last.Data))
		in.finish(b, c, proof)
	}
}

// finish sends the result of the login.
func (in *instance) finish(b *pgproto3.Backend, c *auth.Conversation, proof string) {
	if !c.Valid() {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
		_ = b.Flush()
		return
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = b.Flush()
}

// newLoader returns a loader for the given certificate files.
func newLoader(t *testing.T, f certs.Files) *certs.Loader {
	t.Helper()
	l, err := certs.NewLoader(f, func() time.Duration { return 0 }, logrus.New())
	assert.NilError(t, err)
	return l
}

// A login succeeds over TLS and in plain text. It fails on a wrong password, an
// untrusted certificate or a refusal of TLS, and no error contains the password.
func TestLogin(t *testing.T) {
	verifier, err := auth.HashPassword(password)
	assert.NilError(t, err)
	users := auth.NewUsers(map[string]auth.Verifier{"amaranthweir": verifier}, "amaranthweir", []byte("k"))
	ca := certtest.NewCA(t)
	server := newLoader(t, ca.Issue(t, "g1-a")).Server()
	trusting := newLoader(t, certs.Files{CA: ca.File}).Client()
	untrusting := newLoader(t, certs.Files{CA: certtest.NewCA(t).File}).Client()
	for name, c := range map[string]struct {
		server, client *tls.Config
		password       string
		want           string // part of the error, or empty for success
	}{
		"SCRAM and TLS":             {server, trusting, password, ""},
		"SCRAM in plain text":       {nil, nil, password, ""},
		"wrong password":            {server, trusting, password + "x", "28P01"},
		"certificate of another CA": {server, untrusting, password, "unknown authority"},
		"instance without TLS":      {nil, trusting, password, "refused TLS"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				if nc, err := l.Accept(); err == nil {
					(&instance{users: users, tls: c.server}).serve(nc)
				}
			}()
			login := upstream.Login{User: "amaranthweir", Password: c.password, Database: "postgres", TLS: c.client}
			cfg, err := login.Config(l.Addr().String(), "test", 10*time.Second)
			assert.NilError(t, err)
			conn, err := pgconn.ConnectConfig(t.Context(), cfg)
			if c.want == "" {
				assert.NilError(t, err)
				_ = conn.Close(t.Context()) // the instance closes too
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, !strings.Contains(err.Error(), password), "the password is in the error")
		})
	}
}
