package owner

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// handOverPoll is how often a hand-over looks whether the work has ended.
const handOverPoll = 5 * time.Millisecond

// HandOver stops new work on an instance, lets running work end and closes its
// connections. Released names it from then on. It returns at once.
func (o *Owner) HandOver(id table.InstanceID, epoch table.Epoch) {
	in, err := o.instance(id)
	if err != nil || in.epoch != epoch || in.ending.Swap(true) {
		return
	}
	go func() {
		in.awaitEnd(time.Now().Add(o.cfg.Timing.HandOver))
		o.mu.Lock()
		if o.instances[id] == in {
			delete(o.instances, id)
			o.released[id] = epoch
		}
		o.mu.Unlock()
		in.shut()
		o.cfg.OnChange()
	}()
}

// awaitEnd returns once nothing runs on the instance. Transactions that rest at
// until or later are rolled back.
func (in *instance) awaitEnd(until time.Time) {
	for in.running() > 0 {
		if time.Now().After(until) {
			in.endResting()
		}
		time.Sleep(handOverPoll)
	}
}

// endResting rolls back the transactions that run no statement.
func (in *instance) endResting() {
	in.mu.Lock()
	var resting []request.SessionID
	for s, tx := range in.held {
		if !tx.inUse {
			resting = append(resting, s)
		}
	}
	in.mu.Unlock()
	for _, s := range resting {
		in.log.WithField("session", s).Info("transaction rolled back: the instance moves to another host")
		in.endSession(s)
	}
}

// Released returns what this host handed over.
func (o *Owner) Released() []table.Ownership {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var out []table.Ownership
	for id, epoch := range o.released {
		out = append(out, table.Ownership{Instance: id, Epoch: epoch})
	}
	return out
}

// HandedOver reports whether this host handed the instance over under the
// epoch of its agreed ownership.
func (o *Owner) HandedOver(agreed table.Ownership) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	epoch, ok := o.released[agreed.Instance]
	if ok && epoch != agreed.Epoch {
		delete(o.released, agreed.Instance) // a later ownership: it may be served again
		return false
	}
	return ok
}
