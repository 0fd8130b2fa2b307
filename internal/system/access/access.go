// Package access decides which callers may use a service, by the API keys of the
// workspaces in a deployment.
package access

import (
	"crypto/subtle"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// Rules are the keys and the public services of one deployment. A nil *Rules
// admits every caller without a workspace. Rules are immutable.
type Rules struct {
	public  map[string]bool
	holders map[config.KeyDigest]holder
	// keyed holds the workspaces that have at least one key.
	keyed map[string]bool
}

// holder is the workspace that holds a key.
type holder struct {
	workspace string
	digest    config.KeyDigest
}

// NewRules returns the rules of a deployment. It returns nil for a deployment
// without workspaces, whose callers need no key.
func NewRules(d *config.Deployment) *Rules {
	if d == nil || d.Workspaces == nil {
		return nil
	}
	r := &Rules{public: map[string]bool{}, holders: map[config.KeyDigest]holder{}, keyed: map[string]bool{}}
	for i := range d.Routes {
		if d.Routes[i].Public {
			r.public[d.Routes[i].Database] = true
		}
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, k := range w.Keys {
			r.holders[k] = holder{workspace: w.Name, digest: k}
		}
		r.keyed[w.Name] = len(w.Keys) > 0
	}
	return r
}

// Admit returns the workspace of a caller of service that presents the key with
// the given digest, and whether the caller may use the service. The workspace is
// empty for a caller of a public service without a known key.
//
// The digest is keyed with a secret of this process, so the time of the look-up
// tells a caller nothing about other keys.
func (r *Rules) Admit(service string, key config.KeyDigest) (workspace string, ok bool) {
	if r == nil {
		return "", true
	}
	h := r.holders[key]
	if h.workspace != "" && subtle.ConstantTimeCompare(h.digest[:], key[:]) == 1 {
		return h.workspace, true
	}
	return "", r.public[service]
}

// NeedsKey reports whether callers of the service need a key.
func (r *Rules) NeedsKey(service string) bool { return r != nil && !r.public[service] }

// HasKeys reports whether the workspace holds at least one key.
func (r *Rules) HasKeys(workspace string) bool { return r == nil || r.keyed[workspace] }
