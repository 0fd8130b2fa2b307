package session

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"strings"
	"sync"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The layout of a token, before base64url: version, key id, payload, MAC. The
// payload is the number of groups, then for each group in ascending order the
// length of its name, the name, and the term and position of both the floor and
// the older mark. All numbers are varints.
const (
	version     = 1
	keyIDBytes  = 4
	headerBytes = 1 + keyIDBytes
	macBytes    = 16 // HMAC-SHA-256, truncated
)

// Size limits of keys and tokens.
const (
	// MinKeyBytes is the minimum length of a key.
	MinKeyBytes   = 32
	maxNameBytes  = 63
	maxFloorBytes = 1 + maxNameBytes + 4*binary.MaxVarintLen64
	// MaxTokenBytes is the maximum length of an encoded token.
	MaxTokenBytes = (headerBytes + binary.MaxVarintLen64 + MaxGroups*maxFloorBytes + macBytes) * 4 / 3
)

// macDomain separates the MACs of tokens from any other use of the keys.
const macDomain = "amaranthweir session token"

// Keyring encodes and decodes tokens with keys that all hosts share. It is
// immutable and safe for concurrent use.
type Keyring struct {
	keys []key
}

// key is one signing key with a pool of MAC computations.
type key struct {
	id   [keyIDBytes]byte
	macs *sync.Pool // of *macState
}

// macState holds the reusable buffers of a MAC computation.
type macState struct {
	hash hash.Hash
	buf  []byte
}

func newKey(secret []byte) key {
	sum := sha256.Sum256(secret)
	macs := &sync.Pool{New: func() any { return &macState{hash: hmac.New(sha256.New, secret)} }}
	return key{id: [keyIDBytes]byte(sum[:keyIDBytes]), macs: macs}
}

// NewKeyring returns a keyring. The first key signs; all keys verify. To rotate
// keys, append the new key on every host, then move it to the front on every
// host, and remove the old key once no token that it signed is needed.
func NewKeyring(secrets [][]byte) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, errkind.New(errkind.ConfigInvalid, "session keys: expected at least one")
	}
	k := &Keyring{}
	for i, secret := range secrets {
		if len(secret) < MinKeyBytes {
			return nil, errkind.New(errkind.ConfigInvalid, "session key %d: found %d bytes, expected at least %d",
				i, len(secret), MinKeyBytes)
		}
		k.keys = append(k.keys, newKey(bytes.Clone(secret)))
	}
	return k, nil
}

// ParseKeys decodes the hexadecimal keys of the settings.
func ParseKeys(keys []string) ([][]byte, error) {
	secrets := make([][]byte, len(keys))
	for i, s := range keys {
		secret, err := hex.DecodeString(s)
		if err != nil {
			return nil, errkind.New(errkind.ConfigInvalid, "session key %d: expected hexadecimal digits", i)
		}
		secrets[i] = secret
	}
	return secrets, nil
}

// Encode returns the signed token in unpadded base64url.
func (k *Keyring) Encode(t *Token) string {
	signer := &k.keys[0]
	raw := make([]byte, 0, headerBytes+len(t.floors)*maxFloorBytes+macBytes)
	raw = append(raw, version)
	raw = append(raw, signer.id[:]...)
	raw = appendPayload(raw, t.floors)
	raw = signer.appendMAC(raw, t.service, raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode verifies an encoded token and returns it. It returns an
// errkind.TokenInvalid for any text that no host of this deployment encoded for
// the service.
func (k *Keyring) Decode(service, encoded string) (*Token, error) {
	if len(encoded) > MaxTokenBytes {
		return nil, errkind.New(errkind.TokenInvalid, "longer than %d bytes", MaxTokenBytes)
	}
	// The base64 decoder skips line breaks, which would allow several encodings
	// of one token.
	if strings.ContainsAny(encoded, "\r\n") {
		return nil, errkind.New(errkind.TokenInvalid, "expected base64url")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return nil, errkind.New(errkind.TokenInvalid, "expected base64url")
	}
	if len(raw) < headerBytes+macBytes || raw[0] != version {
		return nil, errkind.New(errkind.TokenInvalid, "expected a token of version %d", version)
	}
	signed, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !k.verify(service, signed, mac) {
		return nil, errkind.New(errkind.TokenInvalid, "signed by none of the keys for this service")
	}
	floors, err := parsePayload(signed[headerBytes:])
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TokenInvalid, "%v", err)
	}
	return &Token{service: service, floors: floors}, nil
}

