// Package capacity finds how many statements an upstream instance runs well at
// once. The owner of the instance keeps one Limiter and tells it of each finished
// statement. The number of slots that the instance announced is the upper limit,
// and stays in force while the instance does not get slower. All times are
// readings of the owner's local monotonic clock.
package capacity

import (
	"math"
	"time"
)

const (
	// minSamples is the number of statements that a decision is based on at
	// least.
	minSamples = 24
	// minTrialSamples and maxTrialSamples bound the number of statements in a
	// trial. In between, the trial ends once its result is significant.
	minTrialSamples = 12
	maxTrialSamples = 48
	// slowThreshold is the logarithm of the slowdown above which a lower limit
	// is tried. Statements beyond the slots, which wait at the instance, make
	// service times a quarter longer.
	slowThreshold = 0.5
	// minLowerInterval is the time until a lower limit is tried again after a
	// trial of one brought nothing. It doubles up to maxLowerInterval until a
	// lower limit is kept.
	minLowerInterval = 2 * time.Second
	maxLowerInterval = 32 * time.Second
	// fastThreshold is the logarithm of the speed-up above which the reference
	// service times are lowered at once.
	fastThreshold = 0.25
	// minGain is the gain of throughput, as a logarithm, that another limit must
	// bring.
	minGain = 0.05
	// spread is the usual standard deviation of the logarithm of the service times
	// of one class.
	spread = 0.6
	// significance is how many standard errors a result must differ from the
	// bound to end a trial early.
	significance = 2
	// raiseInterval is the time between two trials of a higher limit. It bounds
	// the harm of trials and how late a recovery is noticed.
	raiseInterval = 1200 * time.Millisecond
	// raiseDivisor sets the step of such a trial: the limit divided by it.
	raiseDivisor = 4
	// trialTimeout ends a trial that gets too few samples.
	trialTimeout = 600 * time.Millisecond
	// sampleGap is the time without statements after which the earlier ones no
	// longer show the present speed.
	sampleGap = time.Second
	// maxDeviation bounds the influence of one statement, as a logarithm: a
	// statement that waited for a lock, or one that was measured while this
	// process was held up.
	maxDeviation = 1.5
	// restoreTTL is the age up to which the figure of an earlier owner is used.
	restoreTTL = 30 * time.Second
	// saturation is the share of the limit from which on an instance counts as
	// fully used.
	saturation = 0.8
)

// Reason is why the limit changed last.
type Reason uint8

// The reasons.
const (
	// ReasonAnnounced: the limit is what the instance announced.
	ReasonAnnounced Reason = iota
	// ReasonSlower: the instance does as much work with fewer statements at once.
	ReasonSlower
	// ReasonFaster: the instance does more work with more statements at once.
	ReasonFaster
	// ReasonRestored: the limit is the figure of the earlier owner.
	ReasonRestored
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonAnnounced: "announced",
	ReasonSlower:    "slower",
	ReasonFaster:    "faster",
	ReasonRestored:  "restored",
}

// String returns the stable name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Sample is one finished statement.
type Sample struct {
	Class string
	// Ran is the time from sending the statement to its answer. It must not
	// include opening a connection, or waiting for a replica to confirm.
	Ran time.Duration
	// InFlight is the number of statements at the instance while it ran, itself
	// included.
	InFlight int
}

// Snapshot is what a new owner takes over.
type Snapshot struct {
	Limit int
	// Age is the time since the limit was last confirmed by a sample.
	Age time.Duration
}

// phase is what the limiter does at present.
type phase uint8

const (
	steady     phase = iota
	lowering         // a lower limit is tried
	confirming       // the usual limit is tried again after a lower one was better
	raising          // a higher limit is tried
)

// Limiter learns the limit of one instance. The zero value has no slots. It is
// not safe for concurrent use.
type Limiter struct {
	slots     int
	limit     int // outside trials
	trial     int // limit during a trial
	phase     phase
	trialAt   time.Duration
	trials    int
	before    window // the window that a trial is compared with
	current   window
	classes   map[string]*reference
	reference float64 // logarithm by which all references were moved
	calm      int     // samples with at most half of the slots in use
	checked   bool    // a lower limit was tried since the instance was first fully used
	raiseAt   time.Duration
	suspected bool // the instance seemed slower in the window before the current one
	// lowerAt is when a lower limit may be tried again, and lowerWait the time
	// from the latest trial of one until then.
	lowerAt, lowerWait time.Duration
	// raisedFrom is the limit before it was raised last.
	raisedFrom int
	confirmed  int // the lower limit that is being confirmed
	sampledAt  time.Duration
	reason     Reason
	changedAt  time.Duration
}

