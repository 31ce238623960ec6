package fair

// learningRate is the weight of the latest observation in a team's moving average.
const learningRate = 0.1

// Predictor predicts the output tokens of a run by an exponential moving average of
// its team's previous runs. It is not safe for concurrent use.
type Predictor struct {
	initial float64            // Prediction for a team without observations, in tokens.
	limit   int                // Maximum number of teams kept.
	tokens  map[string]float64 // Moving average by team.
}

// NewPredictor returns a predictor that starts each team at the given number of
// tokens and keeps at most limit teams.
func NewPredictor(initial float64, limit int) *Predictor {
	return &Predictor{initial: initial, limit: limit, tokens: make(map[string]float64)}
}

// Predict returns the expected output tokens of a team's run. maxTokens is the
// caller's limit on the output, or 0 if there is none.
func (p *Predictor) Predict(team string, maxTokens int) float64 {
	expected, known := p.tokens[team]
	if !known {
		expected = p.initial
	}
	if maxTokens > 0 {
		expected = min(expected, float64(maxTokens))
	}
	return expected
}

// Learn updates the team's average with the output tokens of a finished run.
func (p *Predictor) Learn(team string, tokens int) {
	previous, known := p.tokens[team]
	if !known {
		evictIfFull(p.tokens, p.limit)
		previous = p.initial
	}
	p.tokens[team] = previous + learningRate*(float64(tokens)-previous)
}
