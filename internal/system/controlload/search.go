package controlload

import "time"

const (
	// firstRoundDelay is the delay between two questions until each control host
	// was asked once: the leader is then usually found.
	firstRoundDelay = 20 * time.Millisecond
	// noLeaderDelay is the delay after an answer that names no leader. An election
	// takes some hundred milliseconds, and the new leader calls the hosts that it
	// knows.
	noLeaderDelay = 150 * time.Millisecond
)

// silentPace is the pace of questions that control hosts do not answer.
var silentPace = Pace{Least: 50 * time.Millisecond, Most: 800 * time.Millisecond}

// Search decides when a host that knows no leader asks the next control host. The
// zero value is ready for use.
type Search struct {
	asked  int
	silent Backoff
}

// Unanswered returns the delay before the next question after a control host has
// not answered. hosts is the number of hosts to ask.
func (s *Search) Unanswered(hosts int, draw float64) time.Duration {
	s.asked++
	if s.asked < hosts {
		return spread(firstRoundDelay, draw)
	}
	s.silent.Fail(0, silentPace, draw)
	return s.silent.readyAt
}

// NoLeader returns the delay before the next question after a control host has
// answered that it knows no leader, and asked this host to wait for advice.
func (s *Search) NoLeader(hosts int, advice time.Duration, draw float64) time.Duration {
	s.asked++
	s.silent.Succeed()
	delay := noLeaderDelay
	if s.asked < hosts {
		delay = firstRoundDelay
	}
	return max(spread(delay, draw), advice)
}

// Found records that a leader has answered.
func (s *Search) Found() { *s = Search{} }
