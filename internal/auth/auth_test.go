package auth

import (
	"strings"
	"testing"

	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"
)

// newVerifier returns a verifier of the password, after a round trip through its
// text format.
func newVerifier(t *testing.T, password string) Verifier {
	t.Helper()
	v, err := HashPassword(password)
	assert.NilError(t, err)
	parsed, err := ParseVerifier(v.Text())
	assert.NilError(t, err)
	assert.Equal(t, parsed.Text(), v.Text())
	return parsed
}

// login runs both sides of a login. It returns the first message of the server
// and whether the login succeeded.
func login(t *testing.T, u *Users, name, password string) (first string, valid bool) {
	t.Helper()
	client, err := scram.SHA256.NewClient(name, password, "")
	assert.NilError(t, err)
	c, err := u.Begin(name)
	assert.NilError(t, err)
	conv := client.NewConversation()
	message, err := conv.Step("")
	assert.NilError(t, err)
	first, err = c.Step(message)
	assert.NilError(t, err)
	message, err = conv.Step(first)
	assert.NilError(t, err)
	reply, stepErr := c.Step(message)
	assert.Equal(t, stepErr == nil, c.Valid())
	assert.Assert(t, c.Done())
	if c.Valid() {
		_, err = conv.Step(reply)
		assert.NilError(t, err)
		assert.Assert(t, conv.Valid(), "the client rejected the server's signature")
	}
	return first, c.Valid()
}

// keyFactors returns the salt and the work factor in the server's first message.
func keyFactors(first string) string { return first[strings.Index(first, ",s="):] }

func TestLogin(t *testing.T) {
	verifiers := map[string]Verifier{"ann": newVerifier(t, "pencil")}
	host1, host2 := NewUsers(verifiers, "ann", []byte("k")), NewUsers(verifiers, "ann", []byte("k"))
	_, ok := login(t, host1, "ann", "pencil")
	assert.Assert(t, ok)
	known, ok := login(t, host1, "ann", "pen")
	assert.Assert(t, !ok)
	unknown, ok := login(t, host1, "bob", "pencil")
	assert.Assert(t, !ok)
	assert.Equal(t, len(keyFactors(known)), len(keyFactors(unknown)), "the reply reveals that a name is unknown")
	onHost2, _ := login(t, host2, "bob", "pencil")
	assert.Equal(t, keyFactors(unknown), keyFactors(onHost2), "hosts present different salts for an unknown name")
	other, _ := login(t, host1, "eve", "pencil")
	assert.Assert(t, keyFactors(unknown) != keyFactors(other), "unknown names share a salt")
}

func TestUnknownUsersDoTheSameWork(t *testing.T) {
	u := NewUsers(map[string]Verifier{"ann": newVerifier(t, "pencil")}, "ann", []byte("k"))
	allocs := func(name string) float64 {
		return testing.AllocsPerRun(100, func() { _, _ = u.Begin(name) })
	}
	assert.Equal(t, allocs("ann"), allocs("bob"))
}

func TestParseVerifierRejectsMalformedText(t *testing.T) {
	good := newVerifier(t, "pencil").Text()
	for _, bad := range []string{
		"", "pencil", "md5" + strings.Repeat("0", 32), good + "$", good[:len(good)-5],
		strings.Replace(good, "$4096:", "$4095:", 1), strings.Replace(good, "$4096:", "$4096", 1),
		strings.Replace(good, "$4096:", "$99999999999:", 1), strings.Replace(good, "256", "1", 1),
	} {
		_, err := ParseVerifier(bad)
		assert.Assert(t, err == ErrVerifier, bad)
	}
	_, err := HashPassword("")
	assert.ErrorContains(t, err, "1 to 1024 bytes")
}

func TestFindOperator(t *testing.T) {
	all := []Operator{{Name: "a", Token: HashToken("one")}, {Name: "b", Token: HashToken("two")}}
	name, ok := FindOperator(all, "two")
	assert.Assert(t, ok && name == "b")
	for _, wrong := range []string{"", "three", "tw"} {
		_, ok = FindOperator(all, wrong)
		assert.Assert(t, !ok, wrong)
	}
}

func FuzzLogin(f *testing.F) {
	v, err := HashPassword("pencil")
	assert.NilError(f, err)
	u := NewUsers(map[string]Verifier{"ann": v}, "ann", []byte("k"))
	f.Add("n,,n=,r=abc", "c=biws,r=abc,p=")
	f.Fuzz(func(t *testing.T, first, last string) {
		c, err := u.Begin("ann")
		assert.NilError(t, err)
		_, _ = c.Step(first)
		_, _ = c.Step(last)
		assert.Assert(t, !c.Valid())
		_, _ = ParseVerifier(first)
	})
}
