package streamversions_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// pairFleet is a fleet in which another process answers.
type pairFleet struct {
	testFleet
	other *atomic.Pointer[streamversions.Tracker]
}

func (f pairFleet) FindStream(_ context.Context, id uint64) (string, bool) {
	if other := f.other.Load(); other != nil {
		return other.Remembered(id)
	}
	return "", false
}

// Guards against joined streams: the process that began a stream found that its version is
// in doubt, and believed another process, which had the version from it, from before.
func TestDoubtAboutAStreamIsNotOverruledByAProcessThatAskedBefore(t *testing.T) {
	store := sitetest.NewStore(t)
	var a, b atomic.Pointer[streamversions.Tracker]
	start := func(name string, other *atomic.Pointer[streamversions.Tracker]) *streamversions.Tracker {
		tracker := streamversions.New(site.NewStore(store.Address, http.DefaultClient), pairFleet{testFleet{first: true}, other}, name, meter.NewRegistry())
		go tracker.Run(t.Context())
		return tracker
	}
	a.Store(start("a", &b))
	b.Store(start("b", &a))
	list := func(id, version string) {
		for _, tracker := range []*streamversions.Tracker{a.Load(), b.Load()} {
			tracker.EndpointChanged(site.Endpoint{ID: id, Service: "s", Stage: site.Decode, SoftwareVersion: version})
		}
		require.Eventually(t, func() bool { return len(a.Load().Unregistered("s"))+len(b.Load().Unregistered("s")) == 0 }, 5*time.Second, 5*time.Millisecond)
	}
	list("other", "v1")
	list("newer", "v2")
	list("e", "v1")
	a.Load().RecordStreamAt("s", "x", site.Endpoint{ID: "e", SoftwareVersion: "v1"}) // Has started again, and is v2.
	taken := streamversions.TakeUp{Service: "s", RequestID: "again", ResumedRequestID: "x"}
	_, _ = b.Load().Find(t.Context(), taken) // Its caller tries once, and is refused since the engines are full.
	list("e", "v2")                          // The row of e is read.
	time.Sleep(300 * time.Millisecond)
	version, ok := a.Load().Find(t.Context(), taken)
	require.False(t, ok, "the process that began the stream lets it go on at %s", version)
}
