// Package ring joins two goroutines by a bounded queue. A full ring never
// blocks the sender: the caller decides what a refusal means.
package ring

// Ring is a bounded queue of T, safe for any number of senders and receivers.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds an item and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel that receivers read.
func (r *Ring[T]) Items() <-chan T { return r.slots }

// Drain removes and returns all items held now.
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

// Len returns the number of items held now.
func (r *Ring[T]) Len() int { return len(r.slots) }
