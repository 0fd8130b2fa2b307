package lease

import "time"

// Holder is the state of a host's lease at the host itself. The zero value
// holds no lease.
type Holder struct {
	held       bool
	until      time.Duration
	released   bool
	releasedAt time.Duration
}

// Renew extends the lease after the answer to a heartbeat that was sent at
// sentAt. The lease is counted from sentAt and not from the arrival of the
// answer, which may have been delayed. An answer never shortens the lease, and
// the answer to a heartbeat that was sent before a release is ignored. The
// caller must apply the control state that came with the answer before it calls
// Renew.
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

// Valid reports whether the host holds its lease at now. The host must check it
// after an upstream answered and before it sends the acknowledgement to the
// caller.
func (h *Holder) Valid(now time.Duration) bool {
	return h.held && now < h.until
}

// Remaining returns how long the lease is still valid at now, zero if it is not
// held.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return h.until - now
}

// Release gives up the lease at now. The host must call Release before it
// informs the grantor.
func (h *Holder) Release(now time.Duration) {
	h.held = false
	h.released = true
	h.releasedAt = now
}
