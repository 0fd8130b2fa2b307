package main

import (
	"fmt"
	"time"
)

// cutInstance is the replica that is cut off from the control machines.
const cutInstance = "i-2"

const (
	// warmUp is long enough for an instance to have called each control machine.
	warmUp = 5 * time.Second
	// cutFor is how long the cut lasts.
	cutFor = 4 * time.Second
	// crashAfter is how long after the start of the cut the instances crash.
	crashAfter = 700 * time.Millisecond
	// downFor is how long the cut replica is down before it starts again.
	downFor = 300 * time.Millisecond
	// primaryDownFor is how long the primary is down.
	primaryDownFor = 7 * time.Second
	// deafFor is how long the other replica receives nothing.
	deafFor = 6 * time.Second
)

// playEarlierStart lets a replica start again behind a cut while the primary is down,
// and the heartbeat that its earlier start sent as the cut began arrive when it heals.
func playEarlierStart(d *deployment, trouble bool) (bool, error) {
	g := d.group
	primary, cut, deaf := g.instances[0], g.find(cutInstance), g.instances[2]
	if err := d.write("payments", 0, 20); err != nil {
		return false, err
	}
	time.Sleep(warmUp)
	if trouble {
		d.beginCut()
		g.mu.Lock()
		deaf.deaf = true
		g.mu.Unlock()
		d.rec.printf("instance %s: receives nothing", deaf.id)
	}
	cutAt := time.Now()
	if err := d.write("payments", 20, 20); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(time.Until(cutAt.Add(crashAfter)))
		primary.stop(false)
		d.rec.printf("instance %s: crashes", primary.id)
		stopped := time.Now()
		cut.stop(true)
		d.rec.printf("instance %s: crashes", cut.id)
		time.Sleep(downFor)
		if err := d.startInstance(cut); err != nil {
			return false, err
		}
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		for _, r := range d.relays {
			r.heal()
		}
		d.rec.printf("network: the cut has healed")
		time.Sleep(time.Until(cutAt.Add(deafFor)))
		g.mu.Lock()
		deaf.deaf = false
		g.replicate()
		g.mu.Unlock()
		d.rec.printf("instance %s: receives again", deaf.id)
		time.Sleep(time.Until(stopped.Add(primaryDownFor)))
		if err := d.startInstance(primary); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	d.rec.printf("state: %s", g.state())
	return g.lostCommits(), nil
}

// beginCut cuts the relays off when the next heartbeat is on its way.
func (d *deployment) beginCut() {
	begun := make(chan struct{}, len(d.relays))
	cutAll := func() {
		for _, r := range d.relays {
			r.cut()
		}
		begun <- struct{}{}
	}
	for _, r := range d.relays {
		r.mu.Lock()
		r.cutNext, r.onCut = true, cutAll
		r.mu.Unlock()
	}
	<-begun
	for _, r := range d.relays {
		r.mu.Lock()
		r.cutNext = false
		r.mu.Unlock()
	}
	d.rec.printf("network: %s is cut off from the control machines, with a heartbeat on its way", cutInstance)
}

// write sends n writes one after the other and records those that are acknowledged.
func (d *deployment) write(database string, first, n int) error {
	c, err := dialClient(d.entryAddress(1), database)
	if err != nil {
		return err
	}
	defer c.close()
	for i := first; i < first+n; i++ {
		id := fmt.Sprintf("w%d", i)
		r, err := c.exec(id, fmt.Sprintf("WRITE x%d v%d", i, i), 2*time.Second)
		switch {
		case err != nil:
			return err
		case !r.ok():
			d.rec.printf("caller: %s is answered with %s", id, r.failure)
		default:
			d.acknowledged(id)
		}
	}
	return nil
}

// lostCommits reports whether an acknowledged commit was missing in the log of an
// instance that was promoted.
func (g *group) lostCommits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.promotes {
		if p.effective && len(p.lost) > 0 {
			return true
		}
	}
	return false
}
