// Package invariant asserts, inside the running program, what must always
// hold. A violation is always counted and logged; with Fatal set, as in tests,
// it panics so that a run cannot pass over it.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// Name identifies one invariant in counters, logs and test reports.
type Name string

// The invariants that the processes assert.
const (
	OneOrderInFlight     Name = "one_order_in_flight"
	EpochNeverFalls      Name = "epoch_never_falls"
	RevisionNeverFalls   Name = "revision_never_falls"
	NoCallerKeyForwarded Name = "no_caller_key_forwarded"
	RunTeamIsKeyTeam     Name = "run_team_is_key_team"
	StreamInOrder        Name = "stream_in_order"
	NotRunMeansNotRun    Name = "not_run_means_not_run"
	RunIDAtMostOnce      Name = "run_id_at_most_once"
	WindowWrittenOnce    Name = "window_written_once"
	NoOrderFromEndedTerm Name = "no_order_from_ended_term"
)

var fatal atomic.Bool

// SetFatal makes each violation panic (tests) or not (production).
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a violation of name when ok is false. The message is built from
// format and args only then.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Inc(1)
	message := fmt.Sprintf(format, args...)
	klog.Errorf("invariant: %s violated: %s", name, message)
	if fatal.Load() {
		panic(fmt.Sprintf("invariant %s violated: %s", name, message))
	}
}

// Violations returns how often name was violated in this process.
func Violations(name Name) int64 {
	return metrics.GetOrRegisterCounter("invariant."+string(name), metrics.DefaultRegistry).Count()
}
