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

const gapOrderCount = 2000

// measureLeaseCheckGap prints the time from the last lease check to the end of
// the write that passes an order to the kernel, once for a check before the call
// and once for a check at each write. Only a process pause that begins in this
// time can let an order out after the lease has expired.
func measureLeaseCheckGap(ctx context.Context, stdout io.Writer) error {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return err
	}
	server := netx.Server(platform.New().Handler())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	gaps := new(gapRecorder)
	network := netx.Guarded(writeRecorder{gaps}, func() error { gaps.recordWriteCheck(); return nil })
	orders := httpapi.New("http://"+listener.Addr().String(), netx.HTTP1Client(network))
	for i := range gapOrderCount {
		gaps.recordCallCheck()
		order := capacity.Order{ID: fmt.Sprintf("order-%d", i), DataCentre: "a", Kind: "model", Target: i}
		if err := orders.Place(ctx, order); err != nil {
			return err
		}
	}
	fmt.Fprintf(stdout, "gap orders=%d check_before_call %s check_at_write %s\n", gapOrderCount, formatPercentilesMicros(gaps.beforeCall), formatPercentilesMicros(gaps.atWrite))
	return nil
}

// gapRecorder records the time from each check to the next write. It requires
// that orders are sent one at a time.
type gapRecorder struct {
	mu             sync.Mutex
	callCheckedAt  time.Time
	writeCheckedAt time.Time
	beforeCall     []time.Duration
	atWrite        []time.Duration
}

func (g *gapRecorder) recordCallCheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callCheckedAt = time.Now()
}

func (g *gapRecorder) recordWriteCheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writeCheckedAt = time.Now()
}

func (g *gapRecorder) recordWrite() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beforeCall = append(g.beforeCall, now.Sub(g.callCheckedAt))
	g.atWrite = append(g.atWrite, now.Sub(g.writeCheckedAt))
}

// writeRecorder is the TCP network with a recorder that is called after each
// write.
type writeRecorder struct{ gaps *gapRecorder }

func (writeRecorder) Listen(address string) (net.Listener, error) { return netx.TCP{}.Listen(address) }

func (w writeRecorder) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := netx.TCP{}.DialContext(ctx, network, address)
	return recordedConn{Conn: conn, gaps: w.gaps}, err
}

type recordedConn struct {
	net.Conn
	gaps *gapRecorder
}

func (c recordedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.gaps.recordWrite()
	return n, err
}
