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
	flushTimeout       = 3 * time.Second
	finalFlushAttempts = 5
	// maxAckDelay is how long an acknowledgement waits to be sent with a run.
	maxAckDelay = 20 * time.Second
	ackTimeout  = 1 * time.Second
	// maxPendingRecords limits the records held during an outage of the store.
	// Records above it are left to the agents, which hold them too.
	maxPendingRecords = 500_000
)

var log = logging.For("entry/account")

// Agents provides the usage clients of the known agents.
type Agents interface {
	UsageClients() []fleet.UsageClient
}

// Writer is the background task that writes records in batches and acknowledges
// them.
type Writer struct {
	records  *Ring
	acks     *Acks
	agents   Agents
	writer   *usagestore.Writer
	interval time.Duration
	meter    *meter.Registry

	addresses map[recordKey]string // Addresses of the agents whose records are pending.
}

type recordKey struct {
	source   string
	sequence int64
}

// NewWriter returns a Writer. instance must differ with each start of the process;
// interval is the time between batches.
func NewWriter(service tables.Service, records *Ring, acks *Acks, agents Agents, instance string, interval time.Duration, registry *meter.Registry) *Writer {
	return &Writer{
		records:   records,
		acks:      acks,
		agents:    agents,
		writer:    usagestore.NewWriter(service, instance),
		interval:  interval,
		meter:     registry,
		addresses: make(map[recordKey]string),
	}
}

// Run writes batches until ctx is done, then the remaining records.
func (w *Writer) Run(ctx context.Context) {
	clock.Every(ctx, w.interval, func() {
		w.Flush(ctx)
		w.acknowledgeOverdue(ctx, time.Now().Add(-maxAckDelay))
	})
	w.flushAll(context.WithoutCancel(ctx))
}

// Flush writes the pending records. A batch that fails is retried unchanged.
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
		log.Error(err, "A usage batch could not be written; it is kept and will be retried.", "records", w.writer.PendingCount())
	}
}

func (w *Writer) add(item receivedRecord) {
	if w.writer.PendingCount() >= maxPendingRecords {
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
		w.acks.AddDurable(w.addresses[key], record, now)
		delete(w.addresses, key)
	}
	w.meter.Add(int64(len(records)), "usage", "records_written")
}

// acknowledgeOverdue sends the acknowledgements that have been pending since before
// the given time to agents that had no run since.
func (w *Writer) acknowledgeOverdue(ctx context.Context, before time.Time) {
	overdue := w.acks.TakeOlderThan(before)
	if len(overdue) == 0 {
		return
	}
	for _, agent := range w.agents.UsageClients() {
		durable, ok := overdue[agent.Address]
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

// flushAll writes all pending records before the process exits. The agents write
// those that it cannot write.
func (w *Writer) flushAll(ctx context.Context) {
	for range finalFlushAttempts {
		w.Flush(ctx)
		if w.writer.PendingCount() == 0 {
			break
		}
		time.Sleep(w.interval)
	}
	w.acknowledgeOverdue(ctx, time.Now())
}
