// Package server offers the agent to entries as a connect service. Each run is
// one bidirectional stream with heartbeats both ways.
package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/agent/gate"
	"flamingospar.org/agent/orders"
	"flamingospar.org/agent/pipeline"
	"flamingospar.org/agent/status"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/turns"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Heartbeat limits.
const (
	defaultHeartbeat = 1 * time.Second
	// missedHeartbeats without any message make a stream silent.
	missedHeartbeats = 3
)

// Server implements the agent's service.
type Server struct {
	chain  *pipeline.Chain
	status *status.Status
	gate   *gate.Gate
	orders *orders.Duty
	active sync.WaitGroup
}

// New returns the server of a chain.
func New(chain *pipeline.Chain, s *status.Status, g *gate.Gate, duty *orders.Duty) *Server {
	return &Server{chain: chain, status: s, gate: g, orders: duty}
}

// Handler returns the path prefix and handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return wirev1connect.NewAgentServiceHandler(s)
}

// Wait returns when no run is active.
func (s *Server) Wait() { s.active.Wait() }

// Status implements the service. It takes the entry's news of the configuration.
func (s *Server) Status(_ context.Context, request *connect.Request[wirev1.StatusRequest]) (*connect.Response[wirev1.StatusReply], error) {
	s.gate.Hear(request.Msg.News)
	s.hearVersions(request.Msg.News)
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
	s.orders.Versions(news.Revision, versions, turns.HoldOff(int(news.Turn), int(news.Pool)))
}

type runStream = connect.BidiStream[wirev1.RunCall, wirev1.RunEvent]

// Run implements the service.
func (s *Server) Run(ctx context.Context, stream *runStream) error {
	s.active.Add(1)
	defer s.active.Done()
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	start := first.GetStart()
	if start == nil {
		return connect.NewError(connect.CodeInvalidArgument, errNoStart)
	}
	deadline := time.UnixMilli(start.DeadlineUnixMillis)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sender := &sender{stream: stream, status: s.status}
	interval := heartbeatInterval(start)
	go watchHeartbeats(ctx, cancel, stream, interval)
	go sender.heartbeats(ctx, interval)
	run := &pipeline.Run{Start: start, Arrived: time.Now(), Deadline: deadline, Send: sender.send}
	finished, refused := s.chain.Handle(ctx, run)
	return sender.last(run, finished, refused)
}

func heartbeatInterval(start *wirev1.RunStart) time.Duration {
	if start.HeartbeatMillis <= 0 {
		return defaultHeartbeat
	}
	return time.Duration(start.HeartbeatMillis) * time.Millisecond
}

// watchHeartbeats cancels the run when the entry falls silent or closes.
func watchHeartbeats(ctx context.Context, cancel context.CancelFunc, stream *runStream, interval time.Duration) {
	silent := time.AfterFunc(missedHeartbeats*interval, cancel)
	defer silent.Stop()
	for ctx.Err() == nil {
		if _, err := stream.Receive(); err != nil {
			cancel()
			return
		}
		silent.Reset(missedHeartbeats * interval)
	}
}

// sender serialises the events of one stream.
type sender struct {
	mu     sync.Mutex
	stream *runStream
	status *status.Status
	closed bool
}

func (s *sender) send(event *wirev1.RunEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	return s.stream.Send(event)
}

func (s *sender) heartbeats(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			event := &wirev1.RunEvent{Message: &wirev1.RunEvent_Heartbeat{Heartbeat: new(wirev1.Heartbeat)}, Load: s.status.Load()}
			if s.send(event) != nil {
				return
			}
		}
	}
}

func (s *sender) last(run *pipeline.Run, finished *wirev1.Finished, refused *refusal.Refusal) error {
	event := &wirev1.RunEvent{Load: s.status.Load(), TeamFraction: run.TeamFraction}
	if refused != nil {
		event.Message = &wirev1.RunEvent_Refused{Refused: &wirev1.Refused{
			Code:             string(refused.Code),
			Detail:           refused.Detail,
			RetryAfterMillis: refused.RetryAfter.Milliseconds(),
		}}
	} else {
		event.Message = &wirev1.RunEvent_Finished{Finished: finished}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.stream.Send(event)
}
