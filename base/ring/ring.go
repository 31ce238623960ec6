// Package ring provides a bounded FIFO queue between goroutines. Sending to a
// full ring doesn't block: the item is rejected, and the caller decides what to
// do with it.
package ring

// Ring is a bounded FIFO queue. It is safe for concurrent use by any number of
// senders and receivers.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds an item if there is room and reports whether it did. It never blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel from which receivers read the items.
func (r *Ring[T]) Items() <-chan T { return r.slots }

// Drain removes and returns the items that are in the ring.
func (r *Ring[T]) Drain() []T {
	var items []T
	for {
		select {
		case item := <-r.slots:
			items = append(items, item)
		default:
			return items
		}
	}
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.slots) }
