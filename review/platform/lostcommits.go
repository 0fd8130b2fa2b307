package main

import (
	"fmt"
	"sync"
	"time"
)

// writer sends writes one after the other and records what was acknowledged.
type writer struct {
	mu    sync.Mutex
	acked map[string]time.Time
}

// run writes until stop is closed. It uses the entry hosts in turn after a failure.
func (w *writer) run(d *deployment, name string, stop <-chan struct{}) {
	var c *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(40 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = open(d.rec, name, d.entryAddress(n), "lepu270"); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := c.query(id, "WRITE "+name+" "+id, 1500*time.Millisecond)
		if err == nil && a.code == "" {
			w.mu.Lock()
			w.acked[id] = time.Now()
			w.mu.Unlock()
		}
		if err != nil || a.code != "" {
			c.close()
			c = nil
		}
	}
}

// lostCommits plays a replica that receives nothing for a while, a restart of the other
// replica, which then holds nothing, and a crash of the primary.
func lostCommits(d *deployment, trouble bool) ([]string, error) {
	g := d.group
	w := &writer{acked: map[string]time.Time{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() { w.run(d, fmt.Sprintf("c%d", n), stop) })
	}
	time.Sleep(2 * time.Second)
	primary, deaf, restarted := g.instances[0], g.instances[1], g.instances[2]
	var err error
	if trouble {
		err = loseCopies(d, primary, deaf, restarted)
	} else {
		time.Sleep(11 * time.Second)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	if err != nil {
		return nil, err
	}
	if len(w.acked) == 0 {
		return nil, fmt.Errorf("no write was acknowledged")
	}
	d.rec.say("%d writes were acknowledged, %d promotions", len(w.acked), len(g.changes))
	return missingCommits(g, w), nil
}

func loseCopies(d *deployment, primary, deaf, restarted *instance) error {
	g := d.group
	d.rec.say("%s receives nothing from now on", deaf.id)
	g.setDeaf(deaf, true)
	time.Sleep(3 * time.Second)
	d.rec.say("%s crashes", restarted.id)
	restarted.crash()
	time.Sleep(500 * time.Millisecond)
	d.rec.say("%s starts again under its id and holds nothing", restarted.id)
	if err := g.restartEmpty(restarted); err != nil {
		return err
	}
	time.Sleep(time.Second)
	d.rec.say("the primary %s crashes", primary.id)
	primary.crash()
	time.Sleep(2 * time.Second)
	d.rec.say("%s receives again", deaf.id)
	g.setDeaf(deaf, false)
	time.Sleep(5 * time.Second)
	d.rec.say("%s comes back with its log", primary.id)
	return g.restartWithLog(primary)
}

// missingCommits checks the rule LOST: each write that was acknowledged before a
// promotion took effect is in the log of the instance that was promoted.
func missingCommits(g *group, w *writer) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var findings []string
	for _, p := range g.changes {
		held := countWrites(p.log)
		for id, at := range w.acked {
			if at.Before(p.at) && held[id] == 0 {
				findings = append(findings, fmt.Sprintf("LOST: write %s was acknowledged %.1f s before %s took the lead of term %d and is not in its log",
					id, p.at.Sub(at).Seconds(), p.instance, p.term))
			}
		}
	}
	return findings
}
