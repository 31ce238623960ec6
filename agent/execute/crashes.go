package execute

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/base/netx"
)

const (
	// probeTimeout bounds the connection attempt to an endpoint that interrupted a run.
	probeTimeout = 1 * time.Second
	// crashMergeWindow is the longest time between two interrupted runs that
	// count as one crash.
	crashMergeWindow = 1 * time.Second
)

// CrashRecorder records which runs were on the endpoint when it crashed.
type CrashRecorder interface {
	RecordCrash(run *pipeline.Run, crashID string)
}

// CrashDetector distinguishes a crash of the endpoint from a broken connection:
// after a crash nothing listens at the endpoint's address.
type CrashDetector struct {
	network  netx.Network
	address  string
	instance string
	recorder CrashRecorder

	mu         sync.Mutex
	crashCount int
	lastBreak  time.Time
}

// NewCrashDetector returns the detector for the endpoint at baseURL. instance is
// the agent's id and the prefix of crash ids.
func NewCrashDetector(network netx.Network, baseURL, instance string, recorder CrashRecorder) *CrashDetector {
	address := baseURL
	if parsed, err := url.Parse(baseURL); err == nil {
		address = parsed.Host
	}
	return &CrashDetector{network: network, address: address, instance: instance, recorder: recorder}
}

// DetectCrash is called after run was interrupted. If the endpoint refuses
// connections, it records the crash and returns its id; otherwise it returns an
// empty string.
func (c *CrashDetector) DetectCrash(run *pipeline.Run) string {
	if !c.refusesConnections() {
		return ""
	}
	id := c.crashID(time.Now())
	c.recorder.RecordCrash(run, id)
	return id
}

func (c *CrashDetector) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := c.network.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *CrashDetector) crashID(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastBreak.IsZero() || now.Sub(c.lastBreak) > crashMergeWindow {
		c.crashCount++
	}
	c.lastBreak = now
	return c.instance + "/" + strconv.Itoa(c.crashCount)
}
