package wholesystem

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/standin/plain"
	"flamingospar.org/standin/platform"
)

var claimShape = shape{entries: 2, engines: 1, claims: 1, serials: 1}

// inClaims runs steps in a started world whose only claims service is service.
func inClaims(t *testing.T, steps func(w *world, service *endpoint, rng *rand.Rand) (verify func(t *testing.T))) {
	inWorld(t, 6, claimShape, func(w *world, rng *rand.Rand) ([]*request, func(*testing.T)) {
		return nil, steps(w, w.endpoints[claimShape.engines], rng)
	})
}

// at submits once at an entry.
func (w *world) at(entry int, r *request) told { return w.once(r, w.entries[entry].url()) }

// TestKeyIsAnsweredFromItsClaim submits one key again elsewhere, with its own
// body and with another.
func TestKeyIsAnsweredFromItsClaim(t *testing.T) {
	inClaims(t, func(w *world, service *endpoint, rng *rand.Rand) func(*testing.T) {
		r := newRequest(rng, keyedClaim, 1)
		r.content = `{"claim":"` + strings.Repeat("long ", 4000) + `"}` // Beyond a row's part.
		first, again := w.at(0, r), w.at(1, r)
		other := newRequest(rng, keyedClaim, 2)
		other.key = r.key
		mismatch := w.at(0, other)

		service.service.SetFaults(plain.Faults{Delay: 3 * time.Second})
		slow := newRequest(rng, keyedClaim, 3)
		done := make(chan told)
		go func() { done <- w.at(0, slow) }()
		time.Sleep(time.Second)
		meanwhile, later := w.at(1, slow), <-done
		return func(t *testing.T) {
			require.True(t, first.answered())
			require.Equal(t, first, again)
			require.Equal(t, 1, w.runs(r.content))
			require.Equal(t, http.StatusUnprocessableEntity, mismatch.status)
			require.Equal(t, "not-run", mismatch.outcome)
			require.Zero(t, w.runs(other.content))
			require.Equal(t, "idempotency_in_progress", meanwhile.code)
			require.True(t, later.answered())
			require.Equal(t, 1, w.runs(slow.content))
		}
	})
}

// TestUnknownStaysUntilSettled crashes the service after a claim took effect
// and before it answered.
func TestUnknownStaysUntilSettled(t *testing.T) {
	inClaims(t, func(w *world, service *endpoint, rng *rand.Rand) func(*testing.T) {
		r := newRequest(rng, keyedClaim, 1)
		service.service.SetFaults(plain.Faults{Poison: r.content, Crash: func() { go w.crashEndpoint(service) }})
		first := w.at(0, r)
		time.Sleep(6 * time.Second)
		second, third := w.at(1, r), w.at(0, r)
		runs := w.runs(r.content)
		settled := w.operate(http.MethodPost, 1, "/v1/claims/settle", `{"team":"`+w.team+`","key":"`+r.key+`","outcome":"not-run","operator":"test"}`)
		fourth := w.at(1, r)
		return func(t *testing.T) {
			require.Equal(t, "unknown", first.outcome)
			require.Equal(t, "idempotency_outcome_unknown", second.code)
			require.Equal(t, "idempotency_outcome_unknown", third.code)
			require.Equal(t, 1, runs)
			require.Equal(t, http.StatusOK, settled)
			require.True(t, fourth.answered(), "%v", fourth)
		}
	})
}

// TestClaimsThroughStoreFaults submits keys while the store is down and while
// it loses the answers to its writes.
func TestClaimsThroughStoreFaults(t *testing.T) {
	inClaims(t, func(w *world, _ *endpoint, rng *rand.Rand) func(*testing.T) {
		down, lossy := newRequest(rng, keyedClaim, 1), newRequest(rng, keyedClaim, 2)
		w.platform.SetFaults(platform.Faults{Outage: true})
		refused := w.at(0, down)
		runsDown := w.runs(down.content)
		w.platform.SetFaults(platform.Faults{LoseResponses: true})
		answered := w.at(0, lossy)
		time.Sleep(time.Second)
		w.platform.SetFaults(platform.Faults{})
		time.Sleep(2 * time.Second)
		again, replayed := w.at(1, down), w.at(1, lossy)
		return func(t *testing.T) {
			require.Equal(t, "not-run", refused.outcome)
			require.Equal(t, "store_unavailable", refused.code)
			require.Zero(t, runsDown)
			require.True(t, again.answered(), "%v", again)
			require.Equal(t, 1, w.runs(down.content))
			require.True(t, answered.answered(), "%v", answered)
			require.Equal(t, answered, replayed)
			require.Equal(t, 1, w.runs(lossy.content))
		}
	})
}

