// Package account makes usage durable at the entry. An interceptor on the streams
// to agents collects each run's usage record and sends acknowledgements; a
// background task writes the records in batches.
package account

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/ring"
	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const recordRingSize = 65536

// receivedRecord is a record and the address of the agent that sent it.
type receivedRecord struct {
	record  usage.Record
	address string
}

// Ring is the queue between the interceptor and the writer.
type Ring = ring.Ring[receivedRecord]

// NewRing returns an empty ring.
func NewRing() *Ring { return ring.New[receivedRecord](recordRingSize) }

// Interceptor collects usage records from the streams of runs. It implements
// connect.Interceptor.
type Interceptor struct {
	records      *Ring
	acks         *Acks
	counts       *Counts
	windowLength time.Duration
	meter        *meter.Registry
}

// NewInterceptor returns an interceptor. windowLength is the length of usage windows.
func NewInterceptor(records *Ring, acks *Acks, counts *Counts, windowLength time.Duration, registry *meter.Registry) *Interceptor {
	return &Interceptor{records: records, acks: acks, counts: counts, windowLength: windowLength, meter: registry}
}

// WrapUnary returns next unchanged.
func (i *Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingHandler returns next unchanged.
func (i *Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapStreamingClient wraps the streams that next opens.
func (i *Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return &runConn{StreamingClientConn: next(ctx, spec), interceptor: i}
	}
}

// runConn is the stream of one run.
type runConn struct {
	connect.StreamingClientConn
	interceptor  *Interceptor
	start        *wirev1.RunStart
	outputTokens int64 // Received so far.
}

// Send adds the window length and pending acknowledgements to a run's start.
func (c *runConn) Send(message any) error {
	call, ok := message.(*wirev1.RunCall)
	if !ok || call.GetStart() == nil {
		return c.StreamingClientConn.Send(message)
	}
	c.start = call.GetStart()
	c.start.UsageWindowMillis = c.interceptor.windowLength.Milliseconds()
	c.start.UsageDurable = c.interceptor.acks.Take(c.Peer().Addr)
	return c.StreamingClientConn.Send(message)
}

// Receive takes the usage record from the message that ends a run.
func (c *runConn) Receive(message any) error {
	if err := c.StreamingClientConn.Receive(message); err != nil {
		return err
	}
	event, ok := message.(*wirev1.RunEvent)
	if !ok || c.start == nil {
		return nil
	}
	if chunk := event.GetChunk(); chunk != nil {
		c.outputTokens += int64(chunk.Tokens)
	}
	if finished := event.GetFinished(); finished.GetUsageRecord() != nil {
		c.interceptor.RecordFinished(c.start.Team, c.Peer().Addr, finished, c.outputTokens)
	}
	return nil
}

// RecordFinished takes the usage record of a run of team on the agent at address.
// outputTokens is the number of output tokens received before it.
func (i *Interceptor) RecordFinished(team, address string, finished *wirev1.Finished, outputTokens int64) {
	record := recordFromWire(team, finished.UsageRecord)
	record.Window = min(record.Window, usage.WindowAt(time.Now(), i.windowLength))
	if record.Figures.OutputTokens != outputTokens {
		i.meter.Count("usage", "output_differs")
	}
	i.counts.Add(record)
	if !i.records.Offer(receivedRecord{record: record, address: address}) {
		i.meter.Count("usage", "left_to_agent")
	}
}

func recordFromWire(team string, record *wirev1.UsageRecord) usage.Record {
	figures := record.GetFigures()
	invariant.Check(figures.GetRequests() >= 0 && figures.GetOutputTokens() >= 0 && figures.GetPromptTokens() >= 0,
		invariant.UsageRecordUnchanged, "record %s/%d is negative", record.Source, record.Sequence)
	return usage.Record{
		Source:   record.Source,
		Sequence: record.Sequence,
		Window:   usage.Window(record.Window),
		Team:     team,
		Figures:  FiguresFromWire(figures),
	}
}

// FiguresFromWire converts the figures of a wire message.
func FiguresFromWire(figures *wirev1.UsageFigures) usage.Figures {
	return usage.Figures{
		Requests:     figures.GetRequests(),
		PromptTokens: figures.GetPromptTokens(),
		CachedTokens: figures.GetCachedTokens(),
		OutputTokens: figures.GetOutputTokens(),
	}
}
