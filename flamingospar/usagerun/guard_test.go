package usagerun

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/netx"
	"flamingospar.org/platform/httpapi"
	"flamingospar.org/platform/usagereport"
	"flamingospar.org/standin/memnet"
	"flamingospar.org/standin/platform"
)

var errTermEnded = errors.New("lease term has ended")

// pausedTerm allows writes until the lease term ends. If pause is set, the next
// check succeeds only after that time, and the term ends during it.
type pausedTerm struct {
	pause time.Duration
	ended bool
}

func (p *pausedTerm) allow() error {
	if p.ended {
		return errTermEnded
	}
	if p.pause > 0 {
		time.Sleep(p.pause)
		p.pause = 0
		p.ended = true
	}
	return nil
}

// TestPauseBetweenCheckAndWrite guards against a report that is sent after the
// lease term has ended because the process paused between check and write. The
// receiver must have closed the idle connection by then.
func TestPauseBetweenCheckAndWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		store := platform.New()
		listener, err := network.Host("platform").Listen("platform:80")
		require.NoError(t, err)
		server := netx.Server(store.Handler())
		server.IdleTimeout = idleClose
		go func() { _ = server.Serve(listener) }()
		term := new(pausedTerm)
		client := netx.HTTP1Client(netx.Guarded(network.Host("entry"), term.allow))
		reports := httpapi.New("http://platform:80", client)
		defer func() {
			client.CloseIdleConnections()
			_ = server.Close()
		}()

		report := usagereport.Report{Team: "team", Window: 1, Epoch: 1, Holder: "entry"}
		require.NoError(t, reports.Report(context.Background(), report))
		term.pause = idleClose + time.Second
		require.Error(t, reports.Report(context.Background(), report))
		require.Error(t, reports.Report(context.Background(), report))
		require.Len(t, store.Reports(), 1)
	})
}
