// Package explain records the outcome of each run in the agent's journal and
// serves the journal and the agent's state to entries.
package explain

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/agent/status"
	"flamingospar.org/base/journal"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
	"flamingospar.org/wire/journalwire"
)

// Observer records the outcome of each run in the journal.
type Observer struct {
	journal  *journal.Journal
	endpoint string
}

// NewObserver returns an observer for the runs on endpoint.
func NewObserver(j *journal.Journal, endpoint string) *Observer {
	return &Observer{journal: j, endpoint: endpoint}
}

func (o *Observer) Observe(run *pipeline.Run, finished *wirev1.Finished, refused *refusal.Refusal) {
	event := journal.Event{
		Part:     "agent/pipeline",
		Request:  RequestID(run.Start.RunId),
		Team:     run.Start.Team,
		Endpoint: o.endpoint,
		Facts: []journal.Fact{
			{Name: "run", Value: run.Start.RunId},
			{Name: "millis", Value: strconv.FormatInt(time.Since(run.ArrivedAt).Milliseconds(), 10)},
		},
	}
	if refused != nil {
		event.Code = string(refused.Code)
		event.Sentence = "The run was refused: " + refused.Detail + "."
	} else {
		event.Code = finished.Code
		event.Sentence = "The run ended: " + strings.TrimPrefix(finished.Outcome.String(), "OUTCOME_") + "."
		event.Facts = append(event.Facts, journal.Fact{Name: "passed_on_tokens", Value: strconv.FormatInt(run.PassedOn, 10)})
		if finished.Detail != "" {
			event.Facts = append(event.Facts, journal.Fact{Name: "detail", Value: finished.Detail})
		}
	}
	o.journal.Record(event)
}

// RequestID returns the id of the request that a run id belongs to.
func RequestID(runID string) string {
	request, _, _ := strings.Cut(runID, "/")
	return request
}

// Service implements the ObserveService RPCs.
type Service struct {
	journal *journal.Journal
	status  *status.Status
	meter   *meter.Registry
}

// NewService returns a service over the journal, the status and the counters.
func NewService(j *journal.Journal, s *status.Status, registry *meter.Registry) *Service {
	return &Service{journal: j, status: s, meter: registry}
}

// Handler returns the path prefix and handler to mount.
func (s *Service) Handler() (string, http.Handler) {
	return wirev1connect.NewObserveServiceHandler(s)
}

// Find returns the journal's events that match the request.
func (s *Service) Find(_ context.Context, request *connect.Request[wirev1.FindRequest]) (*connect.Response[wirev1.FindReply], error) {
	events := s.journal.Find(journal.Query{
		Request:  request.Msg.Request,
		Team:     request.Msg.Team,
		Endpoint: request.Msg.Endpoint,
		Limit:    int(request.Msg.Limit),
	})
	reply := new(wirev1.FindReply)
	for _, event := range events {
		reply.Events = append(reply.Events, journalwire.Encode(event))
	}
	return connect.NewResponse(reply), nil
}

// Report returns the process's state, memory use and counters.
func (s *Service) Report(context.Context, *connect.Request[wirev1.ReportRequest]) (*connect.Response[wirev1.ReportReply], error) {
	state := s.status.Reply()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	reply := &wirev1.ReportReply{
		Instance:   state.Instance,
		DataCentre: state.DataCentre,
		Ready:      !state.Load.GetLeaving(),
		Revision:   state.Revision,
		HeapBytes:  int64(memory.HeapAlloc),
		Goroutines: int64(runtime.NumGoroutine()),
	}
	s.meter.EachCounter(func(name string, value int64) {
		reply.Counters = append(reply.Counters, &wirev1.CounterReport{Name: name, Value: value})
	})
	return connect.NewResponse(reply), nil
}
