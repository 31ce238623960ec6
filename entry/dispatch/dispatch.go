// Package dispatch sends one attempt of a request to an agent and streams its
// output until the attempt ends.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/invariant"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Timing of a run's stream.
const (
	// HeartbeatInterval is the time between heartbeats in both directions.
	HeartbeatInterval   = 1 * time.Second
	maxMissedHeartbeats = 3
	// cancelGrace is how long the agent has to report the result of a run that
	// was cancelled or reached its deadline.
	cancelGrace = 700 * time.Millisecond
)

// errHeartbeatTimeout ends a stream on which nothing was received for
// maxMissedHeartbeats heartbeat intervals.
var errHeartbeatTimeout = errors.New("dispatch: no message from the agent within the heartbeat timeout")

// Sink receives a response as it arrives.
type Sink interface {
	Head(head *wirev1.Head) error
	Chunk(chunk *wirev1.Chunk) error
}

// Dispatcher sends attempts to agents.
type Dispatcher struct {
	view *fleet.View
}

// New returns a dispatcher that reports the load of agents to view.
func New(view *fleet.View) *Dispatcher { return &Dispatcher{view: view} }

type runStream = connect.BidiStreamForClient[wirev1.RunCall, wirev1.RunEvent]

// attempt is the state of one run and its stream.
type attempt struct {
	dispatcher     *Dispatcher
	agent          *fleet.Agent
	start          *wirev1.RunStart
	sink           Sink
	runCtx         context.Context // Done at the deadline or when the caller disconnects.
	cancelRun      context.CancelFunc
	sinkErr        error // The first error of sink; nothing is written to sink after it.
	stream         *runStream
	sendGuard      *sendGuard
	heartbeatTimer *time.Timer
	streamCtx      context.Context
	cancelStream   context.CancelCauseFunc // Aborts the stream.
}

// Send runs start on agent. It returns when the result of the attempt is known,
// when the agent stops sending heartbeats, or when ctx is done and cancelGrace
// has passed without a result.
func (d *Dispatcher) Send(ctx context.Context, agent *fleet.Agent, start *wirev1.RunStart, sink Sink) Result {
	start.HeartbeatMillis = HeartbeatInterval.Milliseconds()
	start.AgentInstance = agent.ProcessInstance()
	a := &attempt{dispatcher: d, agent: agent, start: start, sink: sink, sendGuard: new(sendGuard)}
	a.runCtx, a.cancelRun = context.WithCancel(ctx)
	defer a.cancelRun()
	a.streamCtx, a.cancelStream = context.WithCancelCause(context.WithoutCancel(ctx))
	a.heartbeatTimer = time.AfterFunc(maxMissedHeartbeats*HeartbeatInterval, func() { a.cancelStream(errHeartbeatTimeout) })
	defer a.heartbeatTimer.Stop()
	a.stream = agent.Client.Run(withSendGuard(a.streamCtx, a.sendGuard))
	ended := make(chan struct{})
	var sender sync.WaitGroup
	sender.Add(1)
	go func() {
		defer sender.Done()
		a.sendLoop(ended)
	}()
	result := a.withCallerError(a.receiveLoop())
	close(ended)
	if result.Outcome != refusal.Ran {
		a.cancelStream(nil)
	}
	sender.Wait()
	_ = a.stream.CloseRequest()
	_ = a.stream.CloseResponse()
	a.cancelStream(nil)
	return result
}

// sendLoop sends the start, the heartbeats and the cancellation of the run.
func (a *attempt) sendLoop(ended <-chan struct{}) {
	if a.send(&wirev1.RunCall{Message: &wirev1.RunCall_Start{Start: a.start}}) != nil {
		return
	}
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	heartbeat := &wirev1.RunCall{Message: &wirev1.RunCall_Heartbeat{Heartbeat: new(wirev1.Heartbeat)}}
	for {
		select {
		case <-ended:
			return
		case <-a.runCtx.Done():
			a.requestCancel(ended)
			return
		case <-ticker.C:
			if a.send(heartbeat) != nil {
				return
			}
		}
	}
}

func (a *attempt) send(call *wirev1.RunCall) error { return a.stream.Send(call) }

// requestCancel asks the agent to end the run and aborts the stream after
// cancelGrace if no result has arrived.
func (a *attempt) requestCancel(ended <-chan struct{}) {
	grace := time.AfterFunc(cancelGrace, func() { a.cancelStream(context.Cause(a.runCtx)) })
	defer grace.Stop()
	_ = a.send(&wirev1.RunCall{Message: &wirev1.RunCall_Cancel{Cancel: new(wirev1.Cancel)}})
	select {
	case <-ended:
	case <-a.streamCtx.Done():
	}
}

