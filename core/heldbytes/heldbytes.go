// Package heldbytes decides how many bytes a server holds for its callers, and which caller is
// dropped when the bytes are used up. It has no clock and no locks: the time is passed in, and
// a Budget must not be used by several goroutines at once.
package heldbytes

import "time"

// Settings are the limits of a Budget.
type Settings struct {
	Bytes        int64 // All holders together.
	SmallReserve int64 // The part of Bytes that is left to small holders.
	SmallBytes   int64 // Up to which a holder counts as small.
	HolderBytes  int64 // What each holder costs while it is open.
	MaxHolders   int
}

// Phase is what happens to the request of a holder.
type Phase int

// The phases of a holder. One that is forwarded is never dropped.
const (
	Idle Phase = iota // There is no request.
	Reading
	Forwarded
)

// Verdict is the answer to a request for bytes or for a place.
type Verdict int

// Verdicts of Reserve.
const (
	Refused Verdict = iota
	Granted
	// Wait says to ask again when bytes have been released.
	Wait
)

// Decision is a verdict and the holder that is dropped for it, if any.
type Decision struct {
	Verdict Verdict
	Drop    *Holder
}

// progressBytes are the bytes that a caller must send to count as making progress, so that a
// byte now and then does not.
const progressBytes = 4 << 10

// Holder is a caller for which bytes are held.
type Holder struct {
	held     int64
	phase    Phase
	dropped  bool
	since    time.Time // Of the last progress, or of the start of the phase Idle.
	received int64     // Bytes since then.
}

// Held returns the bytes that are reserved for the holder.
func (h *Holder) Held() int64 { return h.held }

// Dropped reports whether the holder was named to be dropped.
func (h *Holder) Dropped() bool { return h.dropped }

// Budget keeps the bytes that are reserved for holders within its settings.
type Budget struct {
	settings Settings
	holders  map[*Holder]struct{}
	held     int64
}

// New returns a budget without holders.
func New(settings Settings) *Budget {
	return &Budget{settings: settings, holders: make(map[*Holder]struct{})}
}

// Held returns the bytes that are reserved for all holders.
func (b *Budget) Held() int64 { return b.held }

// Holders returns the number of holders.
func (b *Budget) Holders() int { return len(b.holders) }

// Open adds a holder. If there is no place or no bytes for it, another one is named, which
// must be closed at once, also if it was dropped before. If there is none, Open returns nil.
func (b *Budget) Open(now time.Time) (h *Holder, drop *Holder) {
	full := len(b.holders) >= b.settings.MaxHolders || b.held+b.settings.HolderBytes > b.settings.Bytes
	if full {
		drop = b.longestWaiting()
		if drop == nil {
			return nil, nil
		}
		drop.dropped = true
	}
	h = &Holder{held: b.settings.HolderBytes, since: now}
	b.holders[h] = struct{}{}
	b.held += h.held
	return h, drop
}

// Close removes a holder and releases its bytes.
func (b *Budget) Close(h *Holder) {
	if _, ok := b.holders[h]; !ok {
		return
	}
	delete(b.holders, h)
	b.held -= h.held
	h.held = 0
}

// Reserve asks for more bytes for a holder.
func (b *Budget) Reserve(now time.Time, h *Holder, bytes int64) Decision {
	if _, open := b.holders[h]; !open || h.dropped {
		return Decision{Verdict: Refused}
	}
	limit := b.settings.Bytes
	if h.held+bytes > b.settings.SmallBytes {
		limit -= b.settings.SmallReserve
	}
	if b.held+bytes <= limit {
		h.held += bytes
		b.held += bytes
		return Decision{Verdict: Granted}
	}
	if h.held+bytes > limit {
		return Decision{Verdict: Refused}
	}
	if b.held-b.soonReleased()+bytes <= limit {
		return Decision{Verdict: Wait}
	}
	return b.dropFor(now, h)
}

// dropFor names the holder that is dropped for another one.
func (b *Budget) dropFor(now time.Time, h *Holder) Decision {
	drop := b.heaviest(now)
	switch drop {
	case nil:
		return Decision{Verdict: Refused}
	case h:
		h.dropped = true
		return Decision{Verdict: Refused}
	default:
		drop.dropped = true
		return Decision{Verdict: Wait, Drop: drop}
	}
}

// Release returns bytes of a holder.
func (b *Budget) Release(h *Holder, bytes int64) {
	if _, open := b.holders[h]; !open {
		return
	}
	h.held -= bytes
	b.held -= bytes
}

// Received records bytes that have arrived from the caller of a holder. The first ones begin a
// request.
func (b *Budget) Received(now time.Time, h *Holder, bytes int64) {
	h.received += bytes
	if h.phase == Idle {
		h.phase = Reading
		h.since, h.received = now, 0
	}
	if h.received >= progressBytes {
		h.since, h.received = now, 0
	}
}

// Forward records that the request of a holder is forwarded. It reports false if the holder was
// dropped: its request must be refused.
func (b *Budget) Forward(h *Holder) bool {
	if h.dropped {
		return false
	}
	h.phase = Forwarded
	return true
}

// EndRequest records that the request of a holder has ended and the next one is waited for. It
// releases what the request held.
func (b *Budget) EndRequest(now time.Time, h *Holder) {
	b.Release(h, h.held-b.settings.HolderBytes)
	h.dropped = false
	h.phase = Idle
	h.since, h.received = now, 0
}

// soonReleased returns the bytes that dropped holders release soon.
func (b *Budget) soonReleased() int64 {
	sum := int64(0)
	for h := range b.holders {
		if h.dropped {
			sum += h.held - b.settings.HolderBytes
		}
	}
	return sum
}

// stallUnit is the stalled time that doubles the weight of a holder.
const stallUnit = time.Second

// heaviest returns the holder that may be dropped and holds most, weighted by the time for
// which it has made no progress.
func (b *Budget) heaviest(now time.Time) *Holder {
	var heaviest *Holder
	most := 0.0
	for h := range b.holders {
		if h.dropped || h.phase == Forwarded {
			continue
		}
		stalled := max(now.Sub(h.since), 0)
		weight := float64(h.held) * (1 + stalled.Seconds()/stallUnit.Seconds())
		if heaviest == nil || weight > most {
			heaviest, most = h, weight
		}
	}
	return heaviest
}

// longestWaiting returns the holder that has been idle longest. If none is, it is the one that
// is being read and has made no progress for the longest time.
func (b *Budget) longestWaiting() *Holder {
	var longest *Holder
	for h := range b.holders {
		if h.phase == Forwarded {
			continue
		}
		if longest == nil || waitsLonger(h, longest) {
			longest = h
		}
	}
	return longest
}

// waitsLonger reports whether a holder is to give up its place before another one.
func waitsLonger(a, b *Holder) bool {
	if (a.phase == Idle) != (b.phase == Idle) {
		return a.phase == Idle
	}
	return a.since.Before(b.since)
}
