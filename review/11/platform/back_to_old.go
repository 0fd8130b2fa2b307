package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// returnAfter is how long after the promotion call the old primary is back.
	returnAfter = 250 * time.Millisecond
	// cutAfter is how much later the instance that is being promoted is cut off.
	cutAfter = 100 * time.Millisecond
	// instanceCutFor is how long that cut lasts.
	instanceCutFor = 3 * time.Second
	// writers is the number of callers that write all the time.
	writers = 6
	// writePause is the pause of a caller after an answer, and failurePause the further one
	// after a failure.
	writePause   = 15 * time.Millisecond
	failurePause = 20 * time.Millisecond
)

// playBackToOld lets the primary crash and come back while the promotion of a replica is
// under way, and cuts that replica off before the promotion has taken effect.
func playBackToOld(d *deployment, trouble bool) (bool, error) {
	g := d.group
	g.promoteTime = time.Second
	stop := make(chan struct{})
	var work sync.WaitGroup
	for n := range writers {
		work.Go(func() { d.keepWriting(n, stop) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		primary := g.instances[0]
		done := make(chan error, 1)
		g.mu.Lock()
		g.onPromote = func(in *instance) { done <- d.turnBack(primary, in) }
		g.mu.Unlock()
		primary.stop(false)
		d.rec.printf("instance %s: crashes", primary.id)
		if err := <-done; err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	work.Wait()
	d.rec.printf("state: %s", g.state())
	return g.lostCommits() || g.lateCommits(d.rec) > 0, nil
}

// turnBack brings the old primary back and cuts off the instance that is being promoted.
func (d *deployment) turnBack(primary, promoted *instance) error {
	time.Sleep(returnAfter)
	if err := d.startInstance(primary); err != nil {
		return err
	}
	time.Sleep(cutAfter)
	promoted.setCut(true)
	d.rec.printf("network: %s is cut off from all machines of the system", promoted.id)
	time.Sleep(instanceCutFor)
	promoted.setCut(false)
	d.rec.printf("network: the cut has healed")
	return nil
}

// keepWriting writes one item after the other until stop is closed.
func (d *deployment) keepWriting(n int, stop <-chan struct{}) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = dialClient(d.entryAddress(n%len(zones)), "payments"); err != nil {
				time.Sleep(failurePause)
				continue
			}
		}
		id := fmt.Sprintf("w%d-%d", n, i)
		r, err := c.exec(id, fmt.Sprintf("WRITE x%d v%d", n, i), 2*time.Second)
		switch {
		case err != nil:
			d.rec.printf("caller %d: %s: %v", n, id, err)
			c.close()
			c = nil
		case r.ok():
			d.acknowledged(id)
		default:
			d.rec.printf("caller %d: %s is answered with %s", n, id, r.failure)
			time.Sleep(failurePause)
		}
		time.Sleep(writePause)
	}
}

// acknowledged records an acknowledged write.
func (d *deployment) acknowledged(id string) {
	d.rec.printf("caller: %s is acknowledged", id)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.group.acked = append(d.group.acked, entry{id: id})
}

// lateCommits returns how many acknowledged writes were committed at an old primary
// after the promotion of another instance had taken effect.
func (g *group) lateCommits(rec *record) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.acked {
		if g.late[e.id] {
			rec.printf("%s was committed at an old primary after a promotion had taken effect", e.id)
			n++
		}
	}
	return n
}
