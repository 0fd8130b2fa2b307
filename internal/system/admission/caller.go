package admission

import "time"

// caller holds the queued and running requests of one caller within a class.
type caller struct {
	name      string
	startTag  float64 // start tag for fair queueing, in nanoseconds of slot time
	queue     list
	count     int           // queued requests
	work      time.Duration // expected service time of the queued requests
	running   int
	heapIndex int

	prev, next *caller // neighbors in the list of idle callers
}

func (k *caller) before(o *caller) bool { return k.startTag < o.startTag }
func (k *caller) index() int            { return k.heapIndex }
func (k *caller) setIndex(i int)        { k.heapIndex = i }

// callerList is a linked list of callers, the oldest first.
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
