package typedserver

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/drain"
)

// The reasons for which a transaction is rolled back between two statements.
const (
	reasonIdle      = "the transaction was idle for too long"
	reasonWithdrawn = "the key was withdrawn"
)

// withdrawal is the part of a session that depends on whether the key of its caller
// is in force. It is guarded by session.mu.
type withdrawal struct {
	withdrawn bool
	// transactionUntil is when the open transaction of a withdrawn key ends, or
	// zero.
	transactionUntil time.Time
	// idleUntil is when the transaction that waits for its next statement will
	// have been idle for too long, or zero.
	idleUntil time.Time
}

// setAdmitted applies whether the key of the caller is in force. A session whose
// key was withdrawn ends: immediately if it is idle, after its statement, or with
// its transaction, which may go on for Config.WithdrawalGrace. A key that is given
// back before then restores the session.
func (s *session) setAdmitted(admitted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = !admitted
	switch {
	case admitted && s.transactionUntil.IsZero():
	case admitted:
		s.transactionUntil = time.Time{}
		if !s.running {
			s.setTransactionDeadline()
		}
	case !s.busy:
		s.shuttingDown = true
		drain.Interrupt(s.net)
	case s.transactionUntil.IsZero():
		s.transactionUntil = now.Add(s.listener.cfg.WithdrawalGrace)
		if !s.running {
			s.setTransactionDeadline()
		}
	}
}

// startIdleTransaction bounds the wait for the next statement of the transaction.
func (s *session) startIdleTransaction() {
	limit := s.listener.cfg.IdleTransaction()
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 {
		s.idleUntil = time.Now().Add(limit)
	}
	s.setTransactionDeadline()
}

// stopIdleTransaction removes the bound that startIdleTransaction set.
func (s *session) stopIdleTransaction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleUntil = time.Time{}
	_ = s.net.SetReadDeadline(time.Time{})
}

// setTransactionDeadline makes the read of the next statement end when the
// transaction expires. s.mu must be held.
func (s *session) setTransactionDeadline() {
	until := s.idleUntil
	if until.IsZero() || !s.transactionUntil.IsZero() && s.transactionUntil.Before(until) {
		until = s.transactionUntil
	}
	_ = s.net.SetReadDeadline(until)
}

// transactionExpired returns the reason for which the open transaction may not go on
// at now, or the empty string. In the latter case it sets the deadline of the next
// read, because a key may have been given back.
func (s *session) transactionExpired(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isWithdrawnAt(now):
		return reasonWithdrawn
	case !s.idleUntil.IsZero() && !now.Before(s.idleUntil):
		return reasonIdle
	}
	s.setTransactionDeadline()
	return ""
}

// isPastGrace reports whether the open transaction belongs to a key that was
// withdrawn too long ago.
func (s *session) isPastGrace(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWithdrawnAt(now)
}

// isWithdrawnAt reports whether the grace of a withdrawn key has passed at now. s.mu
// must be held.
func (s *session) isWithdrawnAt(now time.Time) bool {
	return !s.transactionUntil.IsZero() && !now.Before(s.transactionUntil)
}
