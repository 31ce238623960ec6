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

var errTermOver = errors.New("the term is over")

// pausedTerm allows writes until it ends. A pause, if set, comes between the
// next check and what follows it, and the term ends meanwhile.
type pausedTerm struct {
	pause time.Duration
	over  bool
}

func (p *pausedTerm) allow() error {
	if p.over {
		return errTermOver
	}
	if p.pause > 0 {
		time.Sleep(p.pause)
		p.pause = 0
		p.over = true
	}
	return nil
}

// TestPauseBetweenCheckAndWrite pauses a reporter just after its check. The
// receiver has closed the silent connection when the bytes leave.
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
