// Package auth checks who speaks: callers by SCRAM-SHA-256, operators and
// announcing instances by bearer tokens. It holds verifiers and hashes only,
// never a password or a token.
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
	// minIterations and maxIterations bound the work factor of a verifier.
	minIterations = 4096
	maxIterations = 10_000_000
	// MaxPasswordBytes bounds a password that is hashed.
	MaxPasswordBytes = 1024
	// saltBytes is the length of a new salt, minSaltBytes and maxSaltBytes
	// bound one that is given.
	saltBytes    = 16
	minSaltBytes = 8
	maxSaltBytes = 64
	// keyBytes is the length of the keys of SCRAM-SHA-256.
	keyBytes = 32
	// mechanism is the name of the method in verifiers and in the protocol.
	mechanism = "SCRAM-SHA-256"
)

// ErrVerifier says that a text is no verifier. It does not repeat the text.
var ErrVerifier = errors.New("expected SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, as PostgreSQL stores it")

// Verifier is what a host keeps of a password.
type Verifier struct {
	iterations int
	salt       []byte
	storedKey  []byte
	serverKey  []byte
}

// ParseVerifier reads the form that PostgreSQL stores. The error is
// ErrVerifier.
func ParseVerifier(text string) (Verifier, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return Verifier{}, ErrVerifier
	}
	iterations, salt, both := strings.Cut(parts[1], ":")
	stored, server, bothKeys := strings.Cut(parts[2], ":")
	if !both || !bothKeys {
		return Verifier{}, ErrVerifier
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < minIterations || n > maxIterations {
		return Verifier{}, ErrVerifier
	}
	v := Verifier{iterations: n}
	for _, field := range []struct {
		to        *[]byte
		text      string
		low, high int
	}{
		{&v.salt, salt, minSaltBytes, maxSaltBytes},
		{&v.storedKey, stored, keyBytes, keyBytes},
		{&v.serverKey, server, keyBytes, keyBytes},
	} {
		raw, err := base64.StdEncoding.Strict().DecodeString(field.text)
		if err != nil || len(raw) < field.low || len(raw) > field.high {
			return Verifier{}, ErrVerifier
		}
		*field.to = raw
	}
	return v, nil
}

// HashPassword makes a verifier with a new salt.
func HashPassword(password string) (Verifier, error) {
	if password == "" || len(password) > MaxPasswordBytes {
		return Verifier{}, fmt.Errorf("expected a password of 1 to %d bytes", MaxPasswordBytes)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		// PostgreSQL and its drivers take a password as it is, too, where it
		// cannot be normalized.
		client, err = scram.SHA256.NewClientUnprepped("", password, "")
	}
	if err != nil {
		return Verifier{}, errors.New("the password cannot be hashed")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: HashIterations})
	if err != nil {
		return Verifier{}, errors.New("the password cannot be hashed")
	}
	return Verifier{iterations: c.Iters, salt: salt, storedKey: c.StoredKey, serverKey: c.ServerKey}, nil
}

// Text returns the form that ParseVerifier reads.
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
