// Package server is the agent's Connect service for entries. Each run is one
// bidirectional stream with heartbeats in both directions.
package server

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/agent/gate"
	"flamingospar.org/agent/orders"
	"flamingospar.org/agent/pipeline"
	"flamingospar.org/agent/status"
	core "flamingospar.org/core/orders"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/rollout"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Heartbeat and retry intervals.
const (
	defaultHeartbeatInterval = 1 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a message
	// after which a run is cancelled.
	maxMissedHeartbeats = 3
	downRetryAfter      = 1 * time.Second
)

// Server implements the agent's service.
type Server struct {
	chain      *pipeline.Chain
	status     *status.Status
	gate       *gate.Gate
	reconciler *orders.Reconciler
	runs       *runRegistry
}

// New returns a server that passes runs to chain.
func New(chain *pipeline.Chain, s *status.Status, g *gate.Gate, reconciler *orders.Reconciler) *Server {
	return &Server{chain: chain, status: s, gate: g, reconciler: reconciler, runs: newRunRegistry()}
}

// Handler returns the path prefix and handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return wirev1connect.NewAgentServiceHandler(s)
}

// WithdrawQueued refuses the queued runs as not run and returns their number. It
// is called after Status.SetDraining, so that no new runs are queued.
func (s *Server) WithdrawQueued() int { return s.runs.withdrawQueued() }

// Wait blocks until no run is active.
func (s *Server) Wait() { s.runs.wait() }

// Status returns the agent's status and applies the entry's update of the
// configuration and the endpoint's target.
func (s *Server) Status(_ context.Context, request *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusReply], error) {
	s.gate.ApplyUpdate(request.Msg.News)
	s.applyVersions(request.Msg.News)
	s.applyTarget(request.Msg.Target)
	reply := s.status.Reply()
	reply.Instance = s.gate.Instance()
	reply.Revision = s.gate.Revision()
	reply.Changing = s.gate.Changing()
	reply.Stale = s.gate.Stale()
	reply.Mark = s.gate.Mark()
	return connect.NewResponse(reply), nil
}

// applyVersions passes the model versions of the catalogue to the reconciler.
func (s *Server) applyVersions(update *wirev1.ConfigNews) {
	if len(update.GetVersions()) == 0 {
		return
	}
	versions := make(map[string]string, len(update.Versions))
	for _, item := range update.Versions {
		versions[item.Model] = item.Version
	}
	s.reconciler.SetVersions(update.Revision, versions, rollout.Delay(int(update.Turn), int(update.Pool)))
}

func (s *Server) applyTarget(target *wirev1.EndpointTarget) {
	if target == nil {
		return
	}
	s.reconciler.SetTarget(core.Target{
		Epoch:    target.Epoch,
		Sequence: target.Sequence,
		Role:     target.Role,
		Model:    target.Model,
		Adapters: target.Adapters,
	})
}

type runStream = connect.BidiStream[wirev1.RunCall, wirev1.RunEvent]

// Run handles one run from its RunStart to its final event.
func (s *Server) Run(ctx context.Context, stream *runStream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	start := first.GetStart()
	if start == nil {
		return connect.NewError(connect.CodeInvalidArgument, errMissingRunStart)
	}
	deadline := time.UnixMilli(start.DeadlineUnixMillis)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sender := &sender{stream: stream, status: s.status}
	interval := heartbeatInterval(start)
	go receiveHeartbeats(ctx, cancel, stream, interval)
	go sender.sendHeartbeats(ctx, interval)
	run := &pipeline.Run{Start: start, ArrivedAt: time.Now(), Deadline: deadline, Send: sender.send}
	s.runs.add(run, cancel)
	defer s.runs.remove(run)
	if refused := s.checkAdmission(start); refused != nil {
		return sender.finish(run, nil, refused)
	}
	finished, refused := s.chain.Handle(ctx, run)
	return sender.finish(run, finished, refused)
}

// checkAdmission returns why a run is refused before the pipeline. A run for
// another process of this agent may be a late copy that the other process has
// already run, which this process could not detect by its id.
func (s *Server) checkAdmission(start *wirev1.RunStart) *refusal.Refusal {
	if own := s.gate.Instance(); start.AgentInstance != "" && start.AgentInstance != own {
		return refusal.New(refusal.RunOtherInstance, "run %s is meant for process %s of the agent, this is %s", start.RunId, start.AgentInstance, own)
	}
	if s.status.Down() {
		return refusal.New(refusal.EndpointDown, "the endpoint refuses connections").WithRetryAfter(downRetryAfter)
	}
	if s.status.Draining() {
		return refusal.New(refusal.Draining, "the endpoint is draining")
	}
	return nil
}

func heartbeatInterval(start *wirev1.RunStart) time.Duration {
	if start.HeartbeatMillis <= 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(start.HeartbeatMillis) * time.Millisecond
}

// receiveHeartbeats cancels the run when the entry cancels it, misses its
// heartbeats or closes the stream.
func receiveHeartbeats(ctx context.Context, cancel context.CancelCauseFunc, stream *runStream, interval time.Duration) {
	silenceTimer := time.AfterFunc(maxMissedHeartbeats*interval, func() { cancel(errEntrySilent) })
	defer silenceTimer.Stop()
	for ctx.Err() == nil {
		call, err := stream.Receive()
		if err != nil {
			cancel(errStreamClosed)
			return
		}
		if call.GetCancel() != nil {
			cancel(errRunCancelled)
		}
		silenceTimer.Reset(maxMissedHeartbeats * interval)
	}
}
