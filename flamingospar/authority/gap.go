package authority

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"flamingospar.org/base/netx"
	"flamingospar.org/platform/capacity"
	"flamingospar.org/platform/httpapi"
	"flamingospar.org/standin/platform"
)

const gapOrders = 2000

// measureGap prints the time between the last check of a lease and the end of
// the write that hands an order to the kernel: for a check before the call and
// for one at each write. A pause harms only when it begins in that time.
func measureGap(ctx context.Context, stdout io.Writer) error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	server := netx.Server(platform.New().Handler())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	gaps := new(gapRecorder)
	network := netx.Guarded(writeRecorder{gaps}, func() error { gaps.checkedAtWrite(); return nil })
	orders := httpapi.New("http://"+listener.Addr().String(), netx.HTTP1Client(network))
	for i := range gapOrders {
		gaps.checkedBeforeCall()
		order := capacity.Order{ID: fmt.Sprintf("order-%d", i), DataCentre: "a", Kind: "model", Target: i}
		if err := orders.Place(ctx, order); err != nil {
			return err
		}
	}
	fmt.Fprintf(stdout, "gap orders=%d check_before_call %s check_at_write %s\n", gapOrders, microspans(gaps.beforeCall), microspans(gaps.atWrite))
	return nil
}

// gapRecorder collects gaps. Orders are sent one at a time.
type gapRecorder struct {
	mu         sync.Mutex
	called     time.Time
	checked    time.Time
	beforeCall []time.Duration
	atWrite    []time.Duration
}

func (g *gapRecorder) checkedBeforeCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.called = time.Now()
}

func (g *gapRecorder) checkedAtWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checked = time.Now()
}

func (g *gapRecorder) written() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beforeCall = append(g.beforeCall, now.Sub(g.called))
	g.atWrite = append(g.atWrite, now.Sub(g.checked))
}

// writeRecorder is the system's network, which notes when each write has ended.
type writeRecorder struct{ gaps *gapRecorder }

// Listen implements netx.Network.
func (writeRecorder) Listen(address string) (net.Listener, error) { return netx.TCP{}.Listen(address) }

// DialContext implements netx.Network.
func (w writeRecorder) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := netx.TCP{}.DialContext(ctx, network, address)
	return recordedConn{Conn: conn, gaps: w.gaps}, err
}

type recordedConn struct {
	net.Conn
	gaps *gapRecorder
}

// Write implements net.Conn.
func (c recordedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.gaps.written()
	return n, err
}
