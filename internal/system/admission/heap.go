package admission

// item is an element of a heap that knows its place, so that removal needs no
// search.
type item[T any] interface {
	before(T) bool
	place() int
	moved(place int)
}

// heap is a binary heap, the first element before all others.
type heap[T item[T]] []T

func (h *heap[T]) push(x T) {
	x.moved(len(*h))
	*h = append(*h, x)
	h.up(x.place())
}

func (h *heap[T]) remove(x T) {
	var none T
	i, last := x.place(), len(*h)-1
	h.swap(i, last)
	(*h)[last] = none
	*h = (*h)[:last]
	x.moved(-1)
	if i < last {
		h.fix(i)
	}
}

// fix restores the order after the element at i has changed.
func (h heap[T]) fix(i int) {
	h.down(i)
	h.up(i)
}

func (h heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].before(h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h heap[T]) down(i int) {
	for {
		first := 2*i + 1
		if first >= len(h) {
			return
		}
		if right := first + 1; right < len(h) && h[right].before(h[first]) {
			first = right
		}
		if !h[first].before(h[i]) {
			return
		}
		h.swap(i, first)
		i = first
	}
}

func (h heap[T]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].moved(i)
	h[j].moved(j)
}
