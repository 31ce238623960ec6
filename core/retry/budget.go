package retry

// Shape of the budget.
const (
	// Ratio is the share of requests that may be retried in the long run.
	Ratio = 0.08
	// Burst is how many retries may come at once after a quiet time.
	Burst = 64
	// resumeReserve is the part of the burst that only resumed answers may use.
	resumeReserve = 16
)

// Budget is a token bucket that each request fills by Ratio and each retry
// empties by one. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Request adds the share of one request.
func (b *Budget) Request() { b.tokens = min(Burst, b.tokens+Ratio) }

// Take reports whether a retry of the kind may be sent, and pays for it.
func (b *Budget) Take(kind Kind) bool {
	floor := 0.0
	if kind == Again {
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