// verify reports whether one of the keys signed the bytes for the service.
func (k *Keyring) verify(service string, signed, mac []byte) bool {
	id := [keyIDBytes]byte(signed[1:headerBytes])
	for i := range k.keys {
		if k.keys[i].id != id {
			continue
		}
		if hmac.Equal(k.keys[i].appendMAC(nil, service, signed), mac) {
			return true
		}
	}
	return false
}

// appendMAC appends the MAC of the service and the signed bytes.
func (k *key) appendMAC(dst []byte, service string, signed []byte) []byte {
	m := k.macs.Get().(*macState)
	defer k.macs.Put(m)
	m.hash.Reset()
	m.buf = append(m.buf[:0], macDomain...)
	m.buf = binary.AppendUvarint(m.buf, uint64(len(service)))
	m.buf = append(m.buf, service...)
	m.hash.Write(m.buf)
	m.hash.Write(signed)
	m.buf = m.hash.Sum(m.buf[:0])
	return append(dst, m.buf[:macBytes]...)
}

// appendPayload appends the encoded floors.
func appendPayload(dst []byte, floors []floor) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(floors)))
	for _, f := range floors {
		dst = binary.AppendUvarint(dst, uint64(len(f.group)))
		dst = append(dst, f.group...)
		dst = appendMark(dst, f.mark)
		dst = appendMark(dst, f.olderMark)
	}
	return dst
}

func appendMark(dst []byte, m table.Mark) []byte {
	dst = binary.AppendUvarint(dst, uint64(m.Term))
	return binary.AppendUvarint(dst, uint64(m.Position))
}

// parsePayload decodes what appendPayload encodes and rejects everything else.
func parsePayload(src []byte) ([]floor, error) {
	p := payloadReader{rest: string(src)}
	count := p.uvarint(MaxGroups)
	floors := make([]floor, 0, count)
	for range count {
		name := p.text(p.uvarint(maxNameBytes))
		f := floor{group: table.GroupName(name), mark: p.mark(), olderMark: p.mark()}
		if n := len(floors); n > 0 && floors[n-1].group >= f.group {
			p.fail("groups out of order")
		}
		if p.err != nil {
			return nil, p.err
		}
		floors = append(floors, f)
	}
	if p.err == nil && p.rest != "" {
		p.fail("bytes after the last group")
	}
	return floors, p.err
}

// payloadReader reads the numbers and texts of a payload. After an error it
// returns zero values.
type payloadReader struct {
	rest string
	err  error
}

// uvarint reads a number that is at most limit.
func (p *payloadReader) uvarint(limit uint64) uint64 {
	var scratch [binary.MaxVarintLen64]byte
	n := copy(scratch[:], p.rest)
	v, used := binary.Uvarint(scratch[:n])
	if used <= 0 || v > limit {
		p.fail("a number is out of range")
		return 0
	}
	p.rest = p.rest[used:]
	return v
}

// mark reads a term and a position.
func (p *payloadReader) mark() table.Mark {
	term := p.uvarint(math.MaxUint64)
	return table.Mark{Term: table.Term(term), Position: table.Position(p.uvarint(math.MaxUint64))}
}

// text reads a text of n bytes.
func (p *payloadReader) text(n uint64) string {
	if uint64(len(p.rest)) < n {
		p.fail("a name is cut off")
		return ""
	}
	s := p.rest[:n]
	p.rest = p.rest[n:]
	return s
}

// fail records the first error and discards the remaining input.
func (p *payloadReader) fail(msg string) {
	if p.err == nil {
		p.err = fmt.Errorf("payload: %s", msg)
	}
	p.rest = ""
}
