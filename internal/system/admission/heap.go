package admission

// item is a heap element that stores its own index, so that it can be removed
// without a search.
type item[T any] interface {
	before(T) bool
	index() int
	setIndex(i int)
}

// heap is a binary min-heap ordered by the before method of its elements.
type heap[T item[T]] []T

func (h *heap[T]) push(x T) {
	x.setIndex(len(*h))
	*h = append(*h, x)
	h.up(x.index())
}

func (h *heap[T]) remove(x T) {
	var zero T
	i, last := x.index(), len(*h)-1
	h.swap(i, last)
	(*h)[last] = zero
	*h = (*h)[:last]
	x.setIndex(-1)
	if i < last {
		h.fix(i)
	}
}

// fix restores the heap order after the element at i has changed.
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
	h[i].setIndex(i)
	h[j].setIndex(j)
}
