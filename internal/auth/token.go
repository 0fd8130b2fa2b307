package auth

import (
	"crypto/sha256"
	"crypto/subtle"
)

// MaxTokenBytes is the maximum length of a bearer token.
const MaxTokenBytes = 512

// TokenHash is the SHA-256 of a bearer token.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Matches reports whether h is the hash of token. It compares in constant time.
func (h TokenHash) Matches(token string) bool {
	hash := HashToken(token)
	return subtle.ConstantTimeCompare(h[:], hash[:]) == 1
}

// Operator is a user of the HTTP interface who may make changes and queries.
type Operator struct {
	Name  string
	Token TokenHash
}

// FindOperator returns the name of the operator with the given token. It always
// compares the token with all operators, so that the time taken does not reveal
// which one matches.
func FindOperator(all []Operator, token string) (string, bool) {
	name, found := "", false
	for _, o := range all {
		if o.Token.Matches(token) {
			name, found = o.Name, true
		}
	}
	return name, found
}
