package logging

import (
	"sync"
	"time"
)

// LineBudget bounds the lines that a part of the process writes about events whose
// number it can't bound. The zero LineBudget has written nothing. It is safe for
// concurrent use.
type LineBudget struct {
	mu         sync.Mutex
	unixSecond int64
	written    map[string]int // Lines in this second, by class.
	omitted    int
}

// Allow reports whether another line of a class may be written, given the most of its
// class in a second, and how many lines were omitted since the last one.
func (b *LineBudget) Allow(class string, maxPerSecond int) (ok bool, omitted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now().Unix(); now != b.unixSecond || b.written == nil {
		b.unixSecond, b.written = now, make(map[string]int)
	}
	if b.written[class] >= maxPerSecond {
		b.omitted++
		return false, 0
	}
	b.written[class]++
	omitted = b.omitted
	b.omitted = 0
	return true, omitted
}
