// Package server offers the agent to entries as a connect service. Each run is
// one bidirectional stream with heartbeats both ways.
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

// Heartbeat limits.
const (
	defaultHeartbeat = 1 * time.Second
	// missedHeartbeats without any message make a stream silent.
	missedHeartbeats = 3
	downRetryAfter   = 1 * time.Second
)

// Server implements the agent's service.
type Server struct {
	chain  *pipeline.Chain
	status *status.Status
	gate   *gate.Gate
	orders *orders.Duty
	runs   *runs
}

// New returns the server of a chain.
func New(chain *pipeline.Chain, s *status.Status, g *gate.Gate, duty *orders.Duty) *Server {
	return &Server{chain: chain, status: s, gate: g, orders: duty, runs: newRuns()}
}

// Handler returns the path prefix and handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return wirev1connect.NewAgentServiceHandler(s)
}

// HandOver refuses the runs that wait, with proof that they did not begin, and
// returns their number. It is called after the status says leaving.
func (s *Server) HandOver() int { return s.runs.handOver() }

// Wait returns when no run is active.
func (s *Server) Wait() { s.runs.wait() }

// Status implements the service. It takes the entry's news of the configuration.
func (s *Server) Status(_ context.Context, request *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusReply], error) {
	s.gate.Hear(request.Msg.News)
	s.hearVersions(request.Msg.News)
	s.hearTarget(request.Msg.Target)
	reply := s.status.Reply()
	reply.Instance = s.gate.Instance()
	reply.Revision = s.gate.Revision()
	reply.Changing = s.gate.Changing()
	reply.Stale = s.gate.Stale()
	reply.Mark = s.gate.Mark()
	return connect.NewResponse(reply), nil
}

// hearVersions passes on which versions the catalogue names.
func (s *Server) hearVersions(news *wirev1.ConfigNews) {
	if len(news.GetVersions()) == 0 {
		return
	}
	versions := make(map[string]string, len(news.Versions))
	for _, each := range news.Versions {
		versions[each.Model] = each.Version
	}
	s.orders.Versions(news.Revision, versions, rollout.Delay(int(news.Turn), int(news.Pool)))
}

func (s *Server) hearTarget(target *wirev1.EndpointTarget) {
	if target == nil {
		return
	}
	s.orders.Aim(core.Target{
		Epoch:    target.Epoch,
		Sequence: target.Sequence,
		Role:     target.Role,
		Model:    target.Model,
		Adapters: target.Adapters,
	})
}

type runStream = connect.BidiStream[wirev1.RunCall, wirev1.RunEvent]

// Run implements the service.
func (s *Server) Run(ctx context.Context, stream *runStream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	start := first.GetStart()
	if start == nil {
		return connect.NewError(connect.CodeInvalidArgument, errNoStart)
	}
	deadline := time.UnixMilli(start.DeadlineUnixMillis)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sender := &sender{stream: stream, status: s.status}
	interval := heartbeatInterval(start)
	go watchHeartbeats(ctx, cancel, stream, interval)
	go sender.heartbeats(ctx, interval)
	run := &pipeline.Run{Start: start, Arrived: time.Now(), Deadline: deadline, Send: sender.send}
	s.runs.add(run, cancel)
	defer s.runs.remove(run)
	if refused := s.refuse(start); refused != nil {
		return sender.last(run, nil, refused)
	}
	finished, refused := s.chain.Handle(ctx, run)
	return sender.last(run, finished, refused)
}

// refuse returns why a run is not taken at all. A run for another process of
// this agent may be a late copy that the other one has run: this process would
// not know its id.
func (s *Server) refuse(start *wirev1.RunStart) *refusal.Refusal {
	if own := s.gate.Instance(); start.AgentInstance != "" && start.AgentInstance != own {
		return refusal.New(refusal.RunOtherInstance, "run %s is meant for process %s of the agent, this is %s", start.RunId, start.AgentInstance, own)
	}
	if s.status.Down() {
		return refusal.New(refusal.EndpointDown, "the endpoint refuses connections").WithRetryAfter(downRetryAfter)
	}
	if s.status.Leaving() {
		return refusal.New(refusal.Draining, "the endpoint is leaving")
	}
	return nil
}

func heartbeatInterval(start *wirev1.RunStart) time.Duration {
	if start.HeartbeatMillis <= 0 {
		return defaultHeartbeat
	}
	return time.Duration(start.HeartbeatMillis) * time.Millisecond
}

// watchHeartbeats cancels the run when the entry says so, falls silent or closes.
func watchHeartbeats(ctx context.Context, cancel context.CancelCauseFunc, stream *runStream, interval time.Duration) {
	silent := time.AfterFunc(missedHeartbeats*interval, func() { cancel(errSilent) })
	defer silent.Stop()
	for ctx.Err() == nil {
		call, err := stream.Receive()
		if err != nil {
			cancel(errGone)
			return
		}
		if call.GetCancel() != nil {
			cancel(errCancelled)
		}
		silent.Reset(missedHeartbeats * interval)
	}
}
