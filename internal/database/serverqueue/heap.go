package serverqueue

import "container/heap"

// indexed is a binary heap whose values know their places, so that any of them can be moved or removed.
type indexed[E comparable] struct {
	values []E
	less   func(a, b E) bool
	index  func(E) *int // place of a value, plus one; 0 outside of the heap
}

// Len implements heap.Interface.
func (h *indexed[E]) Len() int { return len(h.values) }

// Less implements heap.Interface.
func (h *indexed[E]) Less(a, b int) bool { return h.less(h.values[a], h.values[b]) }

// Swap implements heap.Interface.
func (h *indexed[E]) Swap(a, b int) {
	h.values[a], h.values[b] = h.values[b], h.values[a]
	*h.index(h.values[a]), *h.index(h.values[b]) = a+1, b+1
}

// Push implements heap.Interface.
func (h *indexed[E]) Push(value any) {
	e := value.(E)
	h.values = append(h.values, e)
	*h.index(e) = len(h.values)
}

// Pop implements heap.Interface.
func (h *indexed[E]) Pop() any {
	last := len(h.values) - 1
	e := h.values[last]
	var none E
	h.values[last] = none
	h.values = h.values[:last]
	*h.index(e) = 0
	return e
}

// first returns the least value.
func (h *indexed[E]) first() (E, bool) {
	if len(h.values) == 0 {
		var none E
		return none, false
	}
	return h.values[0], true
}

// put inserts a value, or moves it to its place after a change.
func (h *indexed[E]) put(e E) {
	if at := *h.index(e); at > 0 {
		heap.Fix(h, at-1)
		return
	}
	heap.Push(h, e)
}

// drop removes a value if it is in the heap.
func (h *indexed[E]) drop(e E) {
	if at := *h.index(e); at > 0 {
		heap.Remove(h, at-1)
	}
}
