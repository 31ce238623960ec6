package observe

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/core/usage"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagestore"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// ErrNoSealedWindow means that no usage window is sealed yet.
var ErrNoSealedWindow = errors.New("usage: no window is sealed yet; remedy: ask again after the first window and its grace period")

// Reconciliation compares the usage of one window as counted by agents and by
// entries, as sealed and as reported.
type Reconciliation struct {
	Window       usage.Window          `json:"window"`
	Start        time.Time             `json:"start"`
	SealedWindow usage.Window          `json:"sealed_window"`
	Lines        []usage.ReconcileLine `json:"lines"`
	Unreachable  []string              `json:"silent,omitempty"` // Processes that did not respond.
}

// Reconcile compares the usage of window as counted by agents and by entries, as
// sealed and as reported. Window 0 means the latest sealed one.
func (s *Server) Reconcile(ctx context.Context, service tables.Service, window usage.Window) (Reconciliation, error) {
	progress, version, err := usagestore.ReadProgress(ctx, service)
	if err != nil {
		return Reconciliation{}, err
	}
	if version == 0 {
		return Reconciliation{}, ErrNoSealedWindow
	}
	if window == 0 {
		window = progress.SealedWindow
	}
	input := usage.ReconcileInput{Window: window, SealedWindow: progress.SealedWindow}
	if err := readSealed(ctx, service, progress, &input); err != nil {
		return Reconciliation{}, err
	}
	unreachable := s.collectCounts(ctx, &input)
	return Reconciliation{
		Window:       window,
		Start:        (window - 1).End(s.Identity.Window).UTC(),
		SealedWindow: progress.SealedWindow,
		Lines:        usage.Reconcile(input),
		Unreachable:  unreachable,
	}, nil
}

// readSealed reads the sealed and the reported totals of the window into input.
func readSealed(ctx context.Context, service tables.Service, progress usagestore.Progress, input *usage.ReconcileInput) error {
	input.Sealed = make(map[string]usage.TeamTotal)
	input.Reported = make(map[string]usage.Figures)
	parts, err := usagestore.ReadSealedWindow(ctx, service, input.Window)
	if err != nil {
		return err
	}
	for _, part := range parts {
		for _, total := range part.Teams {
			input.Sealed[total.Team] = total
			if part.Key.Row <= progress.ReportedRow {
				input.Reported[total.Team] = total.Figures
			}
		}
	}
	return nil
}

// collectCounts reads the counts of entries and agents into input and returns
// the processes that did not respond.
func (s *Server) collectCounts(ctx context.Context, input *usage.ReconcileInput) []string {
	var peers []target
	for _, peer := range s.Peers() {
		peers = append(peers, target{name: peer.Address, client: peer.Client})
	}
	replies, unreachable := fetchReports(ctx, peers)
	input.EntriesMissing = len(unreachable)
	replies["self"] = s.report()
	input.Entries = make(map[string]usage.Figures)
	for _, reply := range replies {
		addCounts(input.Entries, reply.Usage, input.Window, (*wirev1.UsageCount).GetFigures)
	}
	unreachableAgents := s.collectAgentCounts(ctx, input)
	input.AgentsMissing = len(unreachableAgents)
	return append(unreachable, unreachableAgents...)
}

func (s *Server) collectAgentCounts(ctx context.Context, input *usage.ReconcileInput) (unreachable []string) {
	input.Agents = make(map[string]usage.Figures)
	input.Held = make(map[string]usage.Figures)
	var mu sync.Mutex
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for _, agent := range s.Fleet.UsageClients() {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			counts, err := fetchCounts(ctx, agent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, agent.Address)
				return
			}
			addCounts(input.Agents, counts, input.Window, (*wirev1.UsageCount).GetFigures)
			addCounts(input.Held, counts, input.Window, (*wirev1.UsageCount).GetHeld)
		}()
	}
	wg.Wait()
	return unreachable
}

func fetchCounts(ctx context.Context, agent fleet.UsageClient) ([]*wirev1.UsageCount, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := agent.Client.Counts(ctx, connect.NewRequest(new(wirev1.CountsRequest)))
	if err != nil {
		return nil, err
	}
	return reply.Msg.Counts, nil
}

// addCounts adds the figures of a window's counts to the totals of teams.
func addCounts(totals map[string]usage.Figures, counts []*wirev1.UsageCount, window usage.Window, figuresOf func(*wirev1.UsageCount) *wirev1.UsageFigures) {
	for _, count := range counts {
		figures := account.FiguresFromWire(figuresOf(count))
		if usage.Window(count.Window) == window && figures != (usage.Figures{}) {
			totals[count.Team] = totals[count.Team].Plus(figures)
		}
	}
}
