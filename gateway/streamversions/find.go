package streamversions

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/streamversion"
	"flamingospar.org/platform/site"
)

// findTimeout bounds the time that a stream waits until the table was read.
const findTimeout = 600 * time.Millisecond

// Times after which callers may return whose stream can't go on since its version is not known.
const (
	// soonRetryAfter applies while the version may become known: the store may answer again, or
	// another process may be reached.
	soonRetryAfter = 700 * time.Millisecond
	// lateRetryAfter applies to a stream that is not written down and that no process knows. It
	// stays unknown for as long as several versions may have begun it.
	lateRetryAfter = 10 * time.Second
	// startTime is the time after its start within which a process may not know the others.
	startTime = 2 * time.Second
)

// RetryAfterUnknown returns the time after which callers may return whose stream's version was
// not found just now.
func (t *Tracker) RetryAfterUnknown() time.Duration {
	if t.StoreLost() {
		return soonRetryAfter
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	if now.Sub(t.startedAt) < startTime || now.Sub(t.table.requestedAt) > 2*findTimeout {
		return soonRetryAfter
	}
	return lateRetryAfter
}

// Source is how the version of a stream was found.
type Source string

// The sources, which are also names of counters.
const (
	SourceMemory  Source = "memory"  // This process has begun the stream or taken it up.
	SourceStore   Source = "store"   // Another process has written it down.
	SourceSingle  Source = "single"  // No other version can have begun it.
	SourceRoute   Source = "route"   // No other version of the services of its route can have begun it.
	SourcePeer    Source = "peer"    // Another process has begun it or taken it up.
	SourceUnknown Source = "unknown" // The version is not known.
	// SourceDoubt: this process began it at an endpoint that had started again with other
	// software. Other processes aren't asked: they may have the wrong version from this one.
	SourceDoubt Source = "doubt"
)

func (s Source) known() bool { return s != SourceUnknown && s != SourceDoubt }

// TakeUp is a stream that its caller takes up.
type TakeUp struct {
	Service          string
	Services         []string // All to which its route may send it, Service included.
	FormerServices   []string // Those to which its route may have led when it began.
	Configuration    int64    // The version of the configuration that says so.
	RequestID        string
	ResumedRequestID string // The request that brought the first event; empty if unknown.
}

// RecordStream records that a stream begins at a version. It must be called before the
// caller gets the first event.
func (t *Tracker) RecordStream(serviceName, requestID, version string) {
	t.RecordStreamAt(serviceName, requestID, site.Endpoint{SoftwareVersion: version})
}

// RecordStreamAt is RecordStream for a stream that an endpoint begins, given as it was listed
// when it was called. If it is listed with other software now, the version is in doubt.
func (t *Tracker) RecordStreamAt(serviceName, requestID string, endpoint site.Endpoint) {
	oldList := endpoint.ID != "" && !t.ListIsRecent() // Not with t.mu: the list notifies this tracker.
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	version := endpoint.SoftwareVersion
	if listed, ok := t.endpoints[endpoint.ID]; ok && listed.version != version {
		version = streamversion.Doubtful
	}
	s.memory.Add(streamversion.Record{ID: streamversion.IDOf(requestID), Version: version, Endpoint: endpoint.ID, OldList: oldList}, clock.Now())
	if s.recording {
		t.signal()
	}
}

// Find returns the version that began a stream that is taken up, and false if it can't be
// known. The service that began it is empty if it is not known.
func (t *Tracker) Find(ctx context.Context, taken TakeUp) (ServiceVersion, bool) {
	start := clock.Now()
	begun, source, err := t.findHere(ctx, taken)
	if (source == SourceUnknown || source == SourceRoute) && taken.ResumedRequestID != "" && ctx.Err() == nil {
		if found, ok := t.fleet.FindStream(ctx, uint64(streamversion.IDOf(taken.ResumedRequestID))); ok {
			begun, source = ServiceVersion{Version: found}, SourcePeer
		}
	}
	if source == SourceRoute && !t.ConfigurationIsCurrent(ctx, taken.Configuration) {
		begun, source = ServiceVersion{}, SourceUnknown // The route may have led elsewhere.
	}
	if source.known() && taken.ResumedRequestID != "" {
		t.RecordStream(cmp.Or(begun.Service, taken.Service), taken.ResumedRequestID, begun.Version)
	}
	t.meter.Count("stream_versions", "found", string(source))
	t.logTakeUp(taken, begun, source, start, err)
	return begun, source.known()
}

// findHere finds the version without asking other processes.
func (t *Tracker) findHere(ctx context.Context, taken TakeUp) (ServiceVersion, Source, error) {
	id := streamversion.IDOf(taken.ResumedRequestID)
	if begun, ok := t.remembered(id); ok && taken.ResumedRequestID != "" {
		return begun, SourceMemory, nil
	}
	if taken.ResumedRequestID != "" && t.ambiguous(id) {
		return ServiceVersion{}, SourceDoubt, nil
	}
	if t.StoreLost() {
		return ServiceVersion{}, SourceUnknown, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if err := t.refresh(ctx); err != nil {
		return ServiceVersion{}, SourceUnknown, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if begun, ok := t.table.find(id); ok && taken.ResumedRequestID != "" {
		return begun, SourceStore, nil
	}
	now := streamversion.Moment{Era: t.store.Era(), NowMS: t.table.nowMS}
	if version, ok := t.singleOf(taken, now); ok && t.table.era == now.Era {
		return ServiceVersion{Version: version}, t.sourceOfSingle(now), nil
	}
	return ServiceVersion{}, SourceUnknown, nil
}

// singleOf returns the version that began all streams of the services to which a route may
// send a stream, or may have sent it, and false if there may be several. t.mu must be held.
func (t *Tracker) singleOf(taken TakeUp, now streamversion.Moment) (string, bool) {
	registers := []streamversion.Register{t.table.registers[taken.Service].Register}
	for _, name := range slices.Concat(taken.Services, taken.FormerServices) {
		registers = append(registers, t.table.registers[name].Register)
	}
	return streamversion.SingleOf(now, registers...)
}

// sourceOfSingle returns how certain the single version of some services is: the configuration
// that names them matters only if others have another version. t.mu must be held.
func (t *Tracker) sourceOfSingle(now streamversion.Moment) Source {
	var registers []streamversion.Register
	for _, r := range t.table.registers {
		registers = append(registers, r.Register)
	}
	if _, ok := streamversion.SingleOf(now, registers...); ok {
		return SourceSingle
	}
	return SourceRoute
}

// Remembered returns the version that began a stream which this process has begun or taken
// up.
func (t *Tracker) Remembered(id uint64) (string, bool) {
	begun, ok := t.remembered(streamversion.StreamID(id))
	return begun.Version, ok
}

// remembered is Remembered with the service. A stream that services began at several versions
// is not known.
func (t *Tracker) remembered(id streamversion.StreamID) (begun ServiceVersion, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		version, known := s.memory.Find(id)
		if !known {
			continue
		}
		other := ServiceVersion{Service: name, Version: version}
		if ok && begun.Version != version {
			return ServiceVersion{}, false
		}
		if ok {
			other = begun.merge(other)
		}
		begun, ok = other, true
	}
	return begun, ok
}

// InDoubt reports whether a stream of this process was begun, or may have been, at another
// version than the one that its engine's entry stated.
func (t *Tracker) InDoubt(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.memory.InDoubt(streamversion.IDOf(requestID)) {
			return true
		}
	}
	return false
}

// ambiguous reports whether nobody can know the version of a stream that is taken up, as this
// process remembers it.
func (t *Tracker) ambiguous(id streamversion.StreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.memory.Ambiguous(id) {
			return true
		}
	}
	return false
}

// logTakeUp writes a line about a stream that is taken up.
func (t *Tracker) logTakeUp(taken TakeUp, begun ServiceVersion, source Source, start time.Time, err error) {
	ok, omitted := t.lines.Allow("", maxLinesPerSec)
	if !ok {
		return
	}
	t.mu.Lock()
	age := clock.Now().Sub(t.table.requestedAt)
	era, tableVersion := t.table.era, t.table.version
	row := t.table.registers[taken.Service]
	possible := row.Possible(t.table.nowMS)
	t.mu.Unlock()
	fields := []any{
		"request", taken.RequestID, "resumed_request", taken.ResumedRequestID, "service", taken.Service, "begun_at", begun.Service, "software", begun.Version, "known_from", string(source), "possible", possible,
		"register_era", row.Era, "uncertain_until_ms", row.UncertainUntilMS, "era", era, "version", tableVersion, "age_ms", age.Milliseconds(), "ms", clock.Now().Sub(start).Milliseconds(), "lines_omitted", omitted,
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error(err, "A stream is taken up, and the store does not answer.", fields...)
		return
	}
	log.Info("A stream is taken up.", fields...)
}
