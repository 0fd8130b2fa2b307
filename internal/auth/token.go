package auth

import (
	"crypto/sha256"
	"crypto/subtle"
)

// MaxTokenBytes bounds a bearer token.
const MaxTokenBytes = 512

// TokenHash is the SHA-256 of a bearer token.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Matches compares in a time that does not depend on where they differ.
func (h TokenHash) Matches(token string) bool {
	given := HashToken(token)
	return subtle.ConstantTimeCompare(h[:], given[:]) == 1
}

// Operator may change and ask through the HTTP interface.
type Operator struct {
	Name  string
	Token TokenHash
}

// FindOperator returns the name of the operator with a token. It compares with
// every one, so that the time says nothing about which one fits.
func FindOperator(all []Operator, token string) (string, bool) {
	name, found := "", false
	for _, o := range all {
		if o.Token.Matches(token) {
			name, found = o.Name, true
		}
	}
	return name, found
}
