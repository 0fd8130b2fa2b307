package pg

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/pg/pgtest"
)

// refusalCounter is a Counters that sends the kind of each refusal to kinds.
type refusalCounter struct{ kinds chan errkind.Kind }

func (*refusalCounter) Callers(int)                 {}
func (r *refusalCounter) Refused(kind errkind.Kind) { r.kinds <- kind }

// Malformed logins that no driver sends must be refused before the gateway is
// called. The gateway is nil here, so a call would panic.
func TestMalformedLogins(t *testing.T) {
	verifier, err := auth.HashPassword("pencil")
	assert.NilError(t, err)
	users := auth.NewUsers(map[string]auth.Verifier{"ann": verifier}, "ann", []byte("k"))
	first := &pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism, Data: []byte("n,,n=,r=abc")}
	long := append(bytes.Clone(first.Data), bytes.Repeat([]byte("a"), maxLoginBytes)...)
	for name, sent := range map[string][]pgproto3.FrontendMessage{
		"a query instead of a login": {&pgproto3.Query{String: "SELECT 1"}},
		"a plain password":           {&pgproto3.PasswordMessage{Password: "pencil"}},
		"another mechanism":          {&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-1", Data: first.Data}},
		"an empty first message":     {&pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism}},
		"an empty proof":             {first, &pgproto3.SASLResponse{}},
		"a query as the proof":       {first, &pgproto3.Query{String: "SELECT 1"}},
		"an oversized message":       {&pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism, Data: long}},
	} {
		t.Run(name, func(t *testing.T) {
			log, _ := logtest.NewNullLogger()
			counter := &refusalCounter{kinds: make(chan errkind.Kind, 1)}
			l := NewListener(Config{Log: log, MaxCallers: 1, MaxMessageBytes: 1 << 20, Users: users, Counters: counter})
			client, server := net.Pipe()
			_ = client.SetDeadline(time.Now().Add(DefaultStartupTimeout))
			go l.serve(t.Context(), server)
			start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "ann"}}
			go func() { _, _ = client.Write(append(pgtest.Encode(t, start), pgtest.Encode(t, sent...)...)) }()
			answer, err := io.ReadAll(client)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(answer), "28P01"), "%q", answer)
			assert.Equal(t, <-counter.kinds, errkind.Unauthenticated)
			assert.Equal(t, l.startups, 0)
		})
	}
}

func TestConcurrentStartupLimit(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	counter := &refusalCounter{kinds: make(chan errkind.Kind, 1)}
	l := NewListener(Config{Log: log, MaxCallers: 1, MaxMessageBytes: 1 << 20, Counters: counter})
	for range maxConcurrentStartups {
		assert.Assert(t, l.acquireStartup())
	}
	client, server := net.Pipe()
	go l.serve(t.Context(), server)
	_, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, <-counter.kinds, errkind.CallerLimit)
	l.releaseStartup()
	assert.Assert(t, l.acquireStartup(), "the place was not released")
}
