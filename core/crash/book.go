package crash

import (
	"maps"
	"slices"
	"time"
)

// MaxMarks bounds the marks that a Book keeps.
const MaxMarks = 20_000

// Book holds marks by fingerprint. It is not safe for concurrent use.
type Book struct {
	marks map[Fingerprint]Mark
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{marks: make(map[Fingerprint]Mark)} }

// Mark returns what is known of a request.
func (b *Book) Mark(fingerprint Fingerprint) Mark { return b.marks[fingerprint] }

// Merge adds what mark knows and reports whether that was new.
func (b *Book) Merge(mark Mark, now time.Time) bool {
	known := b.marks[mark.Fingerprint]
	merged := Merge(known, mark)
	if merged.Equal(known) {
		return false
	}
	if merged.Forgettable(now) {
		delete(b.marks, mark.Fingerprint)
		return false
	}
	b.marks[mark.Fingerprint] = merged
	b.bound(now)
	return true
}

// bound drops what matters least when the book is full: marks without counted
// crashes, then single crashes, then the rest.
func (b *Book) bound(now time.Time) {
	if len(b.marks) <= MaxMarks {
		return
	}
	for limit := range RefuseAt + 1 {
		for fingerprint, mark := range b.marks {
			if mark.Count(now) <= limit {
				delete(b.marks, fingerprint)
			}
			if len(b.marks) <= MaxMarks {
				return
			}
		}
	}
}

// All returns the marks in the order of their fingerprints.
func (b *Book) All() []Mark {
	marks := make([]Mark, 0, len(b.marks))
	for _, fingerprint := range slices.Sorted(maps.Keys(b.marks)) {
		marks = append(marks, b.marks[fingerprint])
	}
	return marks
}

// Forget drops the marks in which nothing can matter any more.
func (b *Book) Forget(now time.Time) {
	maps.DeleteFunc(b.marks, func(_ Fingerprint, mark Mark) bool { return mark.Forgettable(now) })
}
