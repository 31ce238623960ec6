package streamversions_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: a route was moved to another service while a process was cut off
// or frozen. By its old configuration, the version of the service before began all streams of
// the route.
func TestVersionIsNotInferredByAnOldConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		peerKnows, current bool
		want               string // The version; empty if it must not be known.
	}{
		"another process knows the stream":     {peerKnows: true, want: "v2"},
		"nobody does, old configuration":       {},
		"nobody does, configuration confirmed": {current: true, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			store := sitetest.NewStore(t)
			fleet := knowingFleet{testFleet{first: true}, c.peerKnows}
			p := newProcessOn(t, site.NewStore(store.Address, http.DefaultClient), fleet, "p")
			p.ConfigurationIsCurrent = func(context.Context, int64) bool { return c.current }
			p.run()
			listAt(p, "a1", "a", "v1")
			listAt(p, "b1", "b", "v2")
			begun, _ := p.Find(t.Context(), streamversions.TakeUp{Service: "a", Services: []string{"a"}, RequestID: "again", ResumedRequestID: "x"})
			require.Equal(t, c.want, begun.Version)
		})
	}
}

// knowingFleet is a fleet in which another process may have begun all streams, at v2.
type knowingFleet struct {
	testFleet
	knows bool
}

func (f knowingFleet) FindStream(context.Context, uint64) (string, bool) { return "v2", f.knows }