// New returns a limiter for an instance that announced the given number of slots.
func New(slots int) *Limiter {
	l := &Limiter{classes: map[string]*reference{}}
	l.SetSlots(0, slots)
	return l
}

// SetSlots applies a new number of announced slots. What was learned about
// another number is forgotten.
func (l *Limiter) SetSlots(now time.Duration, slots int) {
	if slots == l.slots {
		return
	}
	l.slots, l.phase, l.checked = slots, steady, false
	l.current = window{}
	l.set(now, slots, ReasonAnnounced)
}

// Limit returns how many statements may be at the instance at once: never more
// than the announced slots, and at least one if there are any.
func (l *Limiter) Limit() int {
	if l.phase != steady {
		return l.trial
	}
	return l.limit
}

// Reduced reports whether the limit outside trials is below the announced slots.
func (l *Limiter) Reduced() bool { return l.limit < l.slots }

// InTrial reports whether another limit is being tried.
func (l *Limiter) InTrial() bool { return l.phase != steady }

// Trials returns how many times another limit was tried.
func (l *Limiter) Trials() int { return l.trials }

// Changed returns when the limit outside trials changed last, and why.
func (l *Limiter) Changed() (time.Duration, Reason) { return l.changedAt, l.reason }

// Slowdown returns the factor by which statements run longer than the reference
// of their class.
func (l *Limiter) Slowdown() float64 { return math.Exp(l.current.deviation) }

// Service returns the reference service time of a class, zero if the class is
// not known yet.
func (l *Limiter) Service(class string) time.Duration {
	c := l.classes[class]
	if c == nil || !c.known() {
		return 0
	}
	return time.Duration(math.Exp(c.mean + l.reference))
}

// Services returns the reference service time of each known class.
func (l *Limiter) Services() map[string]time.Duration {
	services := make(map[string]time.Duration, len(l.classes))
	for class, c := range l.classes {
		if c.known() {
			services[class] = l.Service(class)
		}
	}
	return services
}

// Snapshot returns what a new owner takes over.
func (l *Limiter) Snapshot(now time.Duration) Snapshot {
	return Snapshot{Limit: l.limit, Age: now - l.sampledAt}
}

// Restore starts from the figure of the earlier owner, unless it is too old.
func (l *Limiter) Restore(now time.Duration, s Snapshot) {
	if s.Age > restoreTTL || s.Limit < 1 || s.Limit >= l.slots {
		return
	}
	l.checked = true
	l.raiseAt = now + raiseInterval
	l.set(now, s.Limit, ReasonRestored)
}

func (l *Limiter) set(now time.Duration, limit int, reason Reason) {
	l.limit, l.reason, l.changedAt = limit, reason, now
}

// Tick ends a trial that gets too few samples.
func (l *Limiter) Tick(now time.Duration) {
	if l.phase != steady && now-l.trialAt > trialTimeout && l.current.count < minTrialSamples {
		l.rejectTrial(now)
	}
}

// rejectTrial ends a trial that brought nothing.
func (l *Limiter) rejectTrial(now time.Duration) {
	if l.phase != raising {
		l.lowerWait = min(max(2*l.lowerWait, minLowerInterval), maxLowerInterval)
		l.lowerAt = now + l.lowerWait
	}
	l.endTrial(now)
}

// Observe records a finished statement.
func (l *Limiter) Observe(now time.Duration, s Sample) {
	if s.Ran <= 0 || l.slots < 1 {
		return
	}
	if now-l.sampledAt > sampleGap {
		l.current = window{}
	}
	l.sampledAt = now
	deviation, ok := l.deviation(&s)
	if !ok || l.phase != steady && l.isFromBefore(&s) {
		return
	}
	l.current.add(deviation, float64(s.InFlight))
	switch l.phase {
	case steady:
		l.observeSteady(now)
	case lowering:
		l.observeLowering(now)
	case confirming:
		l.observeConfirming(now)
	case raising:
		l.observeRaising(now)
	}
}

// deviation returns the logarithm of the service time relative to the reference
// of the class, and updates the reference. It returns false while the reference
// is not known.
func (l *Limiter) deviation(s *Sample) (float64, bool) {
	c := l.classes[s.Class]
	if c == nil {
		c = &reference{}
		l.classes[s.Class] = c
	}
	value := math.Log(float64(s.Ran)) - l.reference
	if !c.known() {
		c.learn(value)
		return 0, false
	}
	d := max(-maxDeviation, min(maxDeviation, value-c.mean))
	if 2*s.InFlight <= l.slots {
		l.calm = min(l.calm+1, minSamples)
		c.follow(d, calmWeight)
	} else {
		c.follow(d, busyWeight)
	}
	return d, true
}

