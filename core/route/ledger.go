package route

// Ledger follows the prompt tokens that an endpoint has yet to process,
// between its reports: it adds what is sent there and drains at the observed
// rate. Times are seconds on one clock of the deciding process.
type Ledger struct {
	Level float64 // Prompt tokens at the time At.
	At    float64
	Rate  float64 // Prompt tokens a second; 0: unknown.
}

// Sent returns the ledger after tokens were sent to the endpoint.
func (l Ledger) Sent(now, tokens float64) Ledger {
	l.Level = l.level(now) + tokens
	l.At = now
	return l
}

// Reported returns the ledger after a report. A report without a rate keeps
// the last one.
func (l Ledger) Reported(now, level, rate float64) Ledger {
	l.Level = max(0, level)
	l.At = now
	if rate > 0 {
		l.Rate = rate
	}
	return l
}

func (l Ledger) level(now float64) float64 {
	return max(0, l.Level-max(0, now-l.At)*l.Rate)
}
