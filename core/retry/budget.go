package retry

// Parameters of the budget.
const (
	// BudgetRatio is the share of requests that may be retried in the long run.
	BudgetRatio = 0.08
	// BudgetBurst is the capacity of the bucket: the number of retries that may
	// be sent at once when it is full.
	BudgetBurst = 64
	// resumeReserve is the part of the capacity that only Resume may use.
	resumeReserve = 16
)

// Budget is a token bucket to which each request adds BudgetRatio tokens and from
// which each retry takes one. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: BudgetBurst} }

// AddRequest adds the tokens of one request.
func (b *Budget) AddRequest() { b.tokens = min(BudgetBurst, b.tokens+BudgetRatio) }

// Take reports whether a retry of the kind may be sent, and if so takes its token.
// A Handover needs no token.
func (b *Budget) Take(kind Kind) bool {
	floor := 0.0
	if kind == Restart {
		floor = resumeReserve
	}
	if kind == Handover {
		return true
	}
	if b.tokens < floor+1 {
		return false
	}
	b.tokens--
	return true
}
