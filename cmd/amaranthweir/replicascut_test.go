package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/standin/typed"
)

var cutsSeed = flag.Uint64("cuts-seed", 1, "seed of the test of replicas that are cut off")

// recoveryTarget is how long after the last fault a group may take to serve writes.
const recoveryTarget = 12 * time.Second

// writersPerGroup is the number of callers that write to each group.
const writersPerGroup = 4

// cutsRun is one run of a cutsPlan.
type cutsRun struct {
	*deployment
	plan      cutsPlan
	databases []string // one for each group
	stop      chan struct{}
	writers   sync.WaitGroup
}

// TestReplicasCutOffBesideAPrimaryThatReturns guards against the loss of acknowledged
// writes and configurations where all replicas are cut off while the promotion of one of
// them is open, their primary is back with its connections, and all hosts are killed.
func TestReplicasCutOffBesideAPrimaryThatReturns(t *testing.T) {
	r := &cutsRun{
		deployment: startDeploymentOf(t, "", "g1", "g2", "g3"),
		plan:       newCutsPlan(*cutsSeed), databases: []string{"payments", "g2", "g3"}, stop: make(chan struct{}),
	}
	t.Logf("seed %d: %+v", *cutsSeed, r.plan)
	t.Cleanup(r.checkWrites)
	r.startWriters()
	start := time.Now()
	var faults sync.WaitGroup
	for k, g := range r.groups {
		faults.Go(func() { r.plan.groups[k].play(r.deployment, g, start) })
	}
	acknowledged := r.configureUntilKilled(start.Add(r.plan.killAt))
	time.Sleep(r.plan.downFor)
	r.restartHosts()
	r.checkVersion(acknowledged)
	faults.Wait()
	healed := time.Now()
	for _, database := range r.databases {
		r.waitForWriteTo(database, "after")
	}
	t.Logf("all groups serve %v after the last fault", time.Since(healed))
	assert.Check(t, time.Since(healed) <= recoveryTarget, "not all groups served within %v", recoveryTarget)
	time.Sleep(500 * time.Millisecond)
	close(r.stop)
	r.writers.Wait()
}

// checkWrites checks that no acknowledged write was lost.
func (r *cutsRun) checkWrites() {
	for _, g := range r.groups {
		assert.Check(r.t, len(g.Lost()) == 0, "%s lost %v", g.Name, g.Lost())
	}
}

// startWriters starts the callers and waits until each group serves writes.
func (r *cutsRun) startWriters() {
	for k, g := range r.groups {
		for n := range writersPerGroup {
			r.writers.Go(func() { r.keepWriting(g, r.databases[k], fmt.Sprintf("w%d-%d", k, n), n) })
		}
	}
	for _, database := range r.databases {
		r.waitForWriteTo(database, "before")
	}
}

// keepWriting writes to a database until the run stops, and tells the group which writes
// were acknowledged.
func (r *cutsRun) keepWriting(g *typed.Group, database, name string, n int) {
	var c *caller
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(3 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = connect(r.entryAddress((n+i)%len(zones)), database); err != nil {
				continue
			}
		}
		id := fmt.Sprint(name, ".", i)
		res, err := c.exec(id, "WRITE "+name+" "+id)
		if err == nil && res.ok() {
			g.Acknowledge(id)
		}
		if err != nil || res.code != "" {
			c.close()
			c = nil
		}
	}
}

// configureUntilKilled sends one configuration after the other. Right after one was
// acknowledged, at or after killAt, it kills all hosts. It returns the highest version
// that was acknowledged.
func (r *cutsRun) configureUntilKilled(killAt time.Time) int64 {
	var highest atomic.Int64
	var operator sync.WaitGroup
	acknowledged, stop := make(chan struct{}, 1), make(chan struct{})
	operator.Go(func() {
		for version := int64(2); ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if !r.sendVersion(version) {
				continue
			}
			highest.Store(version)
			select {
			case acknowledged <- struct{}{}:
			default:
			}
		}
	})
	time.Sleep(time.Until(killAt))
	select { // the one before
	case <-acknowledged:
	default:
	}
	select {
	case <-acknowledged:
	case <-time.After(2 * time.Second):
	}
	r.killHosts()
	close(stop)
	operator.Wait()
	return highest.Load()
}

// sendVersion sends a configuration to the control hosts in turn, and reports whether one
// of them acknowledged it.
func (r *cutsRun) sendVersion(version int64) bool {
	for n := range zones {
		at := (int(version) + n) % len(zones)
		status, err := r.post(at, "/v1/Config.Replace", r.configuration(int(version), ""))
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// checkVersion checks that the configuration is read back in the version that was
// acknowledged, or a later one.
func (r *cutsRun) checkVersion(acknowledged int64) {
	var held struct{ Version int64 }
	assert.NilError(r.t, json.Unmarshal([]byte(r.fetchConfiguration()), &held))
	r.t.Logf("version %d was acknowledged, %d is read back", acknowledged, held.Version)
	assert.Check(r.t, held.Version >= acknowledged, "version %d was acknowledged, %d is read back", acknowledged, held.Version)
}

// killHosts kills all hosts at the same moment.
func (d *deployment) killHosts() {
	for _, p := range d.hosts {
		assert.Check(d.t, p.cmd.Process.Signal(syscall.SIGKILL))
	}
	for _, p := range d.hosts {
		_ = p.cmd.Wait() // reports the signal
	}
}

// restartHosts starts all hosts again as members of the existing deployment.
func (d *deployment) restartHosts() {
	for name, p := range d.hosts {
		p.seeds = d.seedNodes()
		d.writeSettings(p, name[len(name)-1:])
		d.startProcess(p)
	}
}

// play plays what happens to a group.
func (c groupCuts) play(d *deployment, g *typed.Group, start time.Time) {
	g.SetTimes(c.promoteTime, c.noticeTime)
	primary := g.Primary()
	var wg sync.WaitGroup
	next := 0
	for _, in := range d.instances {
		if in.Group() != g.Name || in == primary {
			continue
		}
		cut := c.replicas[next]
		next++
		wg.Go(func() { cut.play(in, start) })
	}
	wg.Go(func() { c.playPrimary(d, primary, start) })
	wg.Wait()
}

func (c replicaCut) play(in *typed.Instance, start time.Time) {
	in.DelayReceipt(c.receiptDelay)
	time.Sleep(time.Until(start.Add(c.at)))
	in.CutFromHosts(true)
	in.CutFromGroup(c.stopsReceiving)
	time.Sleep(c.lasts)
	in.CutFromHosts(false)
	in.CutFromGroup(false)
}

func (c groupCuts) playPrimary(d *deployment, primary *typed.Instance, start time.Time) {
	time.Sleep(time.Until(start.Add(c.darkAt)))
	if c.crashes {
		primary.Kill()
		time.Sleep(c.darkFor)
		assert.Check(d.t, primary.Start())
		return
	}
	primary.CutFromHosts(true)
	primary.CutFromGroup(true)
	time.Sleep(c.darkFor)
	primary.CutFromHosts(false)
	primary.CutFromGroup(false)
}
