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

// ErrNothingSealed means that no window was sealed yet.
var ErrNothingSealed = errors.New("usage: no window was sealed yet; remedy: ask again after the first window and its grace")

// Reconciliation compares the books of a window.
type Reconciliation struct {
	Window       usage.Window          `json:"window"`
	Start        time.Time             `json:"start"`
	SealedWindow usage.Window          `json:"sealed_window"`
	Lines        []usage.ReconcileLine `json:"lines"`
	Silent       []string              `json:"silent,omitempty"` // Processes that did not answer.
}

// Reconcile compares what agents counted, entries counted, was sealed and was
// reported. Window 0 means the newest sealed one.
func (s *Server) Reconcile(ctx context.Context, service tables.Service, window usage.Window) (Reconciliation, error) {
	progress, version, err := usagestore.ReadProgress(ctx, service)
	if err != nil {
		return Reconciliation{}, err
	}
	if version == 0 {
		return Reconciliation{}, ErrNothingSealed
	}
	if window == 0 {
		window = progress.SealedWindow
	}
	books := usage.ReconcileInput{Window: window, SealedWindow: progress.SealedWindow}
	if err := readSealed(ctx, service, progress, &books); err != nil {
		return Reconciliation{}, err
	}
	silent := s.askBooks(ctx, &books)
	return Reconciliation{
		Window:       window,
		Start:        (window - 1).End(s.Identity.Window).UTC(),
		SealedWindow: progress.SealedWindow,
		Lines:        usage.Reconcile(books),
		Silent:       silent,
	}, nil
}

func readSealed(ctx context.Context, service tables.Service, progress usagestore.Progress, books *usage.ReconcileInput) error {
	books.Sealed = make(map[string]usage.TeamTotal)
	books.Reported = make(map[string]usage.Figures)
	parts, err := usagestore.ReadSealedWindow(ctx, service, books.Window)
	if err != nil {
		return err
	}
	for _, part := range parts {
		for _, total := range part.Teams {
			books.Sealed[total.Team] = total
			if part.Key.Row <= progress.ReportedRow {
				books.Reported[total.Team] = total.Figures
			}
		}
	}
	return nil
}

// askBooks asks entries and agents what they counted and returns the silent.
func (s *Server) askBooks(ctx context.Context, books *usage.ReconcileInput) []string {
	var peers []asked
	for _, peer := range s.Peers() {
		peers = append(peers, asked{name: peer.Address, client: peer.Client})
	}
	replies, silent := reports(ctx, peers)
	books.EntriesMissing = len(silent)
	replies["self"] = s.report()
	books.Entries = make(map[string]usage.Figures)
	for _, reply := range replies {
		addCounts(books.Entries, reply.Usage, books.Window, (*wirev1.UsageCount).GetFigures)
	}
	silentAgents := s.askAgents(ctx, books)
	books.AgentsMissing = len(silentAgents)
	return append(silent, silentAgents...)
}

func (s *Server) askAgents(ctx context.Context, books *usage.ReconcileInput) (silent []string) {
	books.Agents = make(map[string]usage.Figures)
	books.Held = make(map[string]usage.Figures)
	var mu sync.Mutex
	slots := make(chan struct{}, askAtOnce)
	var asking sync.WaitGroup
	for _, agent := range s.Fleet.UsageClients() {
		slots <- struct{}{}
		asking.Add(1)
		go func() {
			defer asking.Done()
			defer func() { <-slots }()
			counts, err := askCounts(ctx, agent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, agent.Address)
				return
			}
			addCounts(books.Agents, counts, books.Window, (*wirev1.UsageCount).GetFigures)
			addCounts(books.Held, counts, books.Window, (*wirev1.UsageCount).GetHeld)
		}()
	}
	asking.Wait()
	return silent
}

func askCounts(ctx context.Context, agent fleet.UsageClient) ([]*wirev1.UsageCount, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := agent.Client.Counts(ctx, connect.NewRequest(new(wirev1.CountsRequest)))
	if err != nil {
		return nil, err
	}
	return reply.Msg.Counts, nil
}

func addCounts(sums map[string]usage.Figures, counts []*wirev1.UsageCount, window usage.Window, of func(*wirev1.UsageCount) *wirev1.UsageFigures) {
	for _, count := range counts {
		figures := account.FiguresOf(of(count))
		if usage.Window(count.Window) == window && figures != (usage.Figures{}) {
			sums[count.Team] = sums[count.Team].Plus(figures)
		}
	}
}
