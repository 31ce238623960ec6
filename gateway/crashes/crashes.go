// Package crashes recognises requests that crash endpoints, and refuses them before
// they crash more. It knows them by what they are (team, path and body) and by the parts
// of their prompts, since requests with one part may crash endpoints whatever else they
// hold; core/blame decides. The entry processes exchange what they know along with the
// rest of their state.
package crashes

import (
	"context"
	"fmt"
	"hash/maphash"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/ring"
	"flamingospar.org/core/blame"
	"flamingospar.org/core/recent"
	"flamingospar.org/platform/site"
)

// Limits of what is known.
const (
	// maxQueuedRuns bounds the broken runs that wait until their check begins.
	maxQueuedRuns = 256
	// expiryInterval is the time between two removals of what has expired.
	expiryInterval = 1 * time.Minute
	// maxAnswered bounds the requests that are remembered as answered a short time ago.
	maxAnswered = 8192
	// trialStep is the time that a process leaves the one before it in the ranking to try
	// whether a part still crashes endpoints. The result reaches other processes within it.
	trialStep = 3 * time.Second
)

var log = logging.For("gateway/crashes")

// Fleet is what the tracker needs to know of endpoints and processes.
type Fleet interface {
	// Endpoint returns an endpoint that is listed.
	Endpoint(id string) (site.Endpoint, bool)
	// Position returns the position of this process in the ranking of all for a key.
	Position(key string) int
}

// Tracker holds what this process knows of crashes. It is safe for concurrent use.
type Tracker struct {
	fleet      Fleet
	brokenRuns *ring.Ring[BrokenRun]
	hasMarks   atomic.Bool // Avoids fingerprinting requests while there are no marks.
	checks     checks
	seed       maphash.Seed
	// refuses reports whether an address refuses connections.
	refuses func(ctx context.Context, address string) bool

	mu         sync.Mutex
	marks      *blame.Set
	answered   *recent.Set[uint64]    // Hashes of requests that were answered a short time ago.
	reports    map[string]reportTimes // By VM.
	blamed     map[string]bool        // What was blamed at the last change: keys, separated by spaces.
	lineBudget logging.LineBudget
}

// New returns a tracker that knows of no crash.
func New(fleet Fleet) *Tracker {
	t := &Tracker{
		fleet: fleet, brokenRuns: ring.New[BrokenRun](maxQueuedRuns), checks: newChecks(), seed: maphash.MakeSeed(), refuses: refusesConnections,
		marks: blame.New(), answered: recent.New[uint64](maxAnswered), reports: make(map[string]reportTimes), blamed: make(map[string]bool),
	}
	t.marks.TrialDelay = func(key string) time.Duration { return time.Duration(fleet.Position(key)) * trialStep }
	return t
}

// Decision says whether a request may run.
type Decision struct {
	Refused bool
	// Trial is set for a request that shows whether it, or a part of its prompt, still
	// crashes endpoints. It must be sent to one endpoint only.
	Trial bool
	// RetryIn is the time after which a refused request may be tried again.
	RetryIn time.Duration
	// Part is the part of the prompt that is blamed, empty if the request as a whole is.
	Part string
}

// Decide decides about a request that has arrived.
func (t *Tracker) Decide(request Request) Decision {
	if !t.hasMarks.Load() {
		return Decision{}
	}
	run, hashes := request.run(), request.hashes(t.seed)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.rememberAnswered(run, hashes)
	verdict := t.marks.Verdict(run, now)
	if !verdict.Refused && !verdict.Trial {
		return Decision{}
	}
	decision := Decision{Refused: verdict.Refused, Trial: verdict.Trial, RetryIn: max(verdict.Until.Sub(now), trialStep)}
	if len(verdict.Parts) > 0 {
		decision.Part = verdict.Parts[0]
	}
	if verdict.Trial {
		log.Info("A request is let through to find out whether it, or a part of its prompt, still crashes endpoints.", "part", decision.Part, "requests", run.Requests, "crashes", verdict.Crashes)
	}
	return decision
}

