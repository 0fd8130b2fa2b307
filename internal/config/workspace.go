package config

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"
)

// Workspace is a tenant: the owner of API keys and the subject of a rate limit.
type Workspace struct {
	Name string
	// Keys are the digests of its API keys.
	Keys []KeyDigest
	// RatePerSecond and Burst limit the operations of the workspace over all
	// hosts: single statements and whole transactions. Zero RatePerSecond means
	// that there is no limit.
	RatePerSecond float64
	Burst         float64
}

// KeyDigest is the keyed digest of an API key. It is what hosts keep and compare
// in place of the key.
type KeyDigest [sha256.Size]byte

// digestSecret keys the digests of this process, so that a digest that leaks is
// of no use for a dictionary attack.
var digestSecret = func() []byte {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // never fails
	return secret
}()

// DigestKey returns the digest of an API key. Digests of different processes
// differ.
func DigestKey(key string) KeyDigest {
	mac := hmac.New(sha256.New, digestSecret)
	mac.Write([]byte(key))
	var d KeyDigest
	mac.Sum(d[:0])
	return d
}

// QuotaSettings state how exactly the rate limits of workspaces must hold: in any
// window, the operations of a workspace that reach instances must not exceed
// (rate x Window + burst) x (1 + Overshoot) + Tolerance.
type QuotaSettings struct {
	Window    time.Duration
	Overshoot float64
	// Tolerance is a number of operations.
	Tolerance float64
}

// RevocationSettings state when a withdrawn key loses its effect.
type RevocationSettings struct {
	// Strict is set when a host that cannot know whether a key was withdrawn must
	// refuse its callers.
	Strict bool
	// Timeout is how long after the acknowledgement of its withdrawal a key may
	// still be in use on an open connection.
	Timeout time.Duration
}
