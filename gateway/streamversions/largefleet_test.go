package streamversions_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// largeFleet is a fleet of many processes.
type largeFleet struct{ testFleet }

func (largeFleet) Size() int { return 69 }

// All processes of a large fleet end, each at another moment since its last write. Of the
// streams that are under way then, and have lasted up to two seconds, far more than half must
// be known: what is not known is refused.
func TestMostStreamsUnderWayAreKnownAfterALargeFleetEnds(t *testing.T) {
	const (
		lasts = 2 * time.Second
		every = 20 * time.Millisecond
		ends  = 3 // Processes that are tried.
	)
	known, begun := 0, 0
	for i := range ends {
		store := sitetest.NewStore(t)
		p := newProcessOn(t, site.NewStore(store.Address, http.DefaultClient), largeFleet{testFleet{first: true}}, "p")
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		p.list("v1", "v2")
		p.awaitConfirmed()
		n := int((lasts + time.Duration(i)*140*time.Millisecond) / every)
		for j := range n {
			p.RecordStream("s", fmt.Sprint(j), []string{"v1", "v2"}[j%2])
			time.Sleep(every)
		}
		store.SetDown(true)
		cancel()
		store.SetDown(false)
		started := startProcess(t, store, "q", true)
		for j := n - int(lasts/every); j < n; j++ {
			begun++
			if started.find(fmt.Sprint(j)) != "" {
				known++
			}
		}
	}
	t.Logf("%d of %d streams are known", known, begun)
	require.GreaterOrEqual(t, float64(known), 0.7*float64(begun))
}
