package gateway

import (
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/access"
)

// Authenticate sets the key that the caller presented, as its digest. It returns an
// error of kind Unauthenticated if the key does not admit the caller.
func (s *Session) Authenticate(key config.KeyDigest) error {
	s.key = key
	return s.CheckKey()
}

// Workspace returns the workspace of the session, or the empty string.
func (s *Session) Workspace() string { return s.workspace }

// CheckKey determines the workspace of the session by the rules in force. It
// returns an error of kind Unauthenticated if they do not admit the caller any
// more, of kind NotLeader if this host must not rely on what it knows, or of kind
// ConfigurationOutdated if it may have missed the key. It must not be called inside a
// transaction, which stays in its workspace.
func (s *Session) CheckKey() error {
	if s.gateway.cfg.Access == nil {
		return nil
	}
	rules := s.gateway.rules()
	workspace, ok := rules.Admit(s.service, s.key)
	if !ok {
		return s.keyError()
	}
	if rules.NeedsKey(s.service) && s.gateway.cfg.KeysOutdated != nil && s.gateway.cfg.KeysOutdated() {
		return errkind.New(errkind.NotLeader, "no control leader answers, so keys may have been withdrawn")
	}
	s.workspace = workspace
	return nil
}

// keyError returns the error for a caller whose key is not in force at this host.
func (s *Session) keyError() error {
	if s.workspace != "" { // the key was withdrawn
		return errkind.New(errkind.Unauthenticated, "%s", s.describeKey())
	}
	return s.gateway.notFound(errkind.Unauthenticated, "%s", s.describeKey())
}

// IsAdmitted reports whether the rules in force admit the caller. Unlike the other
// methods, it is safe for concurrent use once Authenticate has returned.
func (s *Session) IsAdmitted() bool {
	_, ok := s.gateway.rules().Admit(s.service, s.key)
	return ok
}

// rules returns the rules in force, or nil if callers need no key.
func (g *Gateway) rules() *access.Rules {
	if g.cfg.Access == nil {
		return nil
	}
	return g.cfg.Access()
}

// describeKey describes the key of a refused caller without showing it.
func (s *Session) describeKey() string {
	switch {
	case s.workspace != "":
		return "the key was withdrawn from workspace " + s.workspace
	case s.key == config.KeyDigest{}:
		return "no key was presented"
	}
	return "the key belongs to no workspace"
}
