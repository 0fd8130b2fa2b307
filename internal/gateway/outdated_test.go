package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/access"
)

// A host that hears no leader told callers that a database does not exist although a
// version with it had been acknowledged. It cannot know: it must say that nothing ran
// and that another host may serve the caller, and go on serving what it knows.
func TestOutdatedHostDeniesNothing(t *testing.T) {
	s, d := newSession(t)
	g := s.gateway
	rules := rulesOf("known")
	g.cfg.Access = func() *access.Rules { return rules }
	attempts := map[string]func() error{
		"a session of an unknown database": func() error {
			_, err := g.NewSession("added", "clerk")
			return err
		},
		"an unknown class of a session":   func() error { return s.SetClass("added") },
		"an unknown class of a statement": func() error { _, err := execSQL(t, s, "/* class=added */ select"); return err },
		"an explanation": func() error {
			_, err := g.Explain("added", "", "")
			return err
		},
		"an unknown key": func() error {
			other, err := g.NewSession("shop", "clerk")
			assert.NilError(t, err)
			return other.Authenticate(config.DigestKey("added"))
		},
		"a database that was dropped here": func() error {
			service := d.doc.Service
			d.doc.Service = "another"
			defer func() { d.doc.Service = service }()
			_, err := execSQL(t, s, "insert")
			return err
		},
	}
	for _, outdated := range []bool{true, false} {
		g.cfg.ConfigurationOutdated = func() bool { return outdated }
		assert.NilError(t, s.Authenticate(config.DigestKey("known")))
		for name, attempt := range attempts {
			err := attempt()
			assert.Equal(t, errkind.Is(err, errkind.ConfigurationOutdated), outdated, "%s: %v", name, err)
			assert.Equal(t, errkind.Of(err).Effect, errkind.NotRun, name)
			assert.Equal(t, errkind.Of(err).Kind.Answer().Repeat, outdated, name)
		}
		_, err := execSQL(t, s, "insert")
		assert.NilError(t, err, "what is known is served")
	}
	g.cfg.ConfigurationOutdated = func() bool { return true }
	rules = rulesOf()
	_, err := execSQL(t, s, "insert")
	assert.Assert(t, errkind.Is(err, errkind.Unauthenticated), "a key that this host knows to be withdrawn: %v", err)
}
