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
	// probeTimeout bounds the look at an endpoint that broke a run off.
	probeTimeout = 1 * time.Second
	// sameCrash is how far apart runs may break off at one crash.
	sameCrash = 1 * time.Second
)

// Marks records which runs were on the endpoint at its crashes.
type Marks interface {
	Crashed(run *pipeline.Run, crashID string)
}

// Crashes tells a crash of the endpoint from a connection that broke: after a
// crash nothing listens at the endpoint's address.
type Crashes struct {
	network  netx.Network
	address  string
	instance string
	marks    Marks

	mu     sync.Mutex
	number int
	last   time.Time
}

// NewCrashes returns the detector for the endpoint at base, used by the agent
// process instance.
func NewCrashes(network netx.Network, base, instance string, marks Marks) *Crashes {
	address := base
	if parsed, err := url.Parse(base); err == nil {
		address = parsed.Host
	}
	return &Crashes{network: network, address: address, instance: instance, marks: marks}
}

// BrokeOff is called when run's answer broke off. It returns the crash's id, or
// empty unless the endpoint refuses connections.
func (c *Crashes) BrokeOff(run *pipeline.Run) string {
	if !c.refuses() {
		return ""
	}
	id := c.id(time.Now())
	c.marks.Crashed(run, id)
	return id
}

func (c *Crashes) refuses() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := c.network.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *Crashes) id(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.IsZero() || now.Sub(c.last) > sameCrash {
		c.number++
	}
	c.last = now
	return c.instance + "/" + strconv.Itoa(c.number)
}
