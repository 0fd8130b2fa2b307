package auth

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/xdg-go/scram"
)

// Mechanism is the only one that callers are offered.
const Mechanism = mechanism

// Users are the callers that may log in.
type Users struct {
	verifiers map[string]Verifier
	secret    []byte
	shape     Verifier // whose work factor and salt length unknown users show
}

// NewUsers returns the callers that may log in, by name. Hosts with the same
// secret show the same salt for a name that none of them knows; first is the
// name whose work factor an unknown name shows.
func NewUsers(verifiers map[string]Verifier, first string, secret []byte) *Users {
	return &Users{verifiers: verifiers, secret: secret, shape: verifiers[first]}
}

// Conversation is one login.
type Conversation struct {
	server *scram.ServerConversation
	known  bool
}

// Begin starts the login of a caller. An unknown name goes the same way as a
// known one and fails at the end, as a wrong password does.
func (u *Users) Begin(name string) (*Conversation, error) {
	// Both are looked up and worked out for each name, known or not.
	made := u.unknown(name)
	v, known := u.verifiers[name]
	if !known {
		v = made
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v.credentials(), nil })
	if err != nil {
		return nil, err
	}
	return &Conversation{server: server.NewConversation(), known: known}, nil
}

// unknown makes up what a name shows that nobody has. No password fits it.
func (u *Users) unknown(name string) Verifier {
	derive := func(use string) []byte {
		mac := hmac.New(sha256.New, u.secret)
		mac.Write([]byte(use))
		mac.Write([]byte{0})
		mac.Write([]byte(name))
		return mac.Sum(nil)
	}
	salt := derive("salt")
	return Verifier{
		iterations: u.shape.iterations,
		salt:       append(salt, derive("more salt")...)[:len(u.shape.salt)],
		storedKey:  derive("stored key"),
		serverKey:  derive("server key"),
	}
}

// Step takes a message of the caller and returns the one to send.
func (c *Conversation) Step(message string) (string, error) { return c.server.Step(message) }

// Done reports whether the login is over, Valid whether it succeeded.
func (c *Conversation) Done() bool { return c.server.Done() }

// Valid reports whether the caller proved to know the password.
func (c *Conversation) Valid() bool { return c.known && c.server.Valid() }
