package owner

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// handOverPollInterval is how often a hand-over checks whether all work has
// ended.
const handOverPollInterval = 5 * time.Millisecond

// HandOver stops new work on an instance, lets running work end and closes the
// connections of the instance. Released includes the instance from then on.
// HandOver does not block.
func (o *Owner) HandOver(id table.InstanceID, epoch table.Epoch) {
	in, err := o.instance(id)
	if err != nil || in.epoch != epoch || in.handingOver.Swap(true) {
		return
	}
	go func() {
		in.drain(time.Now().Add(o.cfg.Timing.HandOverTimeout))
		o.mu.Lock()
		if o.instances[id] == in {
			delete(o.instances, id)
			o.released[id] = epoch
		}
		o.mu.Unlock()
		in.shutdown()
		o.cfg.OnChange()
	}()
}

// drain returns once nothing runs on the instance. Transactions that are idle
// after the given time are rolled back.
func (in *instance) drain(until time.Time) {
	for in.runningCount() > 0 {
		if time.Now().After(until) {
			in.rollBackIdle()
		}
		time.Sleep(handOverPollInterval)
	}
}

// rollBackIdle rolls back the transactions that are not running a statement.
func (in *instance) rollBackIdle() {
	in.mu.Lock()
	var idle []request.SessionID
	for s, tx := range in.transactions {
		if !tx.inUse {
			idle = append(idle, s)
		}
	}
	in.mu.Unlock()
	for _, s := range idle {
		in.log.WithField("session", s).Info("transaction rolled back: the instance moves to another host")
		in.endSession(s)
	}
}

// Released returns the ownerships that this host has handed over.
func (o *Owner) Released() []table.Ownership {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var out []table.Ownership
	for id, epoch := range o.released {
		out = append(out, table.Ownership{Instance: id, Epoch: epoch})
	}
	return out
}

// HandedOver reports whether this host has handed over the instance under the
// epoch of its committed ownership.
func (o *Owner) HandedOver(agreed table.Ownership) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	epoch, ok := o.released[agreed.Instance]
	if ok && epoch != agreed.Epoch {
		delete(o.released, agreed.Instance) // a later ownership: the instance may be served again
		return false
	}
	return ok
}
