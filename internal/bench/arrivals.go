package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Flood multiplies the arrival rate of a class from From until To, both measured
// from the start of the run.
type Flood struct {
	Class  string        `json:"class"`
	Factor float64       `json:"factor"`
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
}

// ParseFlood parses a flood of the form class=FACTOR@FROM-TO, such as
// stock-report=10@5s-15s.
func ParseFlood(text string) (Flood, error) {
	invalid := fmt.Errorf("flood %q: expected class=FACTOR@FROM-TO, such as stock-report=10@5s-15s", text)
	class, rest, ok := strings.Cut(text, "=")
	factor, window, ok2 := strings.Cut(rest, "@")
	from, to, ok3 := strings.Cut(window, "-")
	if !ok || !ok2 || !ok3 {
		return Flood{}, invalid
	}
	f := Flood{Class: class}
	var errs [3]error
	f.Factor, errs[0] = strconv.ParseFloat(factor, 64)
	f.From, errs[1] = time.ParseDuration(from)
	f.To, errs[2] = time.ParseDuration(to)
	for _, err := range errs {
		if err != nil {
			return Flood{}, invalid
		}
	}
	if f.Factor <= 0 || f.From < 0 || f.To <= f.From {
		return Flood{}, invalid
	}
	return f, nil
}

// arrivals generates the arrival times of a Poisson process whose rate changes
// with the floods of one class.
type arrivals struct {
	rng    *rand.Rand
	rate   float64 // per second, without a flood
	floods []Flood
	at     time.Duration // the latest arrival
}

// newArrivals returns the arrivals of a class at the rate per second. It applies the
// floods of that class only. Equal seeds and streams yield equal arrivals.
func newArrivals(rate float64, class string, floods []Flood, seed, stream uint64) *arrivals {
	a := &arrivals{rng: rand.New(rand.NewPCG(seed, stream)), rate: rate}
	for _, f := range floods {
		if f.Class == class {
			a.floods = append(a.floods, f)
		}
	}
	return a
}

// next returns the time of the next arrival. It draws an exponentially distributed
// number of expected arrivals and integrates the piecewise constant rate until
// that number is reached.
func (a *arrivals) next() time.Duration {
	remaining := a.rng.ExpFloat64()
	for {
		rate, until := a.rateAt(a.at)
		wait := time.Duration(remaining / rate * float64(time.Second))
		if until < 0 || a.at+wait < until {
			a.at += wait
			return a.at
		}
		remaining -= rate * (until - a.at).Seconds()
		a.at = until
	}
}

// rateAt returns the rate at t and the time of the next change of the rate, or -1
// if the rate does not change again.
func (a *arrivals) rateAt(t time.Duration) (rate float64, until time.Duration) {
	rate, until = a.rate, -1
	for _, f := range a.floods {
		change := f.From
		if t >= f.From {
			change = f.To
		}
		if t >= f.To {
			continue
		}
		if t >= f.From {
			rate *= f.Factor
		}
		if until < 0 || change < until {
			until = change
		}
	}
	return rate, until
}
