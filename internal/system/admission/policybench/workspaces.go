package policybench

import (
	"math"
	"strconv"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
)

const (
	// workspaces is the number of workspaces of a profile with workspaces.
	workspaces = 40
	// workspaceSkew is the exponent of the Zipf distribution of their sizes.
	workspaceSkew = 1.2
	// callersPerWorkspace is the number of callers that each workspace has.
	callersPerWorkspace = 8
)

// Seats returns the profile of a reservation service whose work is split among
// workspaces: a few are large, most are small.
func Seats() Profile {
	p := Profile{
		Name: "seats", Instances: 6, Slots: 5,
		Floors: [config.RankCount]int{0, 30, 5}, IdlePercent: mixedIdle,
	}
	classes := []Load{
		{Class: "confirm", Rank: config.RankUrgent, Mean: 8 * time.Millisecond, Deadline: time.Second, Share: 0.08, Objective: 200 * time.Millisecond},
		{Class: "hold", Rank: config.RankNormal, Mean: 24 * time.Millisecond, Deadline: time.Second, Share: 0.35, Objective: 400 * time.Millisecond},
		{Class: "browse", Rank: config.RankBackground, Mean: 40 * time.Millisecond, Deadline: 2 * time.Second, Share: 0.17, Objective: 1200 * time.Millisecond},
	}
	total := 0.0
	for i := range workspaces {
		total += zipf(i)
	}
	p.Weights = map[string]float64{}
	for i := range workspaces {
		p.Weights[workspaceName(i)] = workspaces * zipf(i) / total
		for _, l := range classes {
			l.Workspace = workspaceName(i)
			l.Callers = callersPerWorkspace
			l.Share *= zipf(i) / total
			l.Variation = variation
			p.Loads = append(p.Loads, l)
		}
	}
	return p
}

// zipf returns the relative size of workspace i, the largest first.
func zipf(i int) float64 { return math.Pow(float64(i+1), -workspaceSkew) }

func workspaceName(i int) string { return "w" + strconv.Itoa(i) }

// Hot returns the profile with the work of the given workspaces multiplied by
// times.
func (p Profile) Hot(times float64, hot ...int) Profile {
	isHot := map[string]bool{}
	for _, i := range hot {
		isHot[workspaceName(i)] = true
	}
	return p.scale(times, func(l *Load) bool { return isHot[l.Workspace] })
}

// Busy returns the profile with the work of one class of all workspaces multiplied
// by times.
func (p Profile) Busy(times float64, class string) Profile {
	return p.scale(times, func(l *Load) bool { return l.Class == class })
}

// scale returns the profile with the selected loads multiplied by times and marked
// as flooding.
func (p Profile) scale(times float64, selected func(l *Load) bool) Profile {
	p.Loads = append([]Load(nil), p.Loads...)
	for i := range p.Loads {
		if l := &p.Loads[i]; selected(l) {
			l.Share *= times
			l.Flooding = true
		}
	}
	return p
}

// CallersOnly creates the admission queue of the proxy as it is without
// workspaces: fair among the callers of a class.
func CallersOnly(p Profile) (Policy, error) {
	q, err := admission.New(p.AdmissionConfig())
	if err != nil {
		return nil, err
	}
	return callersOnly{q}, nil
}

// callersOnly hides the workspaces of requests from the queue.
type callersOnly struct{ *admission.Queue }

func (c callersOnly) Offer(now time.Duration, r *admission.Request) {
	r.Workspace, r.Caller = "", r.Workspace+"/"+r.Caller
	c.Queue.Offer(now, r)
}
