package account

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagestore"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	flushTimeout = 3 * time.Second
	lastFlushes  = 5
	// ackAfter is how long an acknowledgement waits for a run to ride on.
	ackAfter   = 20 * time.Second
	ackTimeout = 1 * time.Second
	// maxWaiting bounds the records held through an outage. Above it, records
	// are left to the agents, which hold them too.
	maxWaiting = 500_000
)

var log = logging.For("entry/account")

// Agents returns the usage services of the known agents.
type Agents interface {
	UsageClients() []fleet.UsageClient
}

// Writer is the duty that writes batches and acknowledges them.
type Writer struct {
	records *Ring
	acks    *Acks
	agents  Agents
	writer  *usagestore.Writer
	every   time.Duration
	meter   *meter.Registry

	addresses map[recordKey]string // Of the agents whose records wait.
}

type recordKey struct {
	source   string
	sequence int64
}

// NewWriter returns the duty. instance must differ with each start of the
// process; every is the time between batches.
func NewWriter(service tables.Service, records *Ring, acks *Acks, agents Agents, instance string, every time.Duration, registry *meter.Registry) *Writer {
	return &Writer{
		records:   records,
		acks:      acks,
		agents:    agents,
		writer:    usagestore.NewWriter(service, instance),
		every:     every,
		meter:     registry,
		addresses: make(map[recordKey]string),
	}
}

// Run writes batches until ctx ends, then what is left.
func (w *Writer) Run(ctx context.Context) {
	clock.Every(ctx, w.every, func() {
		w.Flush(ctx)
		w.acknowledgeOld(ctx, time.Now().Add(-ackAfter))
	})
	w.finish(context.WithoutCancel(ctx))
}

// Flush writes what has gathered. What fails is written again unchanged.
func (w *Writer) Flush(ctx context.Context) {
	for _, item := range w.records.Drain() {
		w.add(item)
	}
	w.meter.Gauge(int64(w.writer.PendingCount()), "usage", "waiting")
	if w.writer.PendingCount() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	durable, err := w.writer.Flush(ctx)
	w.noteDurable(durable)
	if err != nil {
		w.meter.Count("usage", "flush_failed")
		log.Error(err, "A usage batch could not be written; it is kept.", "records", w.writer.PendingCount())
	}
}

func (w *Writer) add(item counted) {
	if w.writer.PendingCount() >= maxWaiting {
		w.meter.Count("usage", "left_to_agent")
		return
	}
	w.writer.Add(item.record)
	w.addresses[recordKey{item.record.Source, item.record.Sequence}] = item.address
}

func (w *Writer) noteDurable(records []usage.Record) {
	now := time.Now()
	for _, record := range records {
		key := recordKey{record.Source, record.Sequence}
		w.acks.Durable(w.addresses[key], record, now)
		delete(w.addresses, key)
	}
	w.meter.Add(int64(len(records)), "usage", "records_written")
}

// acknowledgeOld tells agents that got no run lately what is durable.
func (w *Writer) acknowledgeOld(ctx context.Context, before time.Time) {
	waiting := w.acks.TakeSince(before)
	if len(waiting) == 0 {
		return
	}
	for _, agent := range w.agents.UsageClients() {
		durable, ok := waiting[agent.Address]
		if !ok {
			continue
		}
		if err := w.acknowledge(ctx, agent, durable); err != nil {
			w.meter.Count("usage", "ack_lost")
		}
	}
}

func (w *Writer) acknowledge(ctx context.Context, agent fleet.UsageClient, durable *wirev1.UsageDurable) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	_, err := agent.Client.Acknowledge(ctx, connect.NewRequest(&wirev1.AcknowledgeRequest{Durable: durable}))
	return err
}

// finish writes all that waits before the process exits. What cannot be
// written, the agents write.
func (w *Writer) finish(ctx context.Context) {
	for range lastFlushes {
		w.Flush(ctx)
		if w.writer.PendingCount() == 0 {
			break
		}
		time.Sleep(w.every)
	}
	w.acknowledgeOld(ctx, time.Now())
}
