package engines

// Parameters of the expected lengths of responses.
const (
	// initialTokens and initialEvents are the initial means for a service: the
	// tokens that callers expect, and the events that are received.
	initialTokens = 100.0
	initialEvents = 10.0
	// ewmaWeight is the weight of the latest response in both moving averages.
	ewmaWeight = 0.02
)

// meanLengths holds moving averages over the responses of a service.
type meanLengths struct {
	outputTokens float64 // Output tokens that the caller expected.
	events       float64 // Events received.
}

// ObserveResponse records a complete response. expectedTokens is the number of
// output tokens that the caller expected; a response is ignored if the caller stated
// none.
func (s *Selector) ObserveResponse(service string, expectedTokens, events int) {
	if expectedTokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.responseLengths(service)
	mean.outputTokens += ewmaWeight * (float64(expectedTokens) - mean.outputTokens)
	mean.events += ewmaWeight * (float64(events) - mean.events)
}

// ExpectedEvents returns the expected number of events in a response for which the
// caller expects a number of output tokens.
func (s *Selector) ExpectedEvents(service string, expectedTokens int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.responseLengths(service)
	return float64(expectedTokens) * mean.events / mean.outputTokens
}

func (s *Selector) responseLengths(service string) *meanLengths {
	if s.lengthsByService[service] == nil {
		s.lengthsByService[service] = &meanLengths{outputTokens: initialTokens, events: initialEvents}
	}
	return s.lengthsByService[service]
}
