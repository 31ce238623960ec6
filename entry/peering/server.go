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

// Config handles the requests of other entries.
type Config interface {
	HandleExchange(request configview.ExchangeRequest) configview.ExchangeReply
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

// Exchange handles a request of another entry.
func (s *Server) Exchange(_ context.Context, request *connect.Request[wirev1.ExchangeRequest]) (*connect.Response[wirev1.ExchangeReply], error) {
	changes, err := decodeChanges(request.Msg.Changes)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply := s.config.HandleExchange(configview.ExchangeRequest{
		Instance:    request.Msg.Instance,
		Revision:    config.Revision(request.Msg.Revision),
		Changes:     changes,
		OnlyCompare: request.Msg.OnlyCompare,
	})
	message, err := encodeReply(reply)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(message), nil
}

func encodeReply(reply configview.ExchangeReply) (*wirev1.ExchangeReply, error) {
	changes, err := encodeChanges(reply.Changes)
	if err != nil {
		return nil, err
	}
	message := &wirev1.ExchangeReply{
		Instance:         reply.Instance,
		Revision:         int64(reply.Revision),
		Proved:           reply.Proved,
		EvidenceAgeNanos: int64(reply.Age),
		Remembers:        reply.Remembers,
		Changes:          changes,
	}
	if reply.Snapshot != nil {
		message.Snapshot, err = json.Marshal(reply.Snapshot)
	}
	return message, err
}
