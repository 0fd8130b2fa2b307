package auth

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/xdg-go/scram"
)

// Mechanism is the only SASL mechanism that is offered to callers.
const Mechanism = mechanism

// Users are the callers that may log in.
type Users struct {
	verifiers map[string]Verifier
	secret    []byte   // key from which the decoys of unknown names are derived
	template  Verifier // work factor and salt length of decoys
}

// NewUsers returns the callers that may log in, with their verifiers by name. An
// unknown name gets a decoy verifier, which is derived from secret, so that hosts
// with the same secret present the same salt for it. The decoy has the work
// factor and the salt length of the user templateName.
func NewUsers(verifiers map[string]Verifier, templateName string, secret []byte) *Users {
	return &Users{verifiers: verifiers, secret: secret, template: verifiers[templateName]}
}

// Conversation is the SCRAM exchange of one login.
type Conversation struct {
	server *scram.ServerConversation
	known  bool
}

// Begin starts the login of a caller. The exchange for an unknown name has the
// same steps as for a known one and fails only at the end, like one with a wrong
// password, so that callers cannot find out which names exist.
func (u *Users) Begin(name string) (*Conversation, error) {
	// The decoy is computed for known names too, so that the time taken does not
	// reveal whether a name is known.
	decoy := u.decoyVerifier(name)
	v, known := u.verifiers[name]
	if !known {
		v = decoy
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v.credentials(), nil })
	if err != nil {
		return nil, err
	}
	return &Conversation{server: server.NewConversation(), known: known}, nil
}

// decoyVerifier returns a verifier for an unknown name. No password matches it.
func (u *Users) decoyVerifier(name string) Verifier {
	derive := func(purpose string) []byte {
		mac := hmac.New(sha256.New, u.secret)
		mac.Write([]byte(purpose))
		mac.Write([]byte{0})
		mac.Write([]byte(name))
		return mac.Sum(nil)
	}
	salt := derive("salt")
	return Verifier{
		iterations: u.template.iterations,
		salt:       append(salt, derive("more salt")...)[:len(u.template.salt)],
		storedKey:  derive("stored key"),
		serverKey:  derive("server key"),
	}
}

// Step processes a message from the caller and returns the reply.
func (c *Conversation) Step(message string) (string, error) { return c.server.Step(message) }

// Done reports whether the exchange is complete, successfully or not.
func (c *Conversation) Done() bool { return c.server.Done() }

// Valid reports whether the caller has proven knowledge of the password.
func (c *Conversation) Valid() bool { return c.known && c.server.Valid() }
