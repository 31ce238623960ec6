// Package crashes recognises requests that crash endpoints, and refuses them before
// they crash more. It knows them by what they are (team, path and body) and by the parts
// of their prompts, since requests with one part may crash endpoints whatever else they
// hold. The entry processes exchange what they know along with the rest of their state.
package crashes

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/ring"
	"flamingospar.org/core/blame"
	"flamingospar.org/core/crash"
	"flamingospar.org/platform/site"
)

// Limits of what is known.
const (
	// maxQueuedRuns bounds the broken runs that wait until their check begins.
	maxQueuedRuns = 256
	// expiryInterval is the time between two removals of what has expired.
	expiryInterval = 1 * time.Minute
	// trialStep is the time that a process leaves the one before it in the ranking to try
	// whether a part still crashes endpoints. The result reaches other processes within it.
	trialStep = 3 * time.Second
)

var log = logging.For("gateway/crashes")

// Request is what a request is recognised by.
type Request struct {
	Team  string
	Path  string
	Body  []byte
	Parts []string // Of its prompt that other requests may share.
}

// requestPart is the prefix of the name under which a request as a whole stands among
// the parts of its prompt. If only copies of one request crash endpoints, its parts are
// not blamed for them.
const requestPart = "request:"

// parts returns the parts of a request, itself included.
func (r Request) parts(fingerprint crash.Fingerprint) []string {
	return append(r.Parts[:len(r.Parts):len(r.Parts)], requestPart+string(fingerprint))
}

func (r Request) fingerprint() crash.Fingerprint { return crash.FingerprintOf(r.Team, r.Path, r.Body) }

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
	// refuses reports whether an address refuses connections.
	refuses func(ctx context.Context, address string) bool

	mu         sync.Mutex
	marks      *crash.MarkSet
	parts      *blame.Set
	reports    map[string]reportTimes // By VM.
	forPeers   []crash.Mark           // Marks of requests for other processes, as of forPeersAt.
	forPeersAt time.Time
	blamed     map[string]bool // What was blamed at the last change: parts, separated by spaces.
	explained  map[string]bool // Crashes that parts were blamed for at the last change.
	lineBudget logging.LineBudget
}

// New returns a tracker that knows of no crash.
func New(fleet Fleet) *Tracker {
	t := &Tracker{
		fleet: fleet, brokenRuns: ring.New[BrokenRun](maxQueuedRuns), checks: newChecks(), refuses: refusesConnections, marks: crash.NewMarkSet(), parts: blame.New(),
		reports: make(map[string]reportTimes), blamed: make(map[string]bool),
	}
	t.parts.TrialDelay = func(part string) time.Duration { return time.Duration(fleet.Position(part)) * trialStep }
	return t
}

// Decision says whether a request may run.
type Decision struct {
	Refused bool
	// Trial is set for a request that shows whether its part still crashes endpoints. It
	// must be sent to one endpoint only.
	Trial bool
	// RetryIn is the time after which a refused request may be tried again.
	RetryIn time.Duration
	// Part is the part of the prompt that is blamed, if there is one, and Crashes the
	// number of crashes that count against it.
	Part    string
	Crashes int
}

// identicalRetryIn is the time after which a request that crashes endpoints by itself may
// be tried again. It is long because an operator has to intervene first.
const identicalRetryIn = 60 * time.Second

// Decide decides about a request that has arrived.
func (t *Tracker) Decide(request Request) Decision {
	if !t.hasMarks.Load() {
		return Decision{}
	}
	fingerprint := request.fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if mark := t.marks.Mark(fingerprint).Without(t.explained); mark.Refused(now) {
		if ok, omitted := t.lineBudget.Allow("request", maxBlamedLinesPerSec); ok {
			log.Info("A request is refused: endpoints crashed while they ran it.", "fingerprint", fingerprint, "crashes", mark.Crashes, "lines_omitted", omitted)
		}
		return Decision{Refused: true, RetryIn: identicalRetryIn}
	}
	verdict := t.parts.Verdict(request.Team, request.parts(fingerprint), now)
	if len(verdict.Parts) == 0 {
		return Decision{}
	}
	if verdict.Trial {
		log.Info("A request is let through to find out whether a part of its prompt still crashes endpoints.", "part", verdict.Parts[0], "crashes", verdict.Crashes)
	}
	return Decision{Refused: verdict.Refused, Trial: verdict.Trial, RetryIn: max(verdict.Until.Sub(now), trialStep), Part: verdict.Parts[0], Crashes: verdict.Crashes}
}