// TestLateCommitDoesNotHoldItsKey lets the store take a claim only after its
// entry has given up waiting and refused the request.
func TestLateCommitDoesNotHoldItsKey(t *testing.T) {
	inClaims(t, func(w *world, _ *endpoint, rng *rand.Rand) func(*testing.T) {
		r := newRequest(rng, keyedClaim, 1)
		w.platform.SetFaults(platform.Faults{Delay: 3 * time.Second})
		refused := w.at(0, r)
		time.Sleep(2 * time.Second)
		w.platform.SetFaults(platform.Faults{})
		time.Sleep(5 * time.Second)
		runs := w.runs(r.content)
		again := w.at(1, r)
		return func(t *testing.T) {
			require.Equal(t, "not-run", refused.outcome)
			require.Zero(t, runs)
			require.True(t, again.answered(), "%v", again)
			require.Equal(t, 1, w.runs(r.content))
		}
	})
}

// TestClaimOfDeadEntryIsNotTakenOver kills the entry that holds a claim while
// the run is on.
func TestClaimOfDeadEntryIsNotTakenOver(t *testing.T) {
	inClaims(t, func(w *world, service *endpoint, rng *rand.Rand) func(*testing.T) {
		service.service.SetFaults(plain.Faults{Delay: 2 * time.Second})
		r := newRequest(rng, keyedClaim, 1)
		done := make(chan told)
		go func() { done <- w.at(0, r) }()
		time.Sleep(time.Second)
		killed := w.entries[0]
		killed.host.Kill()
		killed.stop()
		<-done
		running := w.at(1, r)
		time.Sleep(40 * time.Second)
		stale := w.at(1, r)
		<-killed.done
		w.startEntry(killed)
		return func(t *testing.T) {
			require.Equal(t, "idempotency_in_progress", running.code)
			require.Equal(t, "idempotency_outcome_unknown", stale.code)
			require.Equal(t, 1, w.runs(r.content))
		}
	})
}

// TestEntryStopsWithEndsUnwritten takes the store down under running claims and
// then stops their entry: it stops trying to write their ends after a bounded time.
func TestEntryStopsWithEndsUnwritten(t *testing.T) {
	inClaims(t, func(w *world, service *endpoint, rng *rand.Rand) func(*testing.T) {
		service.service.SetFaults(plain.Faults{Delay: time.Second})
		requests := make([]*request, 40)
		var running sync.WaitGroup
		for i := range requests {
			requests[i] = newRequest(rng, keyedClaim, i)
			running.Add(1)
			go func() {
				defer running.Done()
				requests[i].told = append(requests[i].told, w.at(0, requests[i]))
			}()
		}
		time.Sleep(500 * time.Millisecond)
		w.platform.SetFaults(platform.Faults{Outage: true})
		running.Wait()
		began := time.Now()
		w.entries[0].stop()
		select {
		case <-w.entries[0].done:
		case <-time.After(10 * time.Minute):
		}
		took := time.Since(began)
		w.platform.SetFaults(platform.Faults{})
		again := w.at(1, requests[0])
		return func(t *testing.T) {
			require.Less(t, took, time.Minute)
			for _, r := range requests {
				require.True(t, r.answered(), "%v", r.told)
				require.Equal(t, 1, w.runs(r.content))
			}
			require.Equal(t, "unknown", again.outcome)
		}
	})
}

// operate calls the operators' interface of an entry and returns the status.
func (w *world) operate(method string, entry int, path, body string) int {
	url := strings.Replace(w.entries[entry].url(), ":80", ":81", 1)
	call, err := http.NewRequestWithContext(w.ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := w.client.Do(call)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
