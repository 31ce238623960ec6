// Package account makes usage durable at the entry. An interceptor on the
// streams to agents takes each run's record and carries acknowledgements back;
// a duty writes the records in batches.
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

const ringSize = 65536

// counted is a record and the agent that it came from.
type counted struct {
	record  usage.Record
	address string
}

// Ring joins the interceptor and the writer.
type Ring = ring.Ring[counted]

// NewRing returns an empty ring.
func NewRing() *Ring { return ring.New[counted](ringSize) }

// Interceptor watches the streams of runs. It is a connect.Interceptor.
type Interceptor struct {
	records *Ring
	acks    *Acks
	counts  *Counts
	window  time.Duration
	meter   *meter.Registry
}

// NewInterceptor returns the interceptor. window is the length of windows.
func NewInterceptor(records *Ring, acks *Acks, counts *Counts, window time.Duration, registry *meter.Registry) *Interceptor {
	return &Interceptor{records: records, acks: acks, counts: counts, window: window, meter: registry}
}

// WrapUnary implements connect.Interceptor.
func (i *Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingHandler implements connect.Interceptor.
func (i *Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapStreamingClient implements connect.Interceptor.
func (i *Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return &runConn{StreamingClientConn: next(ctx, spec), interceptor: i}
	}
}

// runConn is the stream of one run.
type runConn struct {
	connect.StreamingClientConn
	interceptor *Interceptor
	start       *wirev1.RunStart
	received    int64 // Output tokens.
}

// Send adds to a run's start what the agent needs for its accounts.
func (c *runConn) Send(message any) error {
	call, ok := message.(*wirev1.RunCall)
	if !ok || call.GetStart() == nil {
		return c.StreamingClientConn.Send(message)
	}
	c.start = call.GetStart()
	c.start.UsageWindowMillis = c.interceptor.window.Milliseconds()
	c.start.UsageDurable = c.interceptor.acks.Take(c.Peer().Addr)
	return c.StreamingClientConn.Send(message)
}

// Receive takes the record out of the message that ends a run.
func (c *runConn) Receive(message any) error {
	if err := c.StreamingClientConn.Receive(message); err != nil {
		return err
	}
	event, ok := message.(*wirev1.RunEvent)
	if !ok || c.start == nil {
		return nil
	}
	if chunk := event.GetChunk(); chunk != nil {
		c.received += int64(chunk.Tokens)
	}
	if finished := event.GetFinished(); finished.GetUsageRecord() != nil {
		c.interceptor.Finished(c.start.Team, c.Peer().Addr, finished, c.received)
	}
	return nil
}

// Finished takes the record of a run of team on the agent at address. received
// is the number of output tokens that came before it.
func (i *Interceptor) Finished(team, address string, finished *wirev1.Finished, received int64) {
	record := recordOf(team, finished.UsageRecord)
	record.Window = min(record.Window, usage.WindowAt(time.Now(), i.window))
	if record.Figures.OutputTokens != received {
		i.meter.Count("usage", "output_differs")
	}
	i.counts.Add(record)
	if !i.records.Offer(counted{record: record, address: address}) {
		i.meter.Count("usage", "left_to_agent")
	}
}

func recordOf(team string, record *wirev1.UsageRecord) usage.Record {
	figures := record.GetFigures()
	invariant.Check(figures.GetRequests() >= 0 && figures.GetOutputTokens() >= 0 && figures.GetPromptTokens() >= 0,
		invariant.UsageRecordUnchanged, "record %s/%d is negative", record.Source, record.Sequence)
	return usage.Record{
		Source:   record.Source,
		Sequence: record.Sequence,
		Window:   usage.Window(record.Window),
		Team:     team,
		Figures:  FiguresOf(figures),
	}
}

// FiguresOf returns the figures of a message.
func FiguresOf(figures *wirev1.UsageFigures) usage.Figures {
	return usage.Figures{
		Requests:     figures.GetRequests(),
		PromptTokens: figures.GetPromptTokens(),
		CachedTokens: figures.GetCachedTokens(),
		OutputTokens: figures.GetOutputTokens(),
	}
}
