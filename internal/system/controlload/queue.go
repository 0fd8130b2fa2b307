package controlload

import "time"

// Appointments spreads the hosts that ask a control host over the time that it
// needs to answer them. Each host that comes while more ask than Rate allows is
// given the next free time to come back.
type Appointments struct {
	// Rate is the number of questions a second that are answered without advice.
	Rate float64
	// Most bounds the advised delay.
	Most time.Duration

	nextFree time.Duration
}

// Ask records a question at now and returns how long the asking host should wait
// before its next question. Zero means no advice.
func (a *Appointments) Ask(now time.Duration, draw float64) time.Duration {
	slot := time.Duration(float64(time.Second) / a.Rate)
	a.nextFree = max(a.nextFree, now-burst*slot) + slot
	wait := a.nextFree - now
	if wait <= 0 {
		return 0
	}
	if wait > a.Most {
		a.nextFree = now + a.Most
		return spread(a.Most, draw)
	}
	return wait
}

// burst is the number of questions that may come at once without advice.
const burst = 16
