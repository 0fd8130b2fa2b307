package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minDark and maxDark bound how long the instance of a group is paused that may be its
	// primary.
	minDark, maxDark = 600 * time.Millisecond, 1300 * time.Millisecond
	// minCut and maxCut bound how long the others are cut off.
	minCut, maxCut = 800 * time.Millisecond, 5 * time.Second
	// maxCutLead is how long before the end of the pause they are cut off, at most.
	maxCutLead = 400 * time.Millisecond
	// maxStagger bounds the time between the starts of two groups of a round.
	maxStagger = 2600 * time.Millisecond
	// minDown and maxDown bound how long the hosts are down that are killed at once.
	minDown, maxDown = 200 * time.Millisecond, 1500 * time.Millisecond
	// roundCalm is the pause after a round.
	roundCalm = 5 * time.Second
)

// NewGroupCuts returns another kind of schedule of a seed. In each round one instance of
// each group, at times its primary, is paused, and the others are cut off shortly before
// it is back. In half of the rounds all hosts are killed while changes of primary are
// under way. An operator changes the document meanwhile.
func NewGroupCuts(seed uint64, size Size) []Event {
	s := &scheduler{random: rand.New(rand.NewPCG(seed, 0xc075)), size: size}
	for at := calm; at+roundCalm <= size.Duration; at += maxDark + maxCut + roundCalm {
		for _, group := range size.Groups {
			s.cutGroup(at, group)
			at += s.between(minStep, maxStagger)
		}
		if s.random.IntN(2) == 0 {
			s.killAllHosts(at + s.between(0, maxStagger))
		}
	}
	slices.SortStableFunc(s.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return s.events
}

// cutGroup pauses one instance of a group and cuts the others off.
func (s *scheduler) cutGroup(at time.Duration, group string) {
	var members []Instance
	for _, in := range s.size.Instances {
		if in.Group == group {
			members = append(members, in)
		}
	}
	dark := s.random.IntN(len(members))
	darkFor := s.between(minDark, maxDark)
	s.add(Event{at, darkFor, InstPause, members[dark].Name})
	s.add(Event{at + s.between(0, darkFor), 0, Apply, ""})
	cutAt := at + darkFor - s.between(0, maxCutLead)
	for n, in := range members {
		if n != dark {
			s.cutOff(cutAt+s.between(0, minStep), in)
		}
	}
}

// cutOff cuts an instance off from the hosts, or from all.
func (s *scheduler) cutOff(at time.Duration, in Instance) {
	cutFor := s.between(minCut, maxCut)
	if s.random.IntN(2) == 0 {
		s.add(Event{at, cutFor, InstPause, in.Name})
		return
	}
	direction := pick(s.random, []Kind{LinkCutTo, LinkCutFrom})
	s.add(Event{at, cutFor, direction, instanceLink(in.Name)})
}

// killAllHosts kills all hosts at the same moment.
func (s *scheduler) killAllHosts(at time.Duration) {
	for _, host := range s.size.Hosts {
		s.add(Event{at, s.between(minDown, maxDown), HostKill, host})
	}
}
