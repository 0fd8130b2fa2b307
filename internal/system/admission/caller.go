package admission

import "time"

// caller is the work of one caller within a class.
type caller struct {
	name      string
	virtual   float64 // fair-queueing start tag, slot nanoseconds
	queue     list
	count     int // queued requests
	work      time.Duration
	running   int
	heapPlace int

	prev, next *caller // in the list of idle callers
}

func (k *caller) before(o *caller) bool { return k.virtual < o.virtual }
func (k *caller) place() int            { return k.heapPlace }
func (k *caller) moved(place int)       { k.heapPlace = place }

// callerList is a list of callers, oldest first.
type callerList struct {
	head, tail *caller
}

func (l *callerList) push(k *caller) {
	k.prev, k.next = l.tail, nil
	if l.tail == nil {
		l.head = k
	} else {
		l.tail.next = k
	}
	l.tail = k
}

func (l *callerList) remove(k *caller) {
	if k.prev == nil {
		l.head = k.next
	} else {
		k.prev.next = k.next
	}
	if k.next == nil {
		l.tail = k.prev
	} else {
		k.next.prev = k.prev
	}
	k.prev, k.next = nil, nil
}