// rememberAnswered notes which keys of a request stand for one that this process has had answered
// a short time ago. t.mu must be held.
func (t *Tracker) rememberAnswered(run blame.Run, hashes []uint64) {
	for i, hash := range hashes {
		if t.answered.Has(hash) {
			t.marks.RememberAnswered(run.Requests[i : i+1])
		}
	}
}

// RecordBegun records that an endpoint has begun to answer a request.
func (t *Tracker) RecordBegun(request Request) {
	if len(request.Parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.marks.RecordBegun(blame.Run{Team: request.Team, Parts: request.Parts})
}

// RecordAnswer records that an endpoint has answered a request for blame.ProvenAfter, or
// completely, so that neither it nor a part of its prompt crashes endpoints. The first event
// proves nothing: an endpoint may crash right after it.
func (t *Tracker) RecordAnswer(request Request) {
	run := blame.Run{Team: request.Team, Parts: request.Parts}
	if t.hasMarks.Load() {
		run = request.run()
	}
	hashes := request.hashes(t.seed)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range hashes {
		t.answered.Add(hash)
	}
	t.marks.RecordAnswer(run, time.Now())
	t.updateBlamed("an answer")
}

// recordCrash marks the requests that may have caused a crash, and the parts of their prompts. at
// is when it was noticed.
func (t *Tracker) recordCrash(crashed blame.Crash, runs []BrokenRun, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	suspects := make([]blame.Run, 0, len(runs))
	for _, broken := range runs {
		if broken.SuspectAt(at) {
			run := broken.Request.run()
			t.rememberAnswered(run, broken.Request.hashes(t.seed))
			suspects = append(suspects, run)
		}
	}
	t.marks.RecordCrash(crashed, suspects, at, now)
	t.hasMarks.Store(true)
	if ok, omitted := t.lineBudget.Allow("crash", maxCrashLinesPerSec); ok {
		log.Info("An endpoint crashed.", "endpoint", crashed.Endpoint, "started", crashed.StartedMS, "runs", len(runs), "suspects", len(suspects), "requests", describeRuns(runs, at), "lines_omitted", omitted)
	}
	t.updateBlamed("a crash")
}

// expire removes what has expired.
func (t *Tracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.marks.RemoveExpired(now)
	t.updateBlamed("their age")
	t.hasMarks.Store(!t.marks.Empty())
}

// Limits of log lines.
const (
	maxCrashLinesPerSec  = 10
	maxBlamedLinesPerSec = 10
	maxLoggedRequests    = 8
)

// updateBlamed logs what has become blamed or no longer is, after a change of the marks. t.mu must
// be held.
func (t *Tracker) updateBlamed(cause string) {
	if !t.marks.Changed() {
		return
	}
	blamed := make(map[string]bool)
	for _, keys := range t.marks.Blamed() {
		name := strings.Join(keys, " ")
		blamed[name] = true
		if !t.blamed[name] {
			t.logChange("Requests with all of these parts are refused: endpoints crash when they begin to answer them.", name, cause, "evidence", t.marks.Mark(keys[0]).Evidence)
		}
	}
	for name := range t.blamed {
		if !blamed[name] {
			t.logChange("Requests with these parts are no longer refused for them.", name, cause)
		}
	}
	t.blamed = blamed
}

func (t *Tracker) logChange(message, parts, cause string, keysAndValues ...any) {
	if ok, omitted := t.lineBudget.Allow("blamed", maxBlamedLinesPerSec); ok {
		log.Info(message, append([]any{"parts", parts, "cause", cause, "lines_omitted", omitted}, keysAndValues...)...)
	}
}

// describeRuns returns for each run the id of its request, how long before a crash it was sent,
// and how long before its endpoint sent the first event, if it did.
func describeRuns(runs []BrokenRun, crashed time.Time) []string {
	var described []string
	for _, run := range runs[:min(len(runs), maxLoggedRequests)] {
		text := fmt.Sprintf("%s sent_ms=%d", run.RequestID, crashed.Sub(run.Sent).Milliseconds())
		if !run.FirstEvent.IsZero() {
			text += fmt.Sprintf(" first_event_ms=%d", crashed.Sub(run.FirstEvent).Milliseconds())
		}
		described = append(described, text)
	}
	return described
}
