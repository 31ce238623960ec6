package peering

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Config answers the questions of other entries.
type Config interface {
	HandleExchange(question configview.ExchangeRequest) configview.ExchangeReply
}

// Server serves the ConfigService, through which other entries exchange
// configuration with this one.
type Server struct {
	config Config
}

// NewServer returns a server that answers from c.
func NewServer(c Config) *Server { return &Server{config: c} }

// Handler returns the path prefix and the handler to mount there.
func (s *Server) Handler() (string, http.Handler) {
	return wirev1connect.NewConfigServiceHandler(s)
}

// Exchange answers the question of another entry.
func (s *Server) Exchange(_ context.Context, request *connect.Request[wirev1.ExchangeRequest]) (*connect.Response[wirev1.ExchangeReply], error) {
	changes, err := decodeChanges(request.Msg.Changes)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := s.config.HandleExchange(configview.ExchangeRequest{
		Instance:    request.Msg.Instance,
		Revision:    config.Revision(request.Msg.Revision),
		Changes:     changes,
		OnlyCompare: request.Msg.OnlyCompare,
	})
	reply, err := encodeReply(answer)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(reply), nil
}

func encodeReply(answer configview.ExchangeReply) (*wirev1.ExchangeReply, error) {
	changes, err := encodeChanges(answer.Changes)
	if err != nil {
		return nil, err
	}
	reply := &wirev1.ExchangeReply{
		Instance:         answer.Instance,
		Revision:         int64(answer.Revision),
		Proved:           answer.Proved,
		EvidenceAgeNanos: int64(answer.Age),
		Remembers:        answer.Remembers,
		Changes:          changes,
	}
	if answer.Snapshot != nil {
		reply.Snapshot, err = json.Marshal(answer.Snapshot)
	}
	return reply, err
}
