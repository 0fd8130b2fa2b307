package soak

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// never is the end of an operation that may take effect at any time after its begin.
const never = time.Duration(math.MaxInt64)

// operation is one operation on an object. It takes effect at one moment between begin
// and end.
type operation struct {
	begin, end time.Duration
	// optional is set if the operation may also never take effect.
	optional bool
	// apply returns the state after the operation, and false if the operation cannot
	// have its result in the given state. A state is an encoded value of the object.
	apply func(state string) (string, bool)
}

// linearizable reports whether the operations can be put into one order that agrees
// with their times and results, beginning with the given state. It searches depth first
// as Wing and Gong do, and remembers the combinations of applied operations and state
// from which no order exists.
func linearizable(initial string, operations []operation) bool {
	ops := slices.Clone(operations)
	slices.SortStableFunc(ops, func(a, b operation) int { return cmp.Compare(a.begin, b.begin) })
	s := &search{ops: ops, done: make([]bool, len(ops)), failed: map[string]bool{}}
	return s.from(0, initial)
}

// search is the state of a search for an order.
type search struct {
	ops    []operation
	done   []bool
	failed map[string]bool
}

// from reports whether the operations that are not done can follow. All operations
// before first are done.
func (s *search) from(first int, state string) bool {
	var taken []int
	defer func() { s.undo(taken) }()
	for {
		for first < len(s.ops) && s.done[first] {
			first++
		}
		i := s.readable(first, state)
		if i < 0 {
			break
		}
		// An operation that leaves the state as it is can always go first.
		s.done[i] = true
		taken = append(taken, i)
	}
	if s.onlyOptional(first) {
		return true
	}
	key := s.key(first, state)
	if s.failed[key] {
		return false
	}
	for _, i := range s.candidates(first) {
		next, ok := s.ops[i].apply(state)
		if !ok {
			continue
		}
		s.done[i] = true
		if s.from(first, next) {
			return true
		}
		s.done[i] = false
	}
	s.failed[key] = true
	return false
}

func (s *search) undo(taken []int) {
	for _, i := range taken {
		s.done[i] = false
	}
}

// candidates returns the operations that can be next: those that began before the end
// of every other operation that is not done.
func (s *search) candidates(first int) []int {
	limit := never
	for i := first; i < len(s.ops) && s.ops[i].begin <= limit; i++ {
		if !s.done[i] {
			limit = min(limit, s.ops[i].end)
		}
	}
	var list []int
	for i := first; i < len(s.ops) && s.ops[i].begin <= limit; i++ {
		if !s.done[i] {
			list = append(list, i)
		}
	}
	return list
}

// readable returns a candidate that is possible in the state and does not change it, or
// -1.
func (s *search) readable(first int, state string) int {
	for _, i := range s.candidates(first) {
		if next, ok := s.ops[i].apply(state); ok && next == state && !s.ops[i].optional {
			return i
		}
	}
	return -1
}

func (s *search) onlyOptional(first int) bool {
	for i := first; i < len(s.ops); i++ {
		if !s.done[i] && !s.ops[i].optional {
			return false
		}
	}
	return true
}

// key identifies the operations that are done and the state.
func (s *search) key(first int, state string) string {
	key := []byte(state + "|" + strconv.Itoa(first))
	for i := first; i < len(s.ops); i++ {
		if s.done[i] {
			key = strconv.AppendInt(append(key, ','), int64(i), 10)
		}
	}
	return string(key)
}
