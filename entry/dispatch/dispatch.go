// Package dispatch sends one attempt of a request to one agent and follows it
// to its end.
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

// Heartbeat limits of a run's stream.
const (
	Heartbeat       = 1 * time.Second
	missedHeartbeat = 3
	// cancelGrace is how long the agent has to say what became of a run that
	// was cancelled or reached its deadline.
	cancelGrace = 700 * time.Millisecond
)

// errSilent ends a stream that brought nothing for missedHeartbeat heartbeats.
var errSilent = errors.New("dispatch: the agent fell silent")

// Sink takes an answer as it arrives.
type Sink interface {
	Head(head *wirev1.Head) error
	Chunk(chunk *wirev1.Chunk) error
}

// Dispatcher sends attempts.
type Dispatcher struct {
	view *fleet.View
}

// New returns a dispatcher that reports loads to view.
func New(view *fleet.View) *Dispatcher { return &Dispatcher{view: view} }

type runStream = connect.BidiStreamForClient[wirev1.RunCall, wirev1.RunEvent]

// attempt is one run's stream.
type attempt struct {
	dispatcher *Dispatcher
	agent      *fleet.Agent
	start      *wirev1.RunStart
	sink       Sink
	run        context.Context // Ends at the deadline or when the caller leaves.
	cancelRun  context.CancelFunc
	sinkErr    error // Why the caller takes no more of the answer.
	stream     *runStream
	proof      *proof
	silent     *time.Timer
	streamDone context.Context
	stop       context.CancelCauseFunc // Abandons the stream.
}

// Send runs start on agent. It returns when the attempt's end is known, the
// agent fell silent, or ctx ended and the agent has had time to say how.
func (d *Dispatcher) Send(ctx context.Context, agent *fleet.Agent, start *wirev1.RunStart, sink Sink) Result {
	start.HeartbeatMillis = Heartbeat.Milliseconds()
	start.AgentInstance = agent.Process()
	a := &attempt{dispatcher: d, agent: agent, start: start, sink: sink, proof: new(proof)}
	a.run, a.cancelRun = context.WithCancel(ctx)
	defer a.cancelRun()
	a.streamDone, a.stop = context.WithCancelCause(context.WithoutCancel(ctx))
	a.silent = time.AfterFunc(missedHeartbeat*Heartbeat, func() { a.stop(errSilent) })
	defer a.silent.Stop()
	a.stream = agent.Client.Run(withProof(a.streamDone, a.proof))
	ended := make(chan struct{})
	var writing sync.WaitGroup
	writing.Add(1)
	go func() {
		defer writing.Done()
		a.write(ended)
	}()
	result := a.resultToCaller(a.follow())
	close(ended)
	if result.Outcome != refusal.Ran {
		a.stop(nil)
	}
	writing.Wait()
	_ = a.stream.CloseRequest()
	_ = a.stream.CloseResponse()
	a.stop(nil)
	return result
}

// write is the duty that sends the start, heartbeats and the cancellation.
func (a *attempt) write(ended <-chan struct{}) {
	if a.send(&wirev1.RunCall{Message: &wirev1.RunCall_Start{Start: a.start}}) != nil {
		return
	}
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	beat := &wirev1.RunCall{Message: &wirev1.RunCall_Heartbeat{Heartbeat: new(wirev1.Heartbeat)}}
	for {
		select {
		case <-ended:
			return
		case <-a.run.Done():
			a.cancel(ended)
			return
		case <-ticker.C:
			if a.send(beat) != nil {
				return
			}
		}
	}
}

func (a *attempt) send(call *wirev1.RunCall) error { return a.stream.Send(call) }

// cancel asks the agent for the run's end and abandons the stream soon after.
func (a *attempt) cancel(ended <-chan struct{}) {
	grace := time.AfterFunc(cancelGrace, func() { a.stop(context.Cause(a.run)) })
	defer grace.Stop()
	_ = a.send(&wirev1.RunCall{Message: &wirev1.RunCall_Cancel{Cancel: new(wirev1.Cancel)}})
	select {
	case <-ended:
	case <-a.streamDone.Done():
	}
}

