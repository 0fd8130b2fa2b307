package routing

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// shardCount is the number of shards. Adding or removing a group copies the map
// of one shard only.
const shardCount = 128

// Table holds the views of all groups that the entry host serves. Lookup takes
// no lock. All methods are safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex // serializes replacements of the map
	views atomic.Pointer[map[table.GroupName]*atomic.Pointer[GroupView]]
}

// Lookup returns the view of a group, nil if there is none.
func (t *Table) Lookup(name table.GroupName) *GroupView {
	if e := t.shard(name).find(name); e != nil {
		return e.Load()
	}
	return nil
}

// Update replaces the view of a group by the result of change. For a new group,
// change gets nil. change may run more than once and must not modify its
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

// Remove deletes the view of a group.
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

// change copies the map, applies edit to the copy and publishes it.
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