// RecordComplete records that an endpoint has answered a request completely, so that the
// request as a whole crashes no endpoints.
func (t *Tracker) RecordComplete(request Request) {
	if !t.hasMarks.Load() {
		return
	}
	fingerprint := request.fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if mark := t.marks.Mark(fingerprint); mark.Suspect(now) {
		t.marks.Merge(mark.Clear(now), now)
	}
}

// RecordAnswer records that an endpoint has answered a request for blame.ProvenAfter, or
// completely, so that no part of its prompt crashes endpoints. The first event proves nothing:
// an endpoint may crash right after it.
func (t *Tracker) RecordAnswer(request Request) {
	hasMarks := t.hasMarks.Load()
	if len(request.Parts) == 0 && !hasMarks {
		return
	}
	itself := ""
	if hasMarks {
		itself = requestPart + string(request.fingerprint())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.parts.RecordAnswer(request.Parts, now)
	t.parts.Clear(itself, now)
	t.updateBlamed("an answer")
}

// recordCrash marks the requests that were running at a crash, and the parts of those
// that may have caused it.
func (t *Tracker) recordCrash(crashed blame.Crash, runs []BrokenRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	suspects := make([]blame.Run, 0, len(runs))
	for _, run := range runs {
		fingerprint := run.Request.fingerprint()
		if !run.Prefill {
			t.marks.Merge(crash.New(fingerprint, run.Request.Team, crashID(crashed), now), now)
		}
		if run.Suspect() {
			suspects = append(suspects, blame.Run{Team: run.Request.Team, Parts: run.Request.parts(fingerprint)})
		}
	}
	t.parts.RecordCrash(crashed, suspects, now)
	t.hasMarks.Store(true)
	if ok, omitted := t.lineBudget.Allow("crash", maxCrashLinesPerSec); ok {
		log.Info("An endpoint crashed.", "endpoint", crashed.Endpoint, "started", crashed.StartedMS, "runs", len(runs), "suspects", len(suspects), "requests", describeRuns(runs, now), "lines_omitted", omitted)
	}
	t.updateBlamed("a crash")
}

// expire removes what has expired.
func (t *Tracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.marks.RemoveExpired(now)
	t.parts.RemoveExpired(now)
	t.updateBlamed("their age")
	t.hasMarks.Store(!t.marks.Empty() || !t.parts.Empty())
}

// Limits of log lines.
const (
	maxCrashLinesPerSec  = 10
	maxBlamedLinesPerSec = 10
	maxLoggedRequests    = 8
)

// updateBlamed updates what follows from the blamed parts, after a change of their marks,
// and logs the parts that have become blamed or no longer are. t.mu must be held.
func (t *Tracker) updateBlamed(cause string) {
	if !t.parts.Changed() {
		return
	}
	t.explained = make(map[string]bool)
	for crashed := range t.parts.Explained() {
		t.explained[crashID(crashed)] = true
	}
	blamed := make(map[string]bool)
	for _, parts := range t.parts.Blamed() {
		name := strings.Join(parts, " ")
		blamed[name] = true
		if !t.blamed[name] {
			t.logChange("Requests with all of these parts are refused: endpoints crash when they begin to answer them.", name, cause, "evidence", t.parts.Mark(parts[0]).Evidence)
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

// describeRuns returns for each run the id of its request, how long ago it was sent, and how
// long ago its endpoint sent the first event, if it did.
func describeRuns(runs []BrokenRun, now time.Time) []string {
	var described []string
	for _, run := range runs[:min(len(runs), maxLoggedRequests)] {
		text := fmt.Sprintf("%s sent_ms=%d", run.RequestID, now.Sub(run.Sent).Milliseconds())
		if !run.FirstEvent.IsZero() {
			text += fmt.Sprintf(" first_event_ms=%d", now.Sub(run.FirstEvent).Milliseconds())
		}
		described = append(described, text)
	}
	return described
}
