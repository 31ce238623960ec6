package relay

import (
	"sync"
	"time"

	"flamingospar.org/core/retrybudget"
)

// RetryBudgets holds the retry budget of each service.
type RetryBudgets struct {
	mu        sync.Mutex
	settings  retrybudget.Settings
	byService map[string]*retrybudget.Budget
}

// NewRetryBudgets returns budgets with the same settings for all services.
func NewRetryBudgets(settings retrybudget.Settings) *RetryBudgets {
	return &RetryBudgets{settings: settings, byService: make(map[string]*retrybudget.Budget)}
}

// Set changes the settings of all budgets.
func (b *RetryBudgets) Set(settings retrybudget.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = settings
	for _, budget := range b.byService {
		budget.Set(settings)
	}
}

func (b *RetryBudgets) get(service string) *retrybudget.Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = retrybudget.New(b.settings)
		b.byService[service] = budget
	}
	return budget
}

func (b *RetryBudgets) addRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).AddRequest(time.Now())
}

func (b *RetryBudgets) take(service string, calls int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Take(time.Now(), calls)
}
