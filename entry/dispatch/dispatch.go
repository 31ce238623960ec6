// Package dispatch sends one attempt of a request to one agent and follows it
// to its end.
package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/invariant"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Heartbeat limits of a run's stream.
const (
	Heartbeat       = 1 * time.Second
	missedHeartbeat = 3
)

// Sink takes an answer as it arrives.
type Sink interface {
	Head(head *wirev1.Head) error
	Chunk(chunk *wirev1.Chunk) error
}

// Result is the end of one attempt.
type Result struct {
	Outcome      refusal.Outcome
	Refused      *refusal.Refusal // Nil when Outcome is Ran.
	FinishReason string
	Usage        *wirev1.Usage
}

// Dispatcher sends attempts.
type Dispatcher struct {
	view *fleet.View
}

// New returns a dispatcher that reports loads to view.
func New(view *fleet.View) *Dispatcher { return &Dispatcher{view: view} }

type runStream = connect.BidiStreamForClient[wirev1.RunCall, wirev1.RunEvent]

// Send runs start on agent. It returns when the attempt's end is known, the
// agent fell silent, or ctx ended.
func (d *Dispatcher) Send(ctx context.Context, agent *fleet.Agent, start *wirev1.RunStart, sink Sink) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start.HeartbeatMillis = Heartbeat.Milliseconds()
	stream := agent.Client.Run(ctx)
	defer stream.CloseResponse()
	defer stream.CloseRequest()
	if err := stream.Send(&wirev1.RunCall{Message: &wirev1.RunCall_Start{Start: start}}); err != nil {
		d.view.Failed(agent)
		return sendFailed(err)
	}
	go sendHeartbeats(ctx, stream)
	silent := time.AfterFunc(missedHeartbeat*Heartbeat, cancel)
	defer silent.Stop()
	return d.follow(ctx, agent, start.Team, stream, sink, silent)
}

// sendFailed tells a failed dial, which is proof that nothing ran, from the rest.
func sendFailed(err error) Result {
	if connect.CodeOf(err) == connect.CodeUnavailable {
		return notRun(refusal.New(refusal.NoEndpoint, "the agent could not be reached: %v", err))
	}
	return unknown("the run could not be sent: %v", err)
}

func sendHeartbeats(ctx context.Context, stream *runStream) {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	beat := &wirev1.RunCall{Message: &wirev1.RunCall_Heartbeat{Heartbeat: new(wirev1.Heartbeat)}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if stream.Send(beat) != nil {
				return
			}
		}
	}
}

func (d *Dispatcher) follow(ctx context.Context, agent *fleet.Agent, team string, stream *runStream, sink Sink, silent *time.Timer) Result {
	offset := int64(0)
	for {
		event, err := stream.Receive()
		if err != nil {
			d.view.Failed(agent)
			return brokenOff(ctx, err)
		}
		silent.Reset(missedHeartbeat * Heartbeat)
		d.view.Learn(agent, event.Load)
		d.view.LearnFraction(team, event.TeamFraction)
		switch message := event.Message.(type) {
		case *wirev1.RunEvent_Head:
			err = sink.Head(message.Head)
		case *wirev1.RunEvent_Chunk:
			invariant.Check(message.Chunk.Offset == offset, invariant.StreamInOrder, "chunk at %d, want %d", message.Chunk.Offset, offset)
			offset += int64(len(message.Chunk.Data))
			err = sink.Chunk(message.Chunk)
		case *wirev1.RunEvent_Refused:
			d.view.Refused(agent, refusal.Code(message.Refused.Code))
			return refusedResult(message.Refused)
		case *wirev1.RunEvent_Finished:
			return finishedResult(message.Finished)
		}
		if err != nil {
			return unknown("the caller left: %v", err)
		}
	}
}

func brokenOff(ctx context.Context, err error) Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{Outcome: refusal.Unknown, Refused: refusal.NewUnknown(refusal.DeadlineExceeded, "the run did not end in time")}
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("the agent closed the stream")
	}
	return unknown("the run's stream broke off: %v", err)
}

func refusedResult(refused *wirev1.Refused) Result {
	wait := time.Duration(refused.RetryAfterMillis) * time.Millisecond
	return notRun(refusal.New(refusal.Code(refused.Code), "%s", refused.Detail).After(wait))
}

func finishedResult(finished *wirev1.Finished) Result {
	switch finished.Outcome {
	case wirev1.Outcome_OUTCOME_RAN:
		return Result{Outcome: refusal.Ran, FinishReason: finished.FinishReason, Usage: finished.Usage}
	case wirev1.Outcome_OUTCOME_NOT_RUN:
		return notRun(refusal.New(refusal.Code(finished.Code), "%s", finished.Detail))
	default:
		return Result{Outcome: refusal.Unknown, Refused: refusal.NewUnknown(refusal.Code(finished.Code), "%s", finished.Detail)}
	}
}

func notRun(refused *refusal.Refusal) Result {
	return Result{Outcome: refusal.NotRun, Refused: refused}
}

func unknown(format string, args ...any) Result {
	return Result{Outcome: refusal.Unknown, Refused: refusal.NewUnknown(refusal.EndpointFailed, format, args...)}
}
