package admission

import "time"

// evictBatch is the number of idle flows examined for eviction whenever a flow is
// added.
const evictBatch = 2

// flow is one competitor for the slots of a class: a workspace among the
// workspaces, or a caller among the callers of its workspace.
type flow struct {
	name      string
	startTag  float64       // start tag for fair queueing, in nanoseconds of slot time
	count     int           // queued requests
	work      time.Duration // expected service time of the queued requests
	running   int
	heapIndex int
	queue     list    // queued requests of a caller
	callers   flowSet // callers of a workspace

	prev, next *flow // neighbors in the list of idle flows
}

func (f *flow) before(o *flow) bool { return f.startTag < o.startTag }
func (f *flow) index() int          { return f.heapIndex }
func (f *flow) setIndex(i int)      { f.heapIndex = i }

// first returns the request of a workspace to serve next; at least one is queued.
// Under overload, strict order of arrival would answer every request late.
// Therefore a caller whose first request has missed its objective is passed over
// as long as the first request of another caller can still meet it.
func (f *flow) first(now time.Duration) *Request {
	next := f.callers.active[0].queue.head
	if !next.missesObjective(now) {
		return next
	}
	var best *flow
	for _, k := range f.callers.active {
		if !k.queue.head.missesObjective(now) && (best == nil || k.before(best)) {
			best = k
		}
	}
	if best == nil {
		return next
	}
	return best.queue.head
}

// flowSet orders flows by start-time fair queueing: the flow that has received the
// least service is served next, and a flow that was idle saves up nothing.
type flowSet struct {
	virtualTime float64 // start tag of the flow served last
	byName      map[string]*flow
	active      heap[*flow] // flows with queued requests, by start tag
	idle        flowList    // flows without queued requests, kept until virtualTime passes their start tags
	free        *flow       // free list of evicted flows
}

// get returns the flow with the given name and creates it if there is none.
func (s *flowSet) get(name string) *flow {
	if f := s.byName[name]; f != nil {
		return f
	}
	s.evictIdle()
	f := s.free
	if f == nil {
		f = &flow{}
	} else {
		s.free = f.next
	}
	callers := f.callers
	callers.reset()
	*f = flow{name: name, heapIndex: -1, callers: callers}
	if s.byName == nil {
		s.byName = map[string]*flow{}
	}
	s.byName[name] = f
	s.idle.push(f)
	return f
}

// reset empties a set without queued or running requests and keeps its memory.
func (s *flowSet) reset() {
	clear(s.byName)
	*s = flowSet{byName: s.byName, active: s.active[:0]}
}

// isQueued reports whether the flow with the given name has queued requests.
func (s *flowSet) isQueued(name string) bool {
	f := s.byName[name]
	return f != nil && f.count > 0
}

// enqueue adds a request of the given expected cost to f.
func (s *flowSet) enqueue(f *flow, cost time.Duration) {
	f.count++
	f.work += cost
	if f.count == 1 {
		s.idle.remove(f)
		f.startTag = max(f.startTag, s.virtualTime)
		s.active.push(f)
	}
}

// dequeue removes a request of the given expected cost from f.
func (s *flowSet) dequeue(f *flow, cost time.Duration) {
	f.count--
	f.work -= cost
	if f.count == 0 {
		s.active.remove(f)
		s.idle.push(f)
	}
}

// charge advances the start tag of f by the expected cost of a request that
// starts.
func (s *flowSet) charge(f *flow, cost time.Duration) {
	s.virtualTime = max(s.virtualTime, f.startTag)
	f.running++
	f.startTag += float64(cost)
	s.reorder(f)
}

// correctCharge adjusts the start tag of f once a request has ended that took more
// than its expected cost by the given time, which may be negative.
func (s *flowSet) correctCharge(f *flow, excess time.Duration) {
	f.running--
	f.startTag += float64(excess)
	s.reorder(f)
}

func (s *flowSet) reorder(f *flow) {
	if f.count > 0 {
		s.active.fix(f.heapIndex)
	}
}

// evictIdle removes idle flows whose start tags virtualTime has passed. Each call
// examines at most evictBatch flows.
func (s *flowSet) evictIdle() {
	for range evictBatch {
		f := s.idle.head
		if f == nil {
			return
		}
		s.idle.remove(f)
		if f.running > 0 || f.startTag > s.virtualTime {
			s.idle.push(f)
			continue
		}
		delete(s.byName, f.name)
		f.next = s.free
		s.free = f
	}
}

// flowList is a linked list of flows, the oldest first.
type flowList struct {
	head, tail *flow
}

func (l *flowList) push(f *flow) {
	f.prev, f.next = l.tail, nil
	if l.tail == nil {
		l.head = f
	} else {
		l.tail.next = f
	}
	l.tail = f
}

func (l *flowList) remove(f *flow) {
	if f.prev == nil {
		l.head = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		l.tail = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
}