// receiveLoop receives messages until the result of the run is known. The
// heartbeat timer is stopped while the sink writes, because a slow sink delays
// the agent's heartbeats, which queue behind the response.
func (a *attempt) receiveLoop() Result {
	stopAfterFunc := context.AfterFunc(a.runCtx, func() { time.AfterFunc(cancelGrace, func() { a.cancelStream(context.Cause(a.runCtx)) }) })
	defer stopAfterFunc()
	offset := a.start.ResumeOffset
	for {
		event, err := a.stream.Receive()
		if err != nil {
			return a.streamErrorResult(err)
		}
		a.heartbeatTimer.Stop()
		a.dispatcher.view.UpdateLoad(a.agent, event.Load)
		a.dispatcher.view.RecordFraction(a.start.Team, event.TeamFraction)
		switch message := event.Message.(type) {
		case *wirev1.RunEvent_Head:
			a.forward(func() error { return a.sink.Head(message.Head) })
		case *wirev1.RunEvent_Chunk:
			invariant.Check(message.Chunk.Offset == offset, invariant.StreamInOrder, "run %s: chunk at %d, want %d", a.start.RunId, message.Chunk.Offset, offset)
			offset += int64(len(message.Chunk.Data))
			a.forward(func() error { return a.sink.Chunk(message.Chunk) })
		case *wirev1.RunEvent_Refused:
			a.dispatcher.view.HandleRefusal(a.agent, refusal.Code(message.Refused.Code))
			return refusedResult(message.Refused)
		case *wirev1.RunEvent_Finished:
			return finishedResult(message.Finished)
		}
		a.heartbeatTimer.Reset(maxMissedHeartbeats * HeartbeatInterval)
	}
}

// forward writes a part of the response to the sink. If the write fails, a
// repeatable run is cancelled; any other run continues to its end.
func (a *attempt) forward(write func() error) {
	if a.sinkErr != nil {
		return
	}
	a.sinkErr = write()
	if a.sinkErr != nil && a.start.Repeatable {
		a.cancelRun()
	}
}

// withCallerError sets the refusal of a result whose response did not reach the
// caller completely: the caller disconnected or the deadline passed.
func (a *attempt) withCallerError(result Result) Result {
	switch {
	case a.sinkErr != nil:
		result.Refused = refusal.NewUnknown(refusal.CallerLeft, "writing the response to the caller failed: %v", a.sinkErr)
	case result.Refused == nil:
		return result
	case errors.Is(a.runCtx.Err(), context.Canceled):
		result.Refused = refusal.NewUnknown(refusal.CallerLeft, "the caller disconnected")
	case errors.Is(a.runCtx.Err(), context.DeadlineExceeded):
		result.Refused = refusal.NewUnknown(refusal.DeadlineExceeded, "%s", result.Refused.Detail)
	}
	result.Refused.Outcome = result.Outcome
	return result
}

// streamErrorResult returns what is known about a run whose stream ended before
// its result arrived.
func (a *attempt) streamErrorResult(err error) Result {
	runErr := a.runCtx.Err()
	if runErr == nil {
		a.dispatcher.view.MarkFailed(a.agent)
	}
	notSent := a.sendGuard.abandon()
	switch {
	case errors.Is(runErr, context.DeadlineExceeded) && notSent:
		return notRunResult(refusal.New(refusal.DeadlineExceeded, "no connection to the agent was established before the deadline"))
	case errors.Is(runErr, context.DeadlineExceeded):
		return unknownResult(refusal.DeadlineExceeded, "the run did not end before its deadline")
	case runErr != nil && notSent:
		return notRunResult(refusal.New(refusal.CallerLeft, "the caller disconnected before the run was sent"))
	case runErr != nil:
		return unknownResult(refusal.CallerLeft, "the caller disconnected")
	case notSent:
		return notRunResult(refusal.New(refusal.NoEndpoint, "the agent could not be reached: %v", err).WithRetryAfter(time.Second))
	case errors.Is(context.Cause(a.streamCtx), errHeartbeatTimeout):
		return unknownResult(refusal.EndpointSilent, "the agent sent nothing for %s", maxMissedHeartbeats*HeartbeatInterval)
	default:
		return unknownResult(refusal.EndpointFailed, "the run's stream failed: %v", err)
	}
}
