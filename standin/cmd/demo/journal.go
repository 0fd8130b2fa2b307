package main

import (
	"sync"
	"time"
)

// write is one write that a caller sent.
type write struct {
	class      string
	row        row
	outcome    outcome
	begin, end time.Time
}

// answers counts the answers of one class.
type answers struct {
	ok, notRun, unknown int
	took                []time.Duration // of those that are ok
}

// journal is what the callers saw. It is safe for concurrent use.
type journal struct {
	mu       sync.Mutex
	writes   []write
	classes  map[string]*answers
	refusals map[string]int
	missed   []row
	// repeats counts the writes that were sent again; settled those of them
	// whose outcome was unknown and is ok now, acked those that had been acknowledged.
	repeats, settled, acked int
}

func newJournal() *journal {
	return &journal{classes: map[string]*answers{}, refusals: map[string]int{}}
}

func (j *journal) wrote(class string, r row, o outcome, begin, end time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writes = append(j.writes, write{class, r, o, begin, end})
	j.count(class, o, end.Sub(begin))
}

func (j *journal) read(class string, o outcome, begin, end time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count(class, o, end.Sub(begin))
}

// count is called with the mutex held.
func (j *journal) count(class string, o outcome, took time.Duration) {
	a := j.classes[class]
	if a == nil {
		a = &answers{}
		j.classes[class] = a
	}
	switch {
	case o.ok():
		a.ok++
		a.took = append(a.took, took)
		return
	case o.effect == notRun:
		a.notRun++
	default:
		a.unknown++
	}
	j.refusals[o.kind]++
}

// repeated notes that a write was sent again under its request id.
func (j *journal) repeated(first, again outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.repeats++
	switch {
	case first.ok():
		j.acked++
	case again.ok():
		j.settled++
	}
}

func (j *journal) refused(kind string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals[kind]++
}

// missedOwnWrite notes a read that did not show an acknowledged write of the
// same session.
func (j *journal) missedOwnWrite(r row) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.missed = append(j.missed, r)
}

// gap returns the time from the fault to the first acknowledgement of a write
// of the group that was sent after it.
func (j *journal) gap(f fault) (gap time.Duration, found bool) {
	for _, w := range j.writes {
		if w.row.group != f.group || !w.outcome.ok() || w.begin.Before(f.at) {
			continue
		}
		if d := w.end.Sub(f.at); !found || d < gap {
			gap, found = d, true
		}
	}
	return gap, found
}

// check is what became of the writes.
type check struct {
	acknowledged int
	lost         []row // acknowledged, but not there
	ranTwice     []row // a row of its own, and there before it ran
	falseNotRun  []row // said not to have run, but there
	unknownThere int
	unknownGone  int
}

// check compares the writes with the rows that are there.
func (j *journal) check(there map[row]bool) check {
	var c check
	for _, w := range j.writes {
		present := there[w.row]
		switch {
		case w.outcome.ok():
			c.acknowledged++
			if !present {
				c.lost = append(c.lost, w.row)
			}
		case w.outcome.kind == kindRanTwice:
			c.ranTwice = append(c.ranTwice, w.row)
		case w.outcome.effect == notRun && present:
			c.falseNotRun = append(c.falseNotRun, w.row)
		case w.outcome.effect == notRun:
		case present:
			c.unknownThere++
		default:
			c.unknownGone++
		}
	}
	return c
}
