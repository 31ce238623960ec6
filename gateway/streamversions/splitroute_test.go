package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against streams joined over the services of a split route: a take-up that was sent
// to the other service went on at that one's version, which then counted as that of the
// stream.
func TestTakeUpAtAnotherServiceOfASplitRouteFixesNoWrongVersion(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	list := func(id, service, version string) {
		p.EndpointChanged(site.Endpoint{ID: id, Service: service, Stage: site.Decode, SoftwareVersion: version})
	}
	list("a1", "a", "v1")
	list("b1", "b", "v2")
	require.Eventually(t, func() bool { return len(p.Unregistered("a"))+len(p.Unregistered("b")) == 0 }, 5*time.Second, 5*time.Millisecond)
	// Another process began stream "x" at service a, v1, and has ended.
	_, _ = p.Find(t.Context(), streamversions.TakeUp{Service: "b", Services: []string{"a", "b"}, RequestID: "again", ResumedRequestID: "x"})
	list("a2", "a", "v2")
	require.Eventually(t, func() bool { return len(p.Unregistered("a")) == 0 }, 5*time.Second, 5*time.Millisecond)
	begun, ok := p.Find(t.Context(), streamversions.TakeUp{Service: "a", Services: []string{"a", "b"}, RequestID: "again2", ResumedRequestID: "x"})
	require.False(t, ok && begun.Version != "v1", "a stream that service a began at v1 goes on there at %s", begun.Version)
}

// Guards against take-ups that are refused for ever on a split route: each service has one
// version in use, so streams were not written down, and the two versions differ, so none was
// inferred.
func TestStreamOfASplitRouteIsKnownAfterItsProcessHasEnded(t *testing.T) {
	store := sitetest.NewStore(t)
	services := []string{"a", "b"}
	p := newProcess(t, store, "a", true)
	p.Sharing = func(string) []string { return services }
	p.run()
	listAt(p, "a1", "a", "v1")
	listAt(p, "b1", "b", "v2")
	time.Sleep(time.Second)
	p.RecordStream("a", "x", "v1")
	time.Sleep(time.Second) // Sixteen times the interval of writes.
	p.stop()
	q := startProcess(t, store, "b", true)
	listAt(q, "a1", "a", "v1")
	listAt(q, "b1", "b", "v2")
	begun, ok := q.Find(t.Context(), streamversions.TakeUp{Service: "a", Services: services, RequestID: "again", ResumedRequestID: "x"})
	require.True(t, ok, "the version is not known")
	require.Equal(t, "v1", begun.Version)
}
