package pg

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// authenticate authenticates a caller with SCRAM-SHA-256. An unknown user and a
// wrong password produce the same error.
func authenticate(b *pgproto3.Backend, users *auth.Users, user string) error {
	refused := errkind.New(errkind.Unauthenticated, "user %.64q", user)
	c, err := users.Begin(user)
	if err != nil {
		return errkind.Of(err)
	}
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}})
	if err := b.Flush(); err != nil {
		return err
	}
	if err := b.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := b.Receive()
	if err != nil {
		return errkind.Wrap(err, errkind.Unauthenticated, "the login cannot be read")
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != auth.Mechanism {
		return refused
	}
	challenge, err := c.Step(string(first.Data))
	if err != nil {
		return refused
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := b.Flush(); err != nil {
		return err
	}
	if err := b.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if msg, err = b.Receive(); err != nil {
		return errkind.Wrap(err, errkind.Unauthenticated, "the login cannot be read")
	}
	last, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return refused
	}
	proof, err := c.Step(string(last.Data))
	if err != nil || !c.Valid() {
		return refused
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return b.Flush()
}
