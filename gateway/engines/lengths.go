package engines

// Expected lengths of answers.
const (
	// assumedTokens and assumedEvents are the means of a service's answers until
	// some were seen: the tokens that callers expect, and the events that come.
	assumedTokens = 100.0
	assumedEvents = 10.0
	// learnLength is the share of the latest answer in both.
	learnLength = 0.02
)

// lengths are means over the answers of a service.
type lengths struct {
	tokens float64 // That callers expected.
	events float64 // That came.
}

// NoteAnswer notes a whole answer of some events, of which the caller expected
// some tokens; 0 when it did not say.
func (l *Ledger) NoteAnswer(service string, expectedTokens, events int) {
	if expectedTokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.length(service)
	mean.tokens += learnLength * (float64(expectedTokens) - mean.tokens)
	mean.events += learnLength * (float64(events) - mean.events)
}

// ExpectedEvents returns the events of an answer of which the caller expects some
// tokens.
func (l *Ledger) ExpectedEvents(service string, expectedTokens int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.length(service)
	return float64(expectedTokens) * mean.events / mean.tokens
}

func (l *Ledger) length(service string) *lengths {
	if l.lengths[service] == nil {
		l.lengths[service] = &lengths{tokens: assumedTokens, events: assumedEvents}
	}
	return l.lengths[service]
}
