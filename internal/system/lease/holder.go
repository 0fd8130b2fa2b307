package lease

import "time"

// Holder is the lease of one host, as the host itself sees it. The zero value
// holds no lease.
type Holder struct {
	held       bool
	until      time.Duration
	released   bool
	releasedAt time.Duration
}

// Renew takes the answer to a heartbeat that was sent at sentAt. The lease
// is counted from then and not from the arrival of the answer, which may have
// been delayed. An answer never shortens the lease, and the answer to a
// heartbeat sent before a release is void. The caller applies the control
// state that came with the answer before it calls Renew.
func (h *Holder) Renew(sentAt, duration time.Duration) {
	if h.released && sentAt <= h.releasedAt {
		return
	}
	until := sentAt + HolderTime(duration)
	if h.held && until <= h.until {
		return
	}
	h.held = true
	h.until = until
}

// Valid reports whether the host holds its lease at now. It is asked after an
// upstream answered and before the caller gets the acknowledgement.
func (h *Holder) Valid(now time.Duration) bool {
	return h.held && now < h.until
}

// Remaining returns how long the lease lasts from now, zero if it is not held.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return h.until - now
}

// Release gives the lease up at now. The host tells the grantor only
// afterwards.
func (h *Holder) Release(now time.Duration) {
	h.held = false
	h.released = true
	h.releasedAt = now
}