// isFromBefore reports whether s ran under another limit than that of the
// present trial.
func (l *Limiter) isFromBefore(s *Sample) bool {
	switch l.phase {
	case lowering:
		return s.InFlight > l.trial
	case confirming:
		return s.InFlight <= l.confirmed
	}
	return s.InFlight <= l.limit
}

// isSaturated reports whether the instance is fully used.
func (l *Limiter) isSaturated() bool {
	return l.current.inFlight >= saturation*float64(l.limit)
}

func (l *Limiter) observeSteady(now time.Duration) {
	w := &l.current
	if w.count < minSamples {
		return
	}
	if w.deviation < -fastThreshold {
		l.acceptSpeed(w.deviation)
		return
	}
	if !l.isSaturated() {
		return
	}
	unknown := !l.checked && l.calm < minSamples
	slow := w.deviation > slowThreshold
	mayLower := l.limit > 1 && (l.lowerWait == 0 || now >= l.lowerAt)
	switch {
	case mayLower && slow && !l.suspected:
		l.suspected, l.current = true, window{} // statements from before the change must not count
	case mayLower && (slow || unknown):
		l.beginTrial(now, lowering, l.lower(now))
	case l.limit < l.slots && now >= l.raiseAt:
		l.beginTrial(now, raising, min(l.slots, l.limit+max(1, l.limit/raiseDivisor)))
	}
}

// lower returns the limit to try when the instance has become slower: what a
// recent trial came from, in case that trial was misleading, or half.
func (l *Limiter) lower(now time.Duration) int {
	if l.reason == ReasonFaster && now-l.changedAt < raiseInterval {
		return l.raisedFrom
	}
	return (l.limit + 1) / 2
}

// acceptSpeed makes the present speed the reference of all classes.
func (l *Limiter) acceptSpeed(deviation float64) {
	l.reference += deviation
	l.current = window{}
}

func (l *Limiter) beginTrial(now time.Duration, p phase, limit int) {
	l.phase, l.trial, l.trialAt = p, limit, now
	l.trials++
	l.before, l.current, l.suspected = l.current, window{}, false
}

func (l *Limiter) endTrial(now time.Duration) {
	l.phase, l.current = steady, window{}
	l.raiseAt = now + raiseInterval
}

// gain returns the logarithm of the throughput in the trial relative to that
// before. It returns false until the samples show on which side of bound it is.
func (l *Limiter) gain(bound float64) (float64, bool) {
	g := l.current.throughput() - l.before.throughput()
	n := l.current.count
	if n >= maxTrialSamples {
		return g, true
	}
	standardError := spread * math.Sqrt(1/float64(n)+1/float64(min(l.before.count, 2*windowSamples)))
	return g, n >= minTrialSamples && math.Abs(g-bound) > significance*standardError
}

// observeLowering ends the trial of a lower limit. If the instance did no more
// work, it is slower whatever the limit, and its present speed becomes the
// reference.
func (l *Limiter) observeLowering(now time.Duration) {
	gain, ok := l.gain(minGain)
	if !ok {
		return
	}
	l.checked = true
	if gain > minGain {
		lower := l.trial
		l.beginTrial(now, confirming, l.limit)
		l.confirmed = lower
		return
	}
	l.rejectTrial(now)
	l.acceptSpeed(l.before.deviation)
}

// observeConfirming decides whether the lower limit stays: with the usual limit,
// the instance must again do less work. Otherwise it only became faster during
// the trial.
func (l *Limiter) observeConfirming(now time.Duration) {
	gain, ok := l.gain(-minGain)
	if !ok {
		return
	}
	if gain >= -minGain {
		l.rejectTrial(now)
		return
	}
	l.endTrial(now)
	l.lowerWait = 0
	l.set(now, l.confirmed, ReasonSlower)
}

// observeRaising decides whether the higher limit stays.
func (l *Limiter) observeRaising(now time.Duration) {
	gain, ok := l.gain(minGain)
	if !ok {
		return
	}
	limit := l.trial
	l.endTrial(now)
	if gain > minGain {
		l.raisedFrom = l.limit
		l.set(now, limit, ReasonFaster)
		l.raiseAt = now
	}
}
