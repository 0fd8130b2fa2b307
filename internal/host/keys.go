package host

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/access"
)

// keyPollInterval is how often a caller with an unknown key checks whether the
// configuration has become current.
const keyPollInterval = 25 * time.Millisecond

// keyChecker is a listener whose callers present keys.
type keyChecker interface {
	// CheckKeys applies the keys in force to the open sessions.
	CheckKeys()
}

// applyKeys applies the keys of a new deployment to the open sessions. It does not
// block.
func (h *Host) applyKeys() {
	if callers, ok := h.callers.(keyChecker); ok {
		go callers.CheckKeys()
	}
}

// keysOutdated reports whether this host may have missed the withdrawal of a key for
// longer than the settings allow.
func (h *Host) keysOutdated() bool {
	return access.IsOutdated(h.settings.Revocation, h.heartbeats.knowledgeAge())
}

// awaitNewerKeys returns once the keys that this host knows are at least as new as
// those that were in force when it was called, or when ctx ends.
func (h *Host) awaitNewerKeys(ctx context.Context) {
	calledAt := h.clock()
	tick := time.NewTicker(keyPollInterval)
	defer tick.Stop()
	for h.clock()-h.heartbeats.knowledgeAge() < calledAt {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// knowledgeAge returns the time since the host sent the latest heartbeat that a
// leader answered. It covers the time that a frozen host did not notice.
func (s *heartbeatSender) knowledgeAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.clock() - s.lastAnsweredSentAt
}
