package wholesystem

import (
	"flag"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"flamingospar.org/base/invariant"
)

var (
	seeds   = flag.Int("seeds", 1, "number of seeds that the whole-system run takes")
	first   = flag.Uint64("first-seed", 1, "first seed of the whole-system run")
	length  = flag.Duration("length", 30*time.Second, "virtual time of faults in each seed")
	long    = flag.Bool("long", false, "run the focused tests at three times their length")
	verbose = flag.Bool("logs", false, "show the processes' logs")
)

func TestMain(m *testing.M) {
	flag.Parse()
	invariant.SetPanicOnViolation(true)
	if !*verbose {
		klog.SetLogger(logr.Discard())
		log.SetOutput(io.Discard)
	}
	m.Run()
}

// TestEverythingFails mixes all faults and checks every byte, run and refusal.
func TestEverythingFails(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { everythingFails(t, seed) })
		})
	}
}

func everythingFails(t *testing.T, seed uint64) {
	w := newWorld(t, seed, smallShape)
	w.start(smallShape)
	until := time.Now().Add(*length)
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		w.injectFaults(rand.New(rand.NewPCG(seed, 1)), until)
	}()
	requests := w.load(rand.New(rand.NewPCG(seed, 2)), until, 120*time.Millisecond, mixed)
	running.Wait()
	time.Sleep(60 * time.Second)
	healed := w.load(rand.New(rand.NewPCG(seed, 3)), time.Now().Add(3*time.Second), 150*time.Millisecond, harmless)
	w.stop()
	time.Sleep(2 * time.Minute)
	for _, r := range append(requests, healed...) {
		require.NoError(t, w.check(r))
	}
	require.NoError(t, w.checkRunIDs())
	for _, r := range healed {
		require.True(t, r.answered(), "after all faults had ended, %d %q was told %v", r.kind, r.content, r.told)
	}
	for _, name := range []string{"retried.no_endpoint", "retried.endpoint_crashed", "resumed.endpoint_crashed", "resumed.endpoint_silent", "handed_over.draining"} {
		t.Logf("%5d %s", w.counter(name), name)
	}
	counts := summary(requests)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%5d %s", counts[name], name)
	}
}

// injectFaults brings about one fault after another, up to three at a time.
func (w *world) injectFaults(rng *rand.Rand, until time.Time) {
	var running sync.WaitGroup
	slots := make(chan struct{}, 3)
	for time.Now().Before(until) {
		slots <- struct{}{}
		chosen := faults[rng.IntN(len(faults))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			chosen.run(w, own)
		}()
		time.Sleep(span(rng, 200*time.Millisecond, 3*time.Second))
	}
	running.Wait()
}

func mixed(rng *rand.Rand) kind {
	if rng.IntN(150) == 0 {
		return poisoned
	}
	return kind(rng.IntN(int(poisoned)))
}

func harmless(rng *rand.Rand) kind { return kind(rng.IntN(int(slowStream))) }

// load submits requests until the time comes and waits for their ends.
func (w *world) load(rng *rand.Rand, until time.Time, every time.Duration, choose func(*rand.Rand) kind) []*request {
	var requests []*request
	var running sync.WaitGroup
	for time.Now().Before(until) {
		r := newRequest(rng, choose(rng), len(requests))
		requests = append(requests, r)
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		running.Add(1)
		go func() {
			defer running.Done()
			w.submit(r, own)
		}()
		time.Sleep(span(rng, every/2, every*3/2))
	}
	running.Wait()
	return requests
}
