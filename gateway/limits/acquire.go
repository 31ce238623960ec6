package limits

import (
	"context"
	"slices"
	"time"

	"flamingospar.org/gateway/ranking"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// permitTTL is how long a permit of another process may be used.
	permitTTL = 500 * time.Millisecond
	// maxPermits is the number of permits that a process asks for at once.
	maxPermits = 16
	// defaultMaxWait bounds the time that a request waits for a permit: a caller without
	// one is refused at once.
	defaultMaxWait = 150 * time.Millisecond
	// notSharingBackoff is how long a process is not asked again after it answered that it
	// doesn't share out the limit.
	notSharingBackoff = 500 * time.Millisecond
	// nobodySharesBackoff is the time between two questions while no process is known
	// that shares out the limit.
	nobodySharesBackoff = 250 * time.Millisecond
)

// Blocked returns the endpoints that may be sent no request now, by ID.
func (l *Limiter) Blocked() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limited) == 0 {
		return nil
	}
	now := l.now()
	blocked := make(map[string]bool)
	for id, e := range l.limited {
		if !l.available(e, now) {
			blocked[id] = true
		}
	}
	return blocked
}

// available reports whether a request may be sent to an endpoint. l.mu must be held.
func (l *Limiter) available(e *endpoint, now time.Time) bool {
	e.permits = slices.DeleteFunc(e.permits, func(expiry time.Time) bool { return now.After(expiry) })
	return len(e.permits) > 0 || (e.share > 0 && e.ledger.Available(now, l.vm))
}

// Take reports whether a request may be sent to an endpoint now, and if so counts it.
func (l *Limiter) Take(id string) bool {
	_, ok := l.Reserve(id)
	return ok
}

// Reserve is Take for a request that may not be sent in the end: giveBack must be called then,
// so that another request can be sent in its place.
func (l *Limiter) Reserve(id string) (giveBack func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, limited := l.limited[id]
	if !limited {
		return func() {}, true
	}
	now := l.now()
	if !l.available(e, now) {
		l.meter.Count("limit", "exceeded")
		return nil, false
	}
	if len(e.permits) == 0 {
		ok = e.ledger.Take(now, l.vm)
		return func() { l.giveBack(e, func() { e.ledger.GiveBack(l.now()) }) }, l.counted(ok)
	}
	expiry := e.permits[0]
	e.permits = e.permits[1:]
	return func() { l.giveBack(e, func() { e.permits = slices.Insert(e.permits, 0, expiry) }) }, l.counted(true)
}

// counted counts a request that is sent to an endpoint with a limit, if it is, and returns ok.
func (l *Limiter) counted(ok bool) bool {
	if ok {
		l.meter.Count("limit", "sent")
	}
	return ok
}

// giveBack gives back what a request to an endpoint took that was not sent, unless the endpoint
// limits its requests no longer or has started again.
func (l *Limiter) giveBack(e *endpoint, restore func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited[e.id] != e {
		return
	}
	l.meter.Count("limit", "given_back")
	restore()
}

// MayAsk reports whether Acquire may lead to a permit for a blocked endpoint.
func (l *Limiter) MayAsk(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.limited[id]
	return ok && !l.now().Before(e.askAfter)
}

// RetryIn returns the time after which a blocked endpoint may be sent a request again,
// as far as it is known.
func (l *Limiter) RetryIn(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.limited[id]
	if !ok {
		return 0
	}
	return max(e.askAfter.Sub(l.now()), 0)
}

// Acquire asks the process that shares out the limit of an endpoint for a permit. It
// reports whether a request may be sent to the endpoint now.
func (l *Limiter) Acquire(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, l.maxWait)
	defer cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	counted := false
	for ctx.Err() == nil {
		e, ok := l.limited[id]
		if !ok {
			return true
		}
		now := l.now()
		if l.available(e, now) {
			return true
		}
		if !counted {
			counted = true
			e.unmet++
			e.wantedAt = now
		}
		if now.Before(e.askAfter) {
			return false
		}
		if e.share > 0 {
			l.wait(e, now)
			return false
		}
		l.ask(ctx, e, now)
	}
	return false
}

// wait notes in the ledger of this process that its own callers want more. l.mu must be
// held.
func (l *Limiter) wait(e *endpoint, now time.Time) {
	e.unmet = 0
	if !e.ledger.Take(now, l.vm) {
		e.askAfter = now.Add(e.ledger.RetryIn(now, l.vm))
	}
}

// ask asks another process for permits, unless a question is under way, and waits for
// the answer. l.mu must be held; it is released meanwhile.
func (l *Limiter) ask(ctx context.Context, e *endpoint, now time.Time) {
	if e.asking == nil {
		vm := e.ranking.ToAsk(now, l.vm)
		if vm == "" {
			e.unmet = 0
			e.askAfter = now.Add(nobodySharesBackoff)
			return
		}
		e.asking = make(chan struct{})
		request := &wirev1.AcquireSendsRequest{Vm: l.vm, Limit: encode(e, now), Count: uint32(min(max(e.unmet, 1), maxPermits))}
		go l.askProcess(context.WithoutCancel(ctx), e, vm, request)
	}
	answered := e.asking
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// askProcess asks the process on vm for permits and applies its answer.
func (l *Limiter) askProcess(ctx context.Context, e *endpoint, vm string, request *wirev1.AcquireSendsRequest) {
	ctx, cancel := context.WithTimeout(ctx, ranking.CallTimeout)
	defer cancel()
	reply, err := l.fleet.AcquireSends(ctx, vm, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(e.asking)
	e.asking = nil
	l.recordReply(e, vm, request.GetCount(), reply, err)
}

// recordReply applies the answer of another process. l.mu must be held.
func (l *Limiter) recordReply(e *endpoint, vm string, count uint32, reply *wirev1.AcquireSendsReply, err error) {
	now := l.now()
	if err != nil {
		l.meter.Count("limit", "ask", "failed")
		e.ranking.Skip(vm, now.Add(ranking.UnreachableBackoff))
		l.log(e, "The process that shares out the limit of an endpoint does not answer.", "vm", vm, "err", err.Error())
		return
	}
	l.merge(reply.GetLimit(), vm)
	if !reply.GetSharesLimit() {
		l.meter.Count("limit", "ask", "not_sharing")
		e.ranking.Skip(vm, now.Add(notSharingBackoff))
		return
	}
	e.unmet = 0
	for range reply.GetGranted() {
		e.permits = append(e.permits, now.Add(permitTTL))
	}
	l.meter.Add(int64(reply.GetGranted()), "limit", "ask", "granted")
	if reply.GetGranted() < count {
		l.meter.Count("limit", "ask", "denied")
		e.askAfter = now.Add(time.Duration(reply.GetRetryInMs()) * time.Millisecond)
	}
}
