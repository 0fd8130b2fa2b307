// Package policybench simulates admission policies in virtual time, with the
// workloads of two services, and compares the policies under floods. Each run
// is a function of its seed.
package policybench

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/system/admission"
)

// Load is the offered work of one class.
type Load struct {
	Class string
	Rank  config.Rank
	// Mean and Variation describe the lognormal service time: its mean, and its
	// standard deviation as a share of the mean.
	Mean      time.Duration
	Variation float64
	Deadline  time.Duration
	// Share is the offered work as a share of the capacity.
	Share float64
	// Callers is the number of callers that share the work evenly.
	Callers int
	// Staleness is the maximum age of the data that a read accepts. It is zero
	// for writes and for reads that need current data, and applies to routed
	// profiles only.
	Staleness time.Duration
	// CallerPrefix distinguishes these callers from those of other loads of the
	// same class. Flooding loads have one.
	CallerPrefix string
	// Objective is the time within which an answer has its full worth. Zero
	// means none.
	Objective time.Duration
	// Workspace is the workspace of the callers, or empty.
	Workspace string
	// Flooding is set for callers that send more than their usual.
	Flooding bool
}

// Profile describes the instances and the workload of one service.
type Profile struct {
	Name      string
	Instances int
	Slots     int // of each instance
	Floors    [config.RankCount]int
	// IdlePercent is admission.Config.IdlePercent of the queues.
	IdlePercent int
	// Routed sends work that needs the primary to the primary of a random
	// group, and all other work to the instance that routing chooses. Otherwise
	// every instance gets the same mix, which is the worst case for urgent
	// work.
	Routed bool
	// Hosts is the number of entry hosts that route the work, each by the hints
	// that came with its own answers. Zero stands for a single host whose hints
	// are refreshed with every tick.
	Hosts int
	// GroupSize is the number of instances in a group. Zero stands for three.
	GroupSize int
	Loads     []Load
	// Weights are the relative shares of the workspaces.
	Weights map[string]float64
}

const (
	// mixedIdle is the idle percentage of a queue with work of every rank.
	mixedIdle = 3
	// routedIdle is the idle percentage in routed profiles, where urgent work
	// goes to primaries only.
	routedIdle = 8
)

// variation is the standard deviation of the service times in the profiles, as
// a share of the mean.
const variation = 0.7

// Orderdesk returns the profile of an order desk: nine instances of two slots.
func Orderdesk() Profile {
	return Profile{
		Name: "orderdesk", Instances: 9, Slots: 2,
		Floors: [config.RankCount]int{0, 20, 10}, IdlePercent: mixedIdle,
		Loads: []Load{
			{"rush_confirmation", config.RankUrgent, 5 * time.Millisecond, variation, 500 * time.Millisecond, 0.10, 20, 0, "", 0, "", false},
			{"payment", config.RankUrgent, 8 * time.Millisecond, variation, time.Second, 0.08, 20, 0, "", 0, "", false},
			{"order", config.RankNormal, 8 * time.Millisecond, variation, 2 * time.Second, 0.14, 40, 0, "", 0, "", false},
			{"inventory", config.RankNormal, 4 * time.Millisecond, variation, time.Second, 0.12, 40, 0, "", 0, "", false},
			{"proof_preview", config.RankBackground, 10 * time.Millisecond, variation, 3 * time.Second, 0.16, 50, time.Second, "", 0, "", false},
		},
	}
}

// Ledger returns the profile of a buyer platform: nine instances of three
// slots.
func Ledger() Profile {
	return Profile{
		Name: "ledger", Instances: 9, Slots: 3,
		Floors: [config.RankCount]int{0, 20, 10}, IdlePercent: mixedIdle,
		Loads: []Load{
			{"weighbridge_ticket", config.RankUrgent, 6 * time.Millisecond, variation, 500 * time.Millisecond, 0.10, 20, 0, "", 0, "", false},
			{"settlement", config.RankUrgent, 9 * time.Millisecond, variation, time.Second, 0.08, 20, 0, "", 0, "", false},
			{"stock_change", config.RankNormal, 8 * time.Millisecond, variation, 2 * time.Second, 0.14, 40, 0, "", 0, "", false},
			{"stock_check", config.RankNormal, 5 * time.Millisecond, variation, time.Second, 0.12, 40, 0, "", 0, "", false},
			{"stock_report", config.RankBackground, 15 * time.Millisecond, variation, 5 * time.Second, 0.16, 50, time.Second, "", 0, "", false},
		},
	}
}

// primaryLoadFactor scales down the work that needs a primary in a routed
// profile, so that a third of the instances can do it.
const primaryLoadFactor = 0.5

// Route returns the profile with routing.
func (p Profile) Route() Profile {
	p.Name += "_routed"
	p.Routed = true
	p.IdlePercent = routedIdle
	p.Loads = append([]Load(nil), p.Loads...)
	for i := range p.Loads {
		if p.Loads[i].Staleness == 0 {
			p.Loads[i].Share *= primaryLoadFactor
		}
	}
	return p
}

// LoseInstance returns the profile with one instance less and the same work.
func (p Profile) LoseInstance() Profile {
	p.Name += "_lost"
	p.Loads = append([]Load(nil), p.Loads...)
	for i := range p.Loads {
		p.Loads[i].Share *= float64(p.Instances) / float64(p.Instances-1)
	}
	p.Instances--
	return p
}

// Lengthen returns the profile with the mean service time of one class
// multiplied by times.
func (p Profile) Lengthen(class string, times int) Profile {
	p.Name += "_long"
	p.Loads = append([]Load(nil), p.Loads...)
	for i := range p.Loads {
		if p.Loads[i].Class == class {
			p.Loads[i].Mean *= time.Duration(times)
		}
	}
	return p
}

// floodCallers is the number of callers in a flood.
const floodCallers = 5

// Flood returns the profile with additional work of one class, from separate
// callers. The additional work is the capacity multiplied by times.
func (p Profile) Flood(class string, times float64) Profile {
	p.Loads = append([]Load(nil), p.Loads...)
	for _, l := range p.Loads {
		if l.Class == class {
			l.Share, l.Callers, l.CallerPrefix, l.Flooding = times, floodCallers, "flood-", true
			p.Loads = append(p.Loads, l)
			break
		}
	}
	return p
}

// rate returns the arrival rate of l at one instance, in requests per second.
func (p *Profile) rate(l *Load) float64 {
	return l.Share * float64(p.Slots) / l.Mean.Seconds()
}

// declaredHeadroom is the declared rate of a class divided by its usual rate.
const declaredHeadroom = 1.5

// AdmissionConfig returns the configuration of the queue of one instance. It
// declares the rates of the urgent classes with some headroom.
func (p Profile) AdmissionConfig() admission.Config {
	cfg := admission.Config{Slots: p.Slots, Floors: p.Floors, MaxQueued: maxQueued, IdlePercent: p.IdlePercent, Weights: p.Weights}
	declared := map[string]bool{}
	for i := range p.Loads {
		l := &p.Loads[i]
		if l.CallerPrefix != "" || declared[l.Class] {
			continue
		}
		declared[l.Class] = true
		c := admission.Class{Name: l.Class, Rank: l.Rank, Objective: l.Objective}
		if l.Rank == config.RankUrgent && l.Workspace == "" {
			c.RatePerSecond = declaredHeadroom * p.rate(l)
		}
		cfg.Classes = append(cfg.Classes, c)
	}
	return cfg
}
