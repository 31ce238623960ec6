package streamversions_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// listAt lists an engine of a service at a process, and waits until its version is known to be
// registered.
func listAt(p *process, id, service, version string) {
	p.EndpointChanged(site.Endpoint{ID: id, Service: service, Stage: site.Decode, SoftwareVersion: version})
	require.Eventually(p.t, func() bool { return len(p.Unregistered(service)) == 0 }, 5*time.Second, 5*time.Millisecond)
}

// The service that began a stream is known with its version, also to a process that starts.
func TestServiceThatBeganAStreamIsKnown(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	listAt(p, "a1", "a", "v1")
	listAt(p, "a2", "a", "v2")
	listAt(p, "b1", "b", "v1")
	p.RecordStream("a", "x", "v1")
	require.Eventually(t, func() bool { return len(store.Value(streamversions.Table, "streams/a/1")) > 0 }, 5*time.Second, 5*time.Millisecond)
	p.stop()
	taken := streamversions.TakeUp{Service: "b", Services: []string{"b"}, FormerServices: []string{"a"}, RequestID: "again", ResumedRequestID: "x"}
	for _, q := range []*process{p, startProcess(t, store, "c", true)} {
		begun, ok := q.Find(t.Context(), taken)
		require.True(t, ok)
		require.Equal(t, streamversions.ServiceVersion{Service: "a", Version: "v1"}, begun)
	}
}

// A version is not inferred from the services of a route alone while one that the route had
// before may have begun the stream at another version.
func TestVersionIsNotInferredWithoutTheServiceBefore(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "p", true)
	listAt(p, "a1", "a", "v1")
	listAt(p, "b1", "b", "v2")
	taken := streamversions.TakeUp{Service: "b", Services: []string{"b"}, FormerServices: []string{"a", "b"}, RequestID: "again", ResumedRequestID: "x"}
	_, ok := p.Find(t.Context(), taken)
	require.False(t, ok)
	taken.FormerServices = []string{"b"}
	begun, ok := p.Find(t.Context(), taken)
	require.True(t, ok)
	require.Equal(t, "v2", begun.Version)
}

// A process of an earlier release writes no services with its streams.
func TestStreamsOfAnEarlierReleaseAreRead(t *testing.T) {
	store := sitetest.NewStore(t)
	stream := append(binary.BigEndian.AppendUint64(nil, uint64(streamversion.IDOf("y"))), 0)
	store.Put(streamversions.Table, "streams/old/1", map[string]any{"versions": []string{"v9"}, "streams": stream})
	p := startProcess(t, store, "p", true)
	begun, ok := p.Find(t.Context(), streamversions.TakeUp{Service: "b", RequestID: "again", ResumedRequestID: "y"})
	require.True(t, ok)
	require.Equal(t, streamversions.ServiceVersion{Version: "v9"}, begun)
}
