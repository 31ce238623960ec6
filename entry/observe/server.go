// Package observe answers operators' queries about the whole system from any
// entry: why a decision was made, the status of the fleet, and whether the counts
// of usage agree. It reads from the other entries and the agents and changes
// nothing.
package observe

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/journal"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/config"
	"flamingospar.org/core/lease"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
	"flamingospar.org/wire/journalwire"
)

// Identity describes the entry. It does not change while the process runs.
type Identity struct {
	Instance   string
	DataCentre string
	Window     time.Duration // Length of usage windows.
}

// Config returns the configuration in force, or nil if there is none yet.
type Config interface {
	Current() *config.State
}

// Lease is a lease that this entry holds or competes for.
type Lease interface {
	Held() (lease.Term, bool)
}

// NamedLease is a lease with its name in the table service.
type NamedLease struct {
	Name  string
	Lease Lease
}

// Peer is the observe service of another entry.
type Peer struct {
	Address string
	Client  wirev1connect.ObserveServiceClient
}

// Server implements the observe service of this entry and queries those of the
// other processes.
type Server struct {
	Identity Identity
	Journal  *journal.Journal
	Meter    *meter.Registry
	Config   Config
	Fleet    *fleet.View
	Counts   *account.Counts
	Leases   []NamedLease
	Ready    func() bool
	Peers    func() []Peer // The other entries.
}

// Handler returns the path prefix and the handler that serve other entries.
func (s *Server) Handler() (string, http.Handler) {
	return wirev1connect.NewObserveServiceHandler(s)
}

// Find returns the events of this entry's journal that match the request.
func (s *Server) Find(_ context.Context, request *connect.Request[wirev1.FindRequest]) (*connect.Response[wirev1.FindReply], error) {
	reply := new(wirev1.FindReply)
	for _, event := range s.Journal.Find(queryOf(request.Msg)) {
		reply.Events = append(reply.Events, journalwire.Encode(event))
	}
	return connect.NewResponse(reply), nil
}

// Report returns the state of this entry.
func (s *Server) Report(context.Context, *connect.Request[wirev1.ReportRequest]) (*connect.Response[wirev1.ReportReply], error) {
	return connect.NewResponse(s.report()), nil
}

func (s *Server) report() *wirev1.ReportReply {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	reply := &wirev1.ReportReply{
		Instance:   s.Identity.Instance,
		DataCentre: s.Identity.DataCentre,
		Ready:      s.Ready(),
		Revision:   s.revision(),
		HeapBytes:  int64(memory.HeapAlloc),
		Goroutines: int64(runtime.NumGoroutine()),
		Usage:      s.Counts.ToWire(),
	}
	for _, named := range s.Leases {
		term, held := named.Lease.Held()
		reply.Leases = append(reply.Leases, &wirev1.LeaseReport{
			Name:   named.Name,
			Holder: term.Row.Holder,
			Epoch:  int64(term.Row.Epoch),
			Held:   held,
		})
	}
	s.Meter.EachCounter(func(name string, value int64) {
		reply.Counters = append(reply.Counters, &wirev1.CounterReport{Name: name, Value: value})
	})
	return reply
}

func (s *Server) revision() int64 {
	if state := s.Config.Current(); state != nil {
		return int64(state.Revision)
	}
	return 0
}

func queryOf(request *wirev1.FindRequest) journal.Query {
	return journal.Query{
		Request:  request.Request,
		Team:     request.Team,
		Endpoint: request.Endpoint,
		Limit:    int(request.Limit),
	}
}
