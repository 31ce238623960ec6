package engines

import "time"

// classPlainChoice and maxChoiceLinesPerSec bound the lines about choices of plain endpoints.
const (
	classPlainChoice     = "plain_choice"
	maxChoiceLinesPerSec = 2
)

// logPlainChoice writes a line about the choice of an endpoint, with what is known of all
// endpoints of its service. s.mu must be held.
func (s *Selector) logPlainChoice(requestID string, chosen *plainEndpoint) {
	if chosen.measured == nil {
		return
	}
	ok, omitted := s.lines.Allow(classPlainChoice, maxChoiceLinesPerSec)
	if !ok {
		return
	}
	now := s.now()
	var known []plainChoice
	for _, plain := range s.plainByService[chosen.endpoint.Service] {
		if len(known) < maxLoggedEndpoints {
			known = append(known, s.plainChoice(now, plain))
		}
	}
	log.Info("A plain endpoint is chosen by its predicted time to the answer.", "request", requestID, "endpoint", chosen.endpoint.ID, "service", chosen.endpoint.Service, "known", known, "lines_omitted", omitted)
}

// maxLoggedEndpoints bounds the endpoints of a line.
const maxLoggedEndpoints = 8

// plainChoice is what a choice knew of one endpoint.
type plainChoice struct {
	Endpoint    string  `json:"endpoint"`
	PredictedMS int64   `json:"predicted_ms"`
	AnswerMS    int64   `json:"answer_ms"` // Below the knee.
	InFlight    int     `json:"in_flight"` // Of this process.
	Others      float64 `json:"others"`    // Requests of other processes, by their reports.
	OldestMS    int64   `json:"oldest_report_ms"`
	Knee        float64 `json:"knee"`
	PassedOver  string  `json:"passed_over,omitempty"`
}

// plainChoice returns what is known of one endpoint for a line. s.mu must be held.
func (s *Selector) plainChoice(now time.Time, plain *plainEndpoint) plainChoice {
	predicted := s.predictPlain(now, plain)
	return plainChoice{
		Endpoint: plain.endpoint.ID, PredictedMS: predicted.Time.Milliseconds(), AnswerMS: predicted.Answer.Milliseconds(),
		InFlight: plain.running, Others: predicted.Others, OldestMS: predicted.OldestReport.Milliseconds(), Knee: predicted.Knee,
		PassedOver: string(plain.PassOver(now, false).Reason),
	}
}
