package auth

import (
	"strings"
	"testing"

	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"
)

// stored is a verifier of the password "pencil" in the form of PostgreSQL.
func stored(t *testing.T, password string) Verifier {
	t.Helper()
	v, err := HashPassword(password)
	assert.NilError(t, err)
	again, err := ParseVerifier(v.Text())
	assert.NilError(t, err)
	assert.Equal(t, again.Text(), v.Text())
	return again
}

// login runs both sides and returns what the client was shown first.
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
	answer, stepErr := c.Step(message)
	assert.Equal(t, stepErr == nil, c.Valid())
	assert.Assert(t, c.Done())
	if c.Valid() {
		_, err = conv.Step(answer)
		assert.NilError(t, err)
		assert.Assert(t, conv.Valid(), "the caller does not trust the host")
	}
	return first, c.Valid()
}

// factors returns the salt and the work factor of a first message.
func factors(first string) string { return first[strings.Index(first, ",s="):] }

func TestLogin(t *testing.T) {
	verifiers := map[string]Verifier{"ann": stored(t, "pencil")}
	here, there := NewUsers(verifiers, "ann", []byte("k")), NewUsers(verifiers, "ann", []byte("k"))
	_, ok := login(t, here, "ann", "pencil")
	assert.Assert(t, ok)
	known, ok := login(t, here, "ann", "pen")
	assert.Assert(t, !ok)
	unknown, ok := login(t, here, "bob", "pencil")
	assert.Assert(t, !ok)
	assert.Equal(t, len(factors(known)), len(factors(unknown)), "an unknown name shows")
	again, _ := login(t, there, "bob", "pencil")
	assert.Equal(t, factors(unknown), factors(again), "the salt of an unknown name changes")
	other, _ := login(t, here, "eve", "pencil")
	assert.Assert(t, factors(unknown) != factors(other), "unknown names share a salt")
}

func TestUnknownUsersDoTheSameWork(t *testing.T) {
	u := NewUsers(map[string]Verifier{"ann": stored(t, "pencil")}, "ann", []byte("k"))
	work := func(name string) float64 {
		return testing.AllocsPerRun(100, func() { _, _ = u.Begin(name) })
	}
	assert.Equal(t, work("ann"), work("bob"))
}

func TestParseVerifierRefuses(t *testing.T) {
	good := stored(t, "pencil").Text()
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
