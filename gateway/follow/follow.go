// Package follow keeps this process's view of one table of the store current.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
)

// Limits of the calls.
const (
	// callSlack is how much longer than its own wait a call may take, and
	// askLimit how long a call that is to be answered at once.
	callSlack = 1500 * time.Millisecond
	askLimit  = 1 * time.Second
	// minBackoff and maxBackoff are the longest waits after the first and after
	// later failed calls; the wait is at least half of it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// skipFor is how soon a follower looks again that needs no call now.
	skipFor = 50 * time.Millisecond
)

var log = logging.For("gateway/follow")

// Store is what is followed.
type Store interface {
	Table(ctx context.Context, table string) (site.Page, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (site.Page, error)
}

// Follower follows one table.
type Follower struct {
	Store Store
	Table string
	// Wait is how long the store holds a call until there is a change.
	Wait time.Duration
	// Every returns the shortest time between two calls; nil bounds nothing.
	Every func() time.Duration
	// Skip reports whether what is known is fresh enough without a call; nil
	// never is. After returns the version that is known, also from elsewhere;
	// nil counts what this follower read.
	Skip  func() bool
	After func() int64
	// Apply takes changed rows, or the whole table.
	Apply func(page site.Page, whole bool)
	// Lost and Regained are called when the store stops and begins to answer.
	Lost     func()
	Regained func()
	// Turned returns a channel that is closed when the store is next seen, by any
	// call of the process, to stop or begin to answer. A call that it holds is
	// then given up and made anew: one that was sent before or in an outage may
	// never be answered. nil is never.
	Turned func() <-chan struct{}

	after   int64
	lost    bool
	ask     bool // The next call is to be answered at once.
	backoff time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.skip() {
			clock.Sleep(ctx, skipFor)
			continue
		}
		f.round(ctx)
	}
}

// round makes one call and waits until the next is due.
func (f *Follower) round(ctx context.Context) {
	began := time.Now()
	untilTurn, cancel := f.untilTurn(ctx)
	defer cancel()
	err := f.step(untilTurn)
	if ctx.Err() != nil {
		return
	}
	if err != nil && untilTurn.Err() != nil {
		f.ask = true
		return
	}
	wait := f.every() - time.Since(began)
	if err != nil {
		wait = f.failed(err)
	}
	clock.Sleep(untilTurn, wait)
}

// untilTurn returns a context that also ends when the store is seen to stop or
// begin to answer.
func (f *Follower) untilTurn(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if f.Turned == nil {
		return ctx, cancel
	}
	turned := f.Turned()
	go func() {
		select {
		case <-turned:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (f *Follower) every() time.Duration {
	if f.Every == nil {
		return 0
	}
	return f.Every()
}

func (f *Follower) skip() bool {
	if f.Skip == nil || f.after == 0 || f.lost || !f.Skip() {
		return false
	}
	f.after = max(f.after, f.After())
	return true
}

func (f *Follower) step(ctx context.Context) error {
	whole := f.after == 0
	wait, limit := f.Wait, f.Wait+callSlack
	if whole || f.lost || f.ask {
		wait, limit = 0, askLimit // The answer shall tell that the store answers, not a change.
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var page site.Page
	var err error
	if whole {
		page, err = f.Store.Table(ctx, f.Table)
	} else {
		page, err = f.Store.Feed(ctx, f.Table, f.after, wait)
	}
	if !whole && errors.Is(err, site.ErrHistoryGone) {
		log.Info("The store has dropped its history; the table is read whole.", "table", f.Table, "after", f.after)
		f.after = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.answered()
	f.Apply(page, whole)
	f.after = page.Version
	return nil
}

func (f *Follower) answered() {
	f.backoff = 0
	f.ask = false
	if !f.lost {
		return
	}
	f.lost = false
	log.Info("The store answers again.", "table", f.Table, "after", f.after)
	if f.Regained != nil {
		f.Regained()
	}
}

func (f *Follower) failed(err error) time.Duration {
	if !f.lost {
		f.lost = true
		log.Error(err, "The store does not answer; what is known stays in use.", "table", f.Table, "after", f.after)
		if f.Lost != nil {
			f.Lost()
		}
	}
	f.backoff = min(max(f.backoff*2, minBackoff), maxBackoff)
	return jitter(f.backoff)
}

// jitter returns a random duration from half of d up to d, so that processes
// that failed together don't call again together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
