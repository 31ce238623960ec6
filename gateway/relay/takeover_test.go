package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/limits"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// newTestStream returns a resumable stream to write to w, and the endpoint of its first call.
func newTestStream(e *sitetest.Endpoint, w http.ResponseWriter) (*stream, site.Endpoint) {
	endpoint := site.Endpoint{ID: e.ID, Service: "model", Address: e.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Decode, StartedMS: 1}
	registry := meter.NewRegistry()
	r := &Relay{
		Pool: transport.NewPool(), Selector: engines.New("dc-1", time.Now), Limits: limits.New("vm-1", nil, registry, time.Now), Meter: registry,
		OnRunStart: func(string) {}, Crashes: crashes.New(nil), MaxIdleConns: func(string) int { return 0 }, OnPrefillDone: func(_, _ time.Duration) {},
	}
	r.Selector.EndpointChanged(endpoint)
	header := http.Header{}
	site.SetRequestID(header, "id-1")
	job := &Job{
		Caller: site.CallerRequest{ID: "id-1"}, Method: http.MethodPost, Target: "/a/b", Host: "a.example", Header: header, Service: "model",
		Route: site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, LatencyObjective: time.Second}, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
	}
	flush := http.NewResponseController(w).Flush
	return &stream{relay: r, job: job, w: w, flush: flush, prompt: job.prompt(), progress: &progress{excluded: make(map[string]bool)}}, endpoint
}

// Guards against pieces of two runs: an event of a silent engine that was received while
// its standby took over is not forwarded.
func TestEventReceivedDuringATakeoverIsNotForwarded(t *testing.T) {
	t.Parallel()
	goOn := make(chan struct{})
	e := sitetest.NewEndpoint(t, "e-1", func(w http.ResponseWriter, _ *http.Request) {
		sitetest.BeginStream(w)
		_ = http.NewResponseController(w).Flush() // An error shows in the test.
		<-goOn
		_, _ = w.Write([]byte("id: 1\ndata: late\n\n"))
	})
	recorder := httptest.NewRecorder()
	s, endpoint := newTestStream(e, recorder)
	c := s.newCall(t.Context(), engines.Placement{Decision: placement.Decision{}, DecodeEndpoint: endpoint}, site.RunHeaders{EndpointID: endpoint.ID})
	defer c.end()
	c.send(s.relay)
	require.True(t, c.begun())

	result := make(chan attemptResult)
	s.mu.Lock()
	w := s.watch(t.Context(), c)
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		result <- s.forward(c, w)
	}()
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // The goroutine of the stream waits for its endpoint.
	s.mu.Lock()
	close(goOn)
	time.Sleep(100 * time.Millisecond) // It has received the event and waits for mu.
	require.True(t, w.pair.Begin())
	require.True(t, w.pair.Began())
	s.mu.Unlock()
	require.False(t, (<-result).finished)
	w.stall.stop()
	require.Empty(t, recorder.Body.String())
	require.False(t, s.headerSent)
}
