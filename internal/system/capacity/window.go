package capacity

import "math"

const (
	// learnSamples is the number of statements after which the reference of a
	// class is known.
	learnSamples = 12
	// calmWeight and busyWeight are the weights of one statement in the
	// reference of its class, when at most half of the slots are in use and
	// otherwise.
	calmWeight = 1.0 / 128
	busyWeight = 1.0 / 1024
	// windowSamples is the number of statements from which on a window forgets.
	windowSamples = 64
)

// reference is the service time of a class while the instance runs well.
type reference struct {
	count int
	mean  float64 // of the logarithm
}

func (r *reference) known() bool { return r.count >= learnSamples }

// learn adds one of the first values to the mean.
func (r *reference) learn(value float64) {
	r.count++
	r.mean += (value - r.mean) / float64(r.count)
}

// follow moves the reference by a deviation from it.
func (r *reference) follow(deviation, weight float64) { r.mean += weight * deviation }

// window holds means over recent statements: all of the first windowSamples, and
// then with exponentially decreasing weights.
type window struct {
	count     int
	deviation float64 // logarithm of the slowdown
	inFlight  float64
}

func (w *window) add(deviation, inFlight float64) {
	w.count++
	weight := 1 / float64(min(w.count, windowSamples))
	w.deviation += weight * (deviation - w.deviation)
	w.inFlight += weight * (inFlight - w.inFlight)
}

// throughput returns the logarithm of the work that the instance does, up to a
// constant.
func (w *window) throughput() float64 { return math.Log(w.inFlight) - w.deviation }
