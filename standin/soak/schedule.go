package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of event.
type Kind string

// The kinds of events. For is how long the state lasts; afterwards a process runs
// again, and a link forwards again.
const (
	HostPause    Kind = "host-pause"     // SIGSTOP, then SIGCONT
	HostKill     Kind = "host-kill"      // SIGKILL, then a start with the data folder
	HostStop     Kind = "host-stop"      // SIGTERM, then a start with the data folder
	HostAbort    Kind = "host-abort"     // SIGTERM, then SIGKILL and a start with the data folder
	HostEmpty    Kind = "host-empty"     // SIGKILL, then a start with an empty data folder
	HostTorn     Kind = "host-torn"      // SIGKILL, then a start with an unfinished record in the log
	HostCorrupt  Kind = "host-corrupt"   // SIGKILL, a start with a changed log that must fail, then one with an empty folder
	InstPause    Kind = "instance-pause" // SIGSTOP, then SIGCONT
	InstKill     Kind = "instance-kill"  // SIGKILL, then a start without data
	InstLeave    Kind = "instance-leave" // announces that it leaves, then that it does not
	LinkDelay    Kind = "link-delay"     // delays each chunk of data
	LinkReset    Kind = "link-reset"     // resets the open connections
	LinkCutTo    Kind = "link-cut-to"    // forwards nothing to the listening side
	LinkCutFrom  Kind = "link-cut-from"  // forwards nothing from the listening side
	LinkSilence  Kind = "link-silence"   // the open connections forward nothing any more
	SwitchOver   Kind = "switchover"     // an operator asks for a planned change of primary
	Apply        Kind = "apply"          // an operator applies the next version of the document
	ApplyRace    Kind = "apply-race"     // two operators apply different documents under one version
	ApplyRepeat  Kind = "apply-repeat"   // an operator sends an earlier version again
	announcement      = "announce"       // prefix of the links of announcements
)

// Event is one entry of a schedule.
type Event struct {
	At, For time.Duration
	Kind    Kind
	Target  string // a host, an instance, a group, or the name of a link
}

// String returns the event in one line.
func (e Event) String() string {
	return fmt.Sprintf("%9s  %-14s  %-22s  for %s", e.At.Round(time.Millisecond), e.Kind, e.Target, e.For.Round(time.Millisecond))
}

// Instance names an upstream instance.
type Instance struct{ Name, Group string }

// Size describes the deployment that a schedule is for. The control hosts are the
// first hosts.
type Size struct {
	Duration     time.Duration
	Hosts        []string
	ControlHosts int
	Groups       []string
	Instances    []Instance
}

const (
	// minStorm and maxStorm bound a phase in which faults overlap.
	minStorm = 5 * time.Second
	maxStorm = 9 * time.Second
	// calm is the pause between two phases. In a pause no fault lasts.
	calm = 2 * time.Second
	// minStep and maxStep bound the time between two events of a storm.
	minStep = 100 * time.Millisecond
	maxStep = 900 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts.
	minFault = 200 * time.Millisecond
	maxFault = 4 * time.Second
	// seriesOneIn sets how many faults come as a series of maxSeries short ones.
	seriesOneIn, maxSeries = 5, 3
	// leaveFor is how long an instance announces that it leaves.
	leaveFor = 9 * time.Second
	// rebuildTime is the time in which an instance or a control host that lost its
	// data gets it back. No other copy of the data may be lost meanwhile.
	rebuildTime = 6 * time.Second
)

// scheduler builds a schedule.
type scheduler struct {
	random *rand.Rand
	size   Size
	events []Event
}

