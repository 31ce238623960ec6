// Package invariant checks invariants at run time. A violation is counted and
// logged. In tests, which call SetPanicOnViolation, it also panics so that the
// test fails.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// Name identifies an invariant in counters, logs and test reports.
type Name string

// Invariants of runs, requests and stored state.
const (
	OneOrderInFlight     Name = "one_order_in_flight"  // An agent sends an order only after the previous one is settled.
	EpochNeverFalls      Name = "epoch_never_falls"    // The epoch of a lease doesn't decrease.
	RevisionNeverFalls   Name = "revision_never_falls" // The revision of the configuration doesn't decrease.
	NoCallerKeyForwarded Name = "no_caller_key_forwarded"
	RunTeamIsKeyTeam     Name = "run_team_is_key_team"
	StreamInOrder        Name = "stream_in_order"       // Chunks of an answer arrive without gaps or repetitions.
	NotRunMeansNotRun    Name = "not_run_means_not_run" // A run that has begun doesn't end with the outcome NOT_RUN.
	RunIDAtMostOnce      Name = "run_id_at_most_once"
	WindowWrittenOnce    Name = "window_written_once" // A usage window is sealed once and not changed afterwards.
	NoOrderFromEndedTerm Name = "no_order_from_ended_term"
)

var panicOnViolation atomic.Bool

// SetPanicOnViolation sets whether a violation panics, as it does in tests but
// not in production.
func SetPanicOnViolation(on bool) { panicOnViolation.Store(on) }

// Check records a violation of the named invariant if ok is false. The message is
// formatted only in that case.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Inc(1)
	message := fmt.Sprintf(format, args...)
	klog.Errorf("invariant: %s violated: %s", name, message)
	if panicOnViolation.Load() {
		panic(fmt.Sprintf("invariant %s violated: %s", name, message))
	}
}

// Violations returns the number of violations of an invariant in this process.
func Violations(name Name) int64 {
	return metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Count()
}
