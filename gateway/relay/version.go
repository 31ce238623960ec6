package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"flamingospar.org/core/outage"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
)

// StreamVersions knows the versions of the engines' software that began streams.
type StreamVersions interface {
	// RecordStreamAt records that a stream begins at an endpoint.
	RecordStreamAt(service, requestID string, endpoint site.Endpoint)
	// RecordStream records that a stream begins at a version that is certain.
	RecordStream(service, requestID, version string)
	// Find returns the version, and the service if it is known, that began a stream that is
	// taken up, and false if the version can't be known.
	Find(ctx context.Context, taken streamversions.TakeUp) (streamversions.ServiceVersion, bool)
	// RetryAfterUnknown returns the time after which a caller may return whose stream's version
	// is not known.
	RetryAfterUnknown() time.Duration
	// InDoubt reports whether the version recorded for a stream was found not to be certain.
	InDoubt(requestID string) bool
}

// takesUp reports whether the caller takes up a stream that another request began.
func (s *stream) takesUp() bool { return s.job.Caller.LastEventID != "" }

// resumes reports whether the answer has to go on after the last event of the caller: where
// streams can't be resumed, engines may begin anew.
func (s *stream) resumes() bool { return s.takesUp() && s.job.Route.Resumable }

// findVersion finds the version at which a stream that is taken up has to go on, and sends it
// to the service that began it if its route still leads there. It reports false if the version
// is not known.
func (s *stream) findVersion(ctx context.Context) bool {
	begun, ok := s.relay.Versions.Find(ctx, streamversions.TakeUp{
		Service: s.job.Service, Services: s.job.Route.Services(), FormerServices: s.job.FormerServices, Configuration: s.job.ConfigVersion,
		RequestID: s.job.Caller.ID, ResumedRequestID: s.job.Caller.ResumedRequestID,
	})
	s.version = begun.Version
	if slices.Contains(s.job.Route.Services(), begun.Service) {
		s.job.Service = begun.Service
	}
	return ok
}

// inDoubt reports whether the version at which the stream has to go on is no longer certain: the
// engine that began it was found to have started again with other software.
func (s *stream) inDoubt() bool {
	if s.version == "" || !s.job.Route.Resumable {
		return false
	}
	id := s.job.Caller.ID
	if s.takesUp() {
		id = s.job.Caller.ResumedRequestID
	}
	return s.relay.Versions.InDoubt(id)
}

// endVersionGone ends a stream that no endpoint of its version can continue.
func (s *stream) endVersionGone(ctx context.Context, placed engines.Placement) Outcome {
	left := s.relay.Selector.EnginesOfVersion(s.job.Service, s.version)
	s.progress.VersionGone = &VersionGone{Version: s.version, Engines: left}
	stagesLeft := "no_engine_left"
	if left.Prefill > 0 {
		stagesLeft = "prefill_left"
	}
	s.relay.Meter.Count("version_gone", stagesLeft)
	retryAfter := outage.RetryAfterCrash(s.job.remaining(time.Now()), retryAfterJitter)
	return s.giveUp(ctx, ReasonVersionGone, max(placed.RetryAfter, retryAfter))
}

// mayGoOnAt reports whether an endpoint is listed with the version at which the stream has to go
// on. A standby may have begun before the version was fixed.
func (s *stream) mayGoOnAt(endpoint site.Endpoint) bool {
	return s.version == "" || endpoint.SoftwareVersion == s.version && !s.inDoubt()
}

// mayJoin reports whether the answer to a call may go on with the stream: its endpoint has the
// stream's version, and was proved to be the one that is listed.
func (s *stream) mayJoin(c *streamCall) bool {
	return s.version == "" || c == s.versionFrom || s.mayGoOnAt(c.endpoint) && (c.proven() || !s.job.Route.Resumable)
}

// errOtherVersion means that events can't be joined with those that the caller has.
var errOtherVersion = errors.New("the events are of another software version than those before; remedy: report it, it is a bug in this program")

// fixVersion keeps the stream at the version of the endpoint whose event the caller is about
// to get first. It returns an error for events of another version, or of one that is not proved.
func (s *stream) fixVersion(c *streamCall) error {
	endpoint := c.endpoint
	if s.version != "" && (s.version != endpoint.SoftwareVersion || c != s.versionFrom && s.job.Route.Resumable && !c.proven()) {
		s.progress.Err = errOtherVersion
		s.relay.Meter.Count("stream_versions", "not_joined")
		return errOtherVersion
	}
	if s.version != "" {
		return nil
	}
	s.version, s.versionFrom = endpoint.SoftwareVersion, c
	switch {
	case !s.job.Route.Resumable:
	case c.proven():
		s.relay.Versions.RecordStream(s.job.Service, s.job.Caller.ID, s.version)
	default:
		s.relay.Versions.RecordStreamAt(s.job.Service, s.job.Caller.ID, endpoint)
	}
	return nil
}

// errStartedAgain means that an endpoint's events may be of other software than its entry
// stated when it was called.
var errStartedAgain = errors.New("the endpoint has started again with other software since it was called; remedy: none is needed, the stream goes on elsewhere")

// startedAgain reports whether an endpoint that is to go on with a stream which others began is
// listed with other software than when it was called.
func (s *stream) startedAgain(endpoint site.Endpoint) bool {
	return s.version != "" && s.version == endpoint.SoftwareVersion && !s.callWritten && !s.relay.Selector.HasSoftware(endpoint)
}

// noteSoftware notes the versions of the software of endpoints for the lines about calls
// to them.
func (o *Outcome) noteSoftware(endpoints ...site.Endpoint) {
	if o.software == nil {
		o.software = make(map[string]string, len(endpoints))
	}
	for _, endpoint := range endpoints {
		o.software[endpoint.ID] = endpoint.SoftwareVersion
	}
}
