package account

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Service is the RPC service through which entries use the ledger.
type Service struct {
	ledger *Ledger
}

// NewService returns a service for ledger.
func NewService(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// Handler returns the path prefix and handler to mount.
func (s *Service) Handler() (string, http.Handler) {
	return wirev1connect.NewUsageServiceHandler(s)
}

// Acknowledge removes records that the entry reports as durable.
func (s *Service) Acknowledge(_ context.Context, request *connect.Request[wirev1.AcknowledgeRequest]) (*connect.Response[wirev1.AcknowledgeReply], error) {
	s.ledger.Acknowledge(request.Msg.Durable)
	return connect.NewResponse(new(wirev1.AcknowledgeReply)), nil
}

// Counts returns the usage of each team and window, and the part of it that is
// not known to be durable.
func (s *Service) Counts(context.Context, *connect.Request[wirev1.CountsRequest]) (*connect.Response[wirev1.CountsReply], error) {
	return connect.NewResponse(s.ledger.countsReply()), nil
}

func (l *Ledger) countsReply() *wirev1.CountsReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(map[countKey]usage.Figures)
	for _, record := range l.held {
		key := countKey{window: record.Window, team: record.Team}
		held[key] = held[key].Plus(record.Figures)
	}
	reply := &wirev1.CountsReply{Source: l.source}
	for key, figures := range l.counts {
		reply.Counts = append(reply.Counts, &wirev1.UsageCount{
			Window:  int64(key.window),
			Team:    key.team,
			Figures: wireFigures(figures),
			Held:    wireFigures(held[key]),
		})
	}
	return reply
}