// NewSchedule returns the schedule of a seed, in the order of time. Phases in which
// faults overlap alternate with phases in which one copy of the data is lost or an
// instance leaves. The system promises to lose nothing only as long as one copy is
// lost at a time, so such an event comes with faults of other parts only.
func NewSchedule(seed uint64, size Size) []Event {
	s := &scheduler{random: rand.New(rand.NewPCG(seed, 0x50a4)), size: size}
	for at := calm; at+minStorm <= size.Duration; at += calm {
		length := s.between(minStorm, min(maxStorm, size.Duration-at))
		if s.random.IntN(3) > 0 || at+leaveFor > size.Duration {
			s.storm(at, length)
		} else {
			length = s.single(at)
		}
		at += length
	}
	slices.SortStableFunc(s.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return s.events
}

func (s *scheduler) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// storm adds overlapping faults and changes that all end before at+length. A process
// and a link have one fault at a time.
func (s *scheduler) storm(at, length time.Duration) {
	s.overlap(at, length, slices.Concat(instanceKinds, hostKinds))
}

// instanceKinds and hostKinds are the events of storms: those that concern instances,
// and all others. The frequent ones stand twice.
var (
	instanceKinds = []Kind{InstPause, InstPause, SwitchOver, SwitchOver}
	hostKinds     = []Kind{
		HostPause, HostPause, HostKill, HostKill, HostStop, HostAbort, LinkDelay, LinkReset, LinkCutTo, LinkCutFrom,
		LinkSilence, LinkSilence, Apply, Apply, ApplyRace, ApplyRepeat,
	}
)

// overlap adds events of the kinds. Some faults come as a series on one target.
func (s *scheduler) overlap(at, length time.Duration, kinds []Kind) {
	busy := map[string]time.Duration{}
	for t := at; t < at+length-minFault; t += s.between(minStep, maxStep) {
		kind := pick(s.random, kinds)
		target := s.target(kind)
		if busy[target] > t {
			continue
		}
		if !kind.isFault() {
			s.add(Event{t, 0, kind, target})
			continue
		}
		last, repeats := s.between(minFault, maxFault), 1
		if s.random.IntN(seriesOneIn) == 0 {
			last, repeats = s.between(minFault, 3*minFault), maxSeries
		}
		for end := t; repeats > 0 && end < at+length; repeats-- {
			s.add(Event{end, min(last, at+length-end), kind, target})
			end += last + minStep
			busy[target] = end
		}
	}
}

// isFault reports whether the event is a fault with a duration, and not a change that
// an operator makes.
func (k Kind) isFault() bool {
	switch k {
	case SwitchOver, Apply, ApplyRace, ApplyRepeat:
		return false
	default:
		return true
	}
}

// single adds one loss of a copy of the data, or one leaving instance, and returns
// the length of the phase.
func (s *scheduler) single(at time.Duration) time.Duration {
	switch s.random.IntN(5) {
	case 0:
		s.add(Event{at, s.between(minFault, maxFault), HostTorn, s.controlHost()})
		return rebuildTime
	case 1, 2:
		s.add(Event{at, s.between(minFault, maxFault), pick(s.random, []Kind{HostEmpty, HostCorrupt}), s.controlHost()})
		s.overlap(at, rebuildTime, instanceKinds)
		return 2 * rebuildTime
	case 3:
		in := pick(s.random, s.size.Instances)
		s.add(Event{at, s.between(minFault, maxFault), InstKill, in.Name})
		s.overlap(at, rebuildTime, hostKinds)
		s.dropLinkFaults(at, in.Group)
		return 2 * rebuildTime
	default:
		s.add(Event{at, leaveFor, InstLeave, pick(s.random, s.size.Instances).Name})
		s.add(Event{at + s.between(0, leaveFor/2), 0, Apply, ""})
		return leaveFor
	}
}

// dropLinkFaults removes the events of the links to the instances of a group from a
// moment on.
func (s *scheduler) dropLinkFaults(from time.Duration, group string) {
	s.events = slices.DeleteFunc(s.events, func(e Event) bool {
		return e.At >= from && slices.ContainsFunc(s.size.Instances, func(in Instance) bool { return in.Group == group && e.Target == instanceLink(in.Name) })
	})
}

func (s *scheduler) add(e Event) { s.events = append(s.events, e) }

func (s *scheduler) controlHost() string {
	return pick(s.random, s.size.Hosts[:s.size.ControlHosts])
}

// target picks what an event of the kind acts on.
func (s *scheduler) target(k Kind) string {
	switch k {
	case HostPause, HostKill, HostStop, HostAbort:
		return pick(s.random, s.size.Hosts)
	case InstPause:
		return pick(s.random, s.size.Instances).Name
	case SwitchOver:
		return pick(s.random, s.size.Groups)
	case LinkDelay, LinkReset, LinkCutTo, LinkCutFrom, LinkSilence:
		return pick(s.random, s.size.links())
	default:
		return ""
	}
}

// links returns the names of all links: from each host to each control host, from
// callers to each host, from the hosts to each instance, and of the announcements to
// each host.
func (s Size) links() []string {
	var names []string
	for _, from := range s.Hosts {
		for _, to := range s.Hosts[:s.ControlHosts] {
			if from != to {
				names = append(names, peerLink(from, to))
			}
		}
		names = append(names, callerLink(from), announceLink(from), inboundLink(from))
	}
	for _, in := range s.Instances {
		names = append(names, instanceLink(in.Name))
	}
	return names
}

func peerLink(from, to string) string { return "peer " + from + ">" + to }
func inboundLink(to string) string    { return "peer >" + to }
func callerLink(host string) string   { return "callers>" + host }
func announceLink(host string) string { return announcement + ">" + host }
func instanceLink(name string) string { return "hosts>" + name }

// FormatSchedule returns the text of a schedule.
func FormatSchedule(seed uint64, events []Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d events\n", seed, len(events))
	for _, e := range events {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}
