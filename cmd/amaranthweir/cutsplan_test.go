package main

import (
	"math/rand/v2"
	"time"
)

// cutsPlan says when the instances of three groups are cut off, and when all hosts are
// killed.
type cutsPlan struct {
	groups  []groupCuts
	killAt  time.Duration
	downFor time.Duration
}

// groupCuts is what happens to one group.
type groupCuts struct {
	darkAt, darkFor time.Duration // of the primary
	crashes         bool          // the primary crashes instead of going dark
	replicas        []replicaCut  // one for each
	promoteTime     time.Duration
	noticeTime      time.Duration // see typed.Group
}

// replicaCut is what happens to one replica.
type replicaCut struct {
	at, lasts      time.Duration
	stopsReceiving bool // it is cut off from its group too
	receiptDelay   time.Duration
}

// planner draws the times of a plan.
type planner struct{ *rand.Rand }

// between draws a time from least to below most.
func (r planner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// newCutsPlan draws a plan of one of three kinds.
func newCutsPlan(seed uint64) cutsPlan {
	r := planner{rand.New(rand.NewPCG(seed, 53))}
	kinds := []func(at time.Duration) groupCuts{r.longCuts, r.cutsAtOnce, r.shortCuts}
	draw := kinds[seed%3]
	var p cutsPlan
	at := 500 * time.Millisecond
	for range 3 {
		p.groups = append(p.groups, draw(at))
		p.killAt = at + r.between(600*time.Millisecond, 4500*time.Millisecond)
		at += r.between(300*time.Millisecond, 2600*time.Millisecond)
	}
	p.downFor = r.between(100*time.Millisecond, 1500*time.Millisecond)
	return p
}

// cutsAtOnce draws replicas that are cut off at about the same moment, shortly before
// their primary is back.
func (r planner) cutsAtOnce(at time.Duration) groupCuts {
	c := groupCuts{darkAt: at, darkFor: 950 * time.Millisecond, promoteTime: time.Second}
	for range 2 {
		cutAt := at + 900*time.Millisecond + r.between(0, 60*time.Millisecond)
		c.replicas = append(c.replicas, replicaCut{at: cutAt, lasts: 1600 * time.Millisecond, stopsReceiving: true})
	}
	return c
}

// shortCuts draws a primary that is dark or down, and cuts that end before an order to
// promote has lapsed.
func (r planner) shortCuts(at time.Duration) groupCuts {
	return r.cuts(at, 800*time.Millisecond, 2500*time.Millisecond)
}

// longCuts draws the same with cuts that may outlast an order.
func (r planner) longCuts(at time.Duration) groupCuts {
	return r.cuts(at, 2*time.Second, 7*time.Second)
}

func (r planner) cuts(at, least, most time.Duration) groupCuts {
	c := groupCuts{
		darkAt: at, darkFor: r.between(600*time.Millisecond, 1300*time.Millisecond), crashes: r.IntN(4) == 0,
		promoteTime: r.between(500*time.Millisecond, 1500*time.Millisecond),
		noticeTime:  r.between(0, 200*time.Millisecond) * time.Duration(r.IntN(2)),
	}
	for range 2 {
		replica := replicaCut{
			at: at + r.between(300*time.Millisecond, 1300*time.Millisecond), lasts: r.between(least, most),
			stopsReceiving: r.IntN(2) == 0,
		}
		if r.IntN(2) == 0 {
			replica.receiptDelay = r.between(0, 120*time.Millisecond)
		}
		c.replicas = append(c.replicas, replica)
	}
	return c
}
