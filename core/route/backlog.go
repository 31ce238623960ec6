package route

// Backlog estimates the prompt tokens that an endpoint has yet to process. Between
// reports from the endpoint it adds the tokens sent there and subtracts what the
// endpoint processes at its observed rate. Times are seconds on the clock of the
// process that keeps the estimate.
type Backlog struct {
	Tokens     float64 // Unprocessed prompt tokens at UpdatedAt.
	UpdatedAt  float64
	PromptRate float64 // Prompt tokens processed per second; 0 if unknown.
}

// Add returns the backlog after tokens have been sent to the endpoint.
func (b Backlog) Add(now, tokens float64) Backlog {
	b.Tokens = b.tokensAt(now) + tokens
	b.UpdatedAt = now
	return b
}

// Update returns the backlog after a report from the endpoint. A report without a
// rate keeps the previous rate.
func (b Backlog) Update(now, tokens, rate float64) Backlog {
	b.Tokens = max(0, tokens)
	b.UpdatedAt = now
	if rate > 0 {
		b.PromptRate = rate
	}
	return b
}

// tokensAt returns the estimated unprocessed prompt tokens at a time.
func (b Backlog) tokensAt(now float64) float64 {
	return max(0, b.Tokens-max(0, now-b.UpdatedAt)*b.PromptRate)
}
