package wholesystem

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var measure = flag.Bool("measure", false, "run the measurements of the design notes")

// experimentKey carries a caller's key past the entry's claims.
const experimentKey = "X-Experiment-Key"

// dedupe answers a key seen before from memory, as an agent without claims
// could; its memory ends with the agent.
type dedupe struct {
	mu   sync.Mutex
	seen map[string]*httptest.ResponseRecorder
	next http.Handler
}

func (d *dedupe) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = make(map[string]*httptest.ResponseRecorder)
}

// ServeHTTP implements http.Handler.
func (d *dedupe) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(experimentKey)
	if key == "" {
		d.next.ServeHTTP(w, r)
		return
	}
	d.mu.Lock()
	answer, known := d.seen[key]
	if !known {
		d.seen[key] = nil
	}
	d.mu.Unlock()
	if known && answer == nil {
		http.Error(w, "in progress", http.StatusConflict)
		return
	}
	if !known {
		answer = httptest.NewRecorder()
		d.next.ServeHTTP(answer, r)
		d.mu.Lock()
		d.seen[key] = answer
		d.mu.Unlock()
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// TestMeasureClaims compares three ways to run a keyed request at most once.
func TestMeasureClaims(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, way := range []string{"claim before the first attempt", "dedupe at the agent", "nothing"} {
		for i := range *seeds {
			seed := *first + uint64(i)
			synctest.Test(t, func(t *testing.T) { measureClaims(t, seed, way) })
		}
	}
}

func measureClaims(t *testing.T, seed uint64, way string) {
	w := newWorld(t, seed, smallShape)
	w.keyHeader = "Idempotency-Key"
	if way != "claim before the first attempt" {
		w.keyHeader = experimentKey
	}
	w.dedupe = way == "dedupe at the agent"
	w.start(smallShape)
	until := time.Now().Add(*length)
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		w.injectFaults(rand.New(rand.NewPCG(seed, 1)), until)
	}()
	requests := w.load(rand.New(rand.NewPCG(seed, 2)), until, 100*time.Millisecond, func(*rand.Rand) kind { return keyedClaim })
	running.Wait()
	w.stop()
	time.Sleep(2 * time.Minute)
	doubled, lost, doubtful := 0, 0, 0
	var clean []time.Duration
	for _, r := range requests {
		ran := w.runs(r.content)
		switch {
		case ran > 1:
			doubled++
		case !r.answered() && ran == 0:
			lost++
		case !r.answered():
			doubtful++
		}
		if r.answered() && len(r.told) == 1 {
			clean = append(clean, r.took)
		}
	}
	slices.Sort(clean)
	t.Logf("%-32s seed %d: %d requests, %d ran twice or more, %d never ran, %d ran and were not answered, first answers p50 %v p95 %v",
		way, seed, len(requests), doubled, lost, doubtful, quantile(clean, 50), quantile(clean, 95))
}

func quantile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)].Round(100 * time.Microsecond)
}

// TestMeasurePoison counts the endpoints that one caller takes down in an hour
// by sending one crashing request again and again. Without marks is shown by a
// body that differs at each submission.
func TestMeasurePoison(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, marked := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) { measurePoison(t, marked) })
	}
}

func measurePoison(t *testing.T, marked bool) {
	const span = 10 * time.Minute
	w := newWorld(t, 1, smallShape)
	w.start(smallShape)
	rng := rand.New(rand.NewPCG(1, 9))
	innocent := w.during(rng, span, 500*time.Millisecond, func(rng *rand.Rand) kind { return kind(rng.IntN(2)) }, func(rng *rand.Rand) {
		r := newRequest(rng, poisoned, 0)
		content := r.content
		for i, until := 0, time.Now().Add(span); time.Now().Before(until); i++ {
			if !marked {
				r.content = fmt.Sprintf("%s %d", content, i)
			}
			w.once(r, w.pickEntry(rng))
			time.Sleep(5 * time.Second)
		}
	})
	w.stop()
	time.Sleep(2 * time.Minute)
	crashes, refused := 0, 0
	for _, e := range w.endpoints {
		crashes += e.crashes
	}
	for _, r := range innocent {
		if !r.answered() {
			refused++
		}
	}
	t.Logf("marks %t: %d endpoints taken down in %v, %d of %d innocent requests not answered", marked, crashes, span, refused, len(innocent))
}
