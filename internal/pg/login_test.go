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

// refusals counts what a Listener refused.
type refusals struct{ kinds chan errkind.Kind }

func (*refusals) Callers(int)                 {}
func (r *refusals) Refused(kind errkind.Kind) { r.kinds <- kind }

// TestBadLogins sends what no driver sends. Each is refused before the
// gateway, which is nil here, hears of it.
func TestBadLogins(t *testing.T) {
	verifier, err := auth.HashPassword("pencil")
	assert.NilError(t, err)
	users := auth.NewUsers(map[string]auth.Verifier{"ann": verifier}, "ann", []byte("k"))
	first := &pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism, Data: []byte("n,,n=,r=abc")}
	long := append(bytes.Clone(first.Data), bytes.Repeat([]byte("a"), maxLoginBytes)...)
	for name, sent := range map[string][]pgproto3.FrontendMessage{
		"a query instead of a login": {&pgproto3.Query{String: "SELECT 1"}},
		"a plain password":           {&pgproto3.PasswordMessage{Password: "pencil"}},
		"another mechanism":          {&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-1", Data: first.Data}},
		"a first message of nothing": {&pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism}},
		"a proof of nothing":         {first, &pgproto3.SASLResponse{}},
		"a query as the proof":       {first, &pgproto3.Query{String: "SELECT 1"}},
		"too large a message":        {&pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism, Data: long}},
	} {
		t.Run(name, func(t *testing.T) {
			log, _ := logtest.NewNullLogger()
			counter := &refusals{kinds: make(chan errkind.Kind, 1)}
			l := NewListener(Config{Log: log, MaxCallers: 1, MaxMessageBytes: 1 << 20, Users: users, Counters: counter})
			near, far := net.Pipe()
			_ = near.SetDeadline(time.Now().Add(DefaultStartupTimeout))
			go l.serve(t.Context(), far)
			start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "ann"}}
			go func() { _, _ = near.Write(append(pgtest.Encode(t, start), pgtest.Encode(t, sent...)...)) }()
			answer, err := io.ReadAll(near)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(answer), "28P01"), "%q", answer)
			assert.Equal(t, <-counter.kinds, errkind.Unauthenticated)
			assert.Equal(t, l.starting, 0)
		})
	}
}

func TestConnectionsInStartUpAreBounded(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	counter := &refusals{kinds: make(chan errkind.Kind, 1)}
	l := NewListener(Config{Log: log, MaxCallers: 1, MaxMessageBytes: 1 << 20, Counters: counter})
	for range maxStarting {
		assert.Assert(t, l.beginStart())
	}
	near, far := net.Pipe()
	go l.serve(t.Context(), far)
	_, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Equal(t, <-counter.kinds, errkind.CallerLimit)
	l.endStart()
	assert.Assert(t, l.beginStart(), "the place is not free again")
}