// follow receives until the run's end is known. While the sink takes an answer
// slowly the agent is not held to be silent: its heartbeats wait behind it.
func (a *attempt) follow() Result {
	abandoned := context.AfterFunc(a.run, func() { time.AfterFunc(cancelGrace, func() { a.stop(context.Cause(a.run)) }) })
	defer abandoned()
	offset := a.start.ResumeOffset
	for {
		event, err := a.stream.Receive()
		if err != nil {
			return a.brokenOff(err)
		}
		a.silent.Stop()
		a.dispatcher.view.Learn(a.agent, event.Load)
		a.dispatcher.view.LearnFraction(a.start.Team, event.TeamFraction)
		switch message := event.Message.(type) {
		case *wirev1.RunEvent_Head:
			a.take(func() error { return a.sink.Head(message.Head) })
		case *wirev1.RunEvent_Chunk:
			invariant.Check(message.Chunk.Offset == offset, invariant.StreamInOrder, "run %s: chunk at %d, want %d", a.start.RunId, message.Chunk.Offset, offset)
			offset += int64(len(message.Chunk.Data))
			a.take(func() error { return a.sink.Chunk(message.Chunk) })
		case *wirev1.RunEvent_Refused:
			a.dispatcher.view.Refused(a.agent, refusal.Code(message.Refused.Code))
			return refusedResult(message.Refused)
		case *wirev1.RunEvent_Finished:
			return finishedResult(message.Finished)
		}
		a.silent.Reset(missedHeartbeat * Heartbeat)
	}
}

// take passes a part of the answer on. When the caller takes no more, a run
// that may be repeated is cancelled; any other goes on to its end.
func (a *attempt) take(pass func() error) {
	if a.sinkErr != nil {
		return
	}
	a.sinkErr = pass()
	if a.sinkErr != nil && a.start.Repeatable {
		a.cancelRun()
	}
}

// resultToCaller adds to a run's end why the caller did not get its answer.
func (a *attempt) resultToCaller(result Result) Result {
	switch {
	case a.sinkErr != nil:
		result.Refused = refusal.NewUnknown(refusal.CallerLeft, "the caller did not take the answer: %v", a.sinkErr)
	case result.Refused == nil:
		return result
	case errors.Is(a.run.Err(), context.Canceled):
		result.Refused = refusal.NewUnknown(refusal.CallerLeft, "the caller left")
	case errors.Is(a.run.Err(), context.DeadlineExceeded):
		result.Refused = refusal.NewUnknown(refusal.DeadlineExceeded, "%s", result.Refused.Detail)
	}
	result.Refused.Outcome = result.Outcome
	return result
}

// brokenOff tells what is known of a run whose stream ended without its end.
func (a *attempt) brokenOff(err error) Result {
	runEnded := a.run.Err()
	if runEnded == nil {
		a.dispatcher.view.Failed(a.agent)
	}
	notSent := a.proof.abandon()
	switch {
	case errors.Is(runEnded, context.DeadlineExceeded) && notSent:
		return notRun(refusal.New(refusal.DeadlineExceeded, "no connection to the agent was open in time"))
	case errors.Is(runEnded, context.DeadlineExceeded):
		return unknown(refusal.DeadlineExceeded, "the run did not end in time")
	case runEnded != nil && notSent:
		return notRun(refusal.New(refusal.CallerLeft, "the caller left before the run was sent"))
	case runEnded != nil:
		return unknown(refusal.CallerLeft, "the caller left")
	case notSent:
		return notRun(refusal.New(refusal.NoEndpoint, "the agent could not be reached: %v", err).WithRetryAfter(time.Second))
	case errors.Is(context.Cause(a.streamDone), errSilent):
		return unknown(refusal.EndpointSilent, "the agent sent nothing for %s", missedHeartbeat*Heartbeat)
	default:
		return unknown(refusal.EndpointFailed, "the run's stream broke off: %v", err)
	}
}
