// Package auth authenticates callers by SCRAM-SHA-256, and operators and
// announcing instances by bearer tokens. It keeps only verifiers and hashes, never
// passwords or tokens.
package auth

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	// HashIterations is the work factor of new verifiers.
	HashIterations = 4096
	// minIterations and maxIterations limit the work factor of a verifier.
	minIterations = 4096
	maxIterations = 10_000_000
	// MaxPasswordBytes is the maximum length of a password.
	MaxPasswordBytes = 1024
	// saltBytes is the length of a new salt. minSaltBytes and maxSaltBytes limit
	// the salt of a parsed verifier.
	saltBytes    = 16
	minSaltBytes = 8
	maxSaltBytes = 64
	// keyBytes is the length of StoredKey and ServerKey in SCRAM-SHA-256.
	keyBytes = 32
	// mechanism is the SASL name of the mechanism, which also begins a verifier.
	mechanism = "SCRAM-SHA-256"
)

// ErrVerifier is the error for an invalid verifier. It does not contain the text
// of the verifier.
var ErrVerifier = errors.New("expected SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, as PostgreSQL stores it")

// Verifier holds the data with which a host verifies a password, without the
// password itself.
type Verifier struct {
	iterations int
	salt       []byte
	storedKey  []byte
	serverKey  []byte
}

// ParseVerifier parses a verifier in the format that PostgreSQL stores. The error
// is ErrVerifier.
func ParseVerifier(text string) (Verifier, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return Verifier{}, ErrVerifier
	}
	iterations, salt, hasSalt := strings.Cut(parts[1], ":")
	storedKey, serverKey, hasServerKey := strings.Cut(parts[2], ":")
	if !hasSalt || !hasServerKey {
		return Verifier{}, ErrVerifier
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < minIterations || n > maxIterations {
		return Verifier{}, ErrVerifier
	}
	v := Verifier{iterations: n}
	for _, field := range []struct {
		dst       *[]byte
		text      string
		low, high int
	}{
		{&v.salt, salt, minSaltBytes, maxSaltBytes},
		{&v.storedKey, storedKey, keyBytes, keyBytes},
		{&v.serverKey, serverKey, keyBytes, keyBytes},
	} {
		raw, err := base64.StdEncoding.Strict().DecodeString(field.text)
		if err != nil || len(raw) < field.low || len(raw) > field.high {
			return Verifier{}, ErrVerifier
		}
		*field.dst = raw
	}
	return v, nil
}

// HashPassword returns a verifier of the password with a new random salt.
func HashPassword(password string) (Verifier, error) {
	if password == "" || len(password) > MaxPasswordBytes {
		return Verifier{}, fmt.Errorf("expected a password of 1 to %d bytes", MaxPasswordBytes)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		// PostgreSQL and its drivers also use a password unchanged if it cannot
		// be normalized.
		client, err = scram.SHA256.NewClientUnprepped("", password, "")
	}
	if err != nil {
		return Verifier{}, errors.New("the password cannot be hashed")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never returns an error
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: HashIterations})
	if err != nil {
		return Verifier{}, errors.New("the password cannot be hashed")
	}
	return Verifier{iterations: c.Iters, salt: salt, storedKey: c.StoredKey, serverKey: c.ServerKey}, nil
}

// Text returns the verifier in the format that ParseVerifier parses.
func (v Verifier) Text() string {
	e := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, v.iterations, e(v.salt), e(v.storedKey), e(v.serverKey))
}

func (v Verifier) credentials() scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.salt), Iters: v.iterations},
		StoredKey:  v.storedKey,
		ServerKey:  v.serverKey,
	}
}
