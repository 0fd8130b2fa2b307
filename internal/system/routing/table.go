package routing

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// shardCount spreads the copies that adding a group makes.
const shardCount = 128

// Table holds the view of every group that the entry host serves. Lookup
// takes no lock; any goroutine may call any method.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex // serialises changes of the map
	views atomic.Pointer[map[table.GroupName]*atomic.Pointer[GroupView]]
}

// Lookup returns the view of a group, nil when there is none.
func (t *Table) Lookup(name table.GroupName) *GroupView {
	if e := t.shard(name).find(name); e != nil {
		return e.Load()
	}
	return nil
}

// Update replaces the view of a group by what change makes of it. change gets
// nil for a new group, may run more than once and must not modify its
// argument.
func (t *Table) Update(name table.GroupName, change func(*GroupView) *GroupView) {
	e := t.shard(name).findOrAdd(name)
	for {
		old := e.Load()
		if e.CompareAndSwap(old, change(old)) {
			return
		}
	}
}

// Remove forgets a group.
func (t *Table) Remove(name table.GroupName) {
	t.shard(name).change(func(m map[table.GroupName]*atomic.Pointer[GroupView]) {
		delete(m, name)
	})
}

func (t *Table) shard(name table.GroupName) *shard {
	return &t.shards[xxhash.Sum64String(string(name))%shardCount]
}

func (s *shard) find(name table.GroupName) *atomic.Pointer[GroupView] {
	if m := s.views.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

func (s *shard) findOrAdd(name table.GroupName) *atomic.Pointer[GroupView] {
	if e := s.find(name); e != nil {
		return e
	}
	var e *atomic.Pointer[GroupView]
	s.change(func(m map[table.GroupName]*atomic.Pointer[GroupView]) {
		if m[name] == nil {
			m[name] = new(atomic.Pointer[GroupView])
		}
		e = m[name]
	})
	return e
}

// change publishes a changed copy of the map.
func (s *shard) change(edit func(map[table.GroupName]*atomic.Pointer[GroupView])) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[table.GroupName]*atomic.Pointer[GroupView]{}
	if m := s.views.Load(); m != nil {
		for k, e := range *m {
			next[k] = e
		}
	}
	edit(next)
	s.views.Store(&next)
}
