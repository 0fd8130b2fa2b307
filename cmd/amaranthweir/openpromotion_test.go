package main

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin/typed"
)

// TestOldPrimaryReturnsBesideAPromotion guards against the loss of writes that the old
// primary acknowledges, back after a crash, while the ordered promotion of a replica that
// no host reaches any more is still under way.
func TestOldPrimaryReturnsBesideAPromotion(t *testing.T) {
	const (
		returnAfter    = 250 * time.Millisecond
		unreachedAfter = 100 * time.Millisecond
		unreachedFor   = 3 * time.Second
	)
	d := startDeployment(t)
	d.group.SetPromoteTime(time.Second)
	old := d.group.Primary()
	underLoad(t, d, func() {
		old.Kill()
		candidate := d.awaitOrder()
		time.Sleep(returnAfter)
		assert.NilError(t, old.Start())
		time.Sleep(unreachedAfter)
		candidate.Silence(true)
		time.Sleep(unreachedFor)
		candidate.Silence(false)
	})
	d.waitForWrite("after")
}

// awaitOrder waits for an order to promote an instance and returns that instance.
func (d *deployment) awaitOrder() *typed.Instance {
	d.t.Helper()
	var id table.InstanceID
	d.waitFor("a promotion is ordered", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.promoted) > 0 {
			id = d.promoted[len(d.promoted)-1]
		}
		return id != ""
	})
	at := slices.IndexFunc(d.instances, func(in *typed.Instance) bool { return in.ID == id })
	return d.instances[at]
}

// waitForWrite waits until a write is acknowledged.
func (d *deployment) waitForWrite(name string) {
	d.t.Helper()
	d.waitForWriteTo("payments", name)
}

// waitForWriteTo waits until a write to a database is acknowledged.
func (d *deployment) waitForWriteTo(database, name string) {
	d.t.Helper()
	n := 0
	d.waitFor("a write is acknowledged", func() bool {
		c, err := connect(d.entryAddress(n%len(zones)), database)
		if err != nil {
			return false
		}
		defer c.close()
		n++
		r, err := c.exec(name+strconv.Itoa(n), "WRITE pay "+name)
		return err == nil && r.ok()
	})
}
