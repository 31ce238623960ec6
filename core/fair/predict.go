package fair

// learnRate is the weight of the newest answer in a team's prediction.
const learnRate = 0.1

// Predictor predicts the output tokens of a run from its team's last answers.
// It is not safe for concurrent use.
type Predictor struct {
	start  float64 // Tokens predicted for a team without answers.
	limit  int     // Teams remembered.
	tokens map[string]float64
}

// NewPredictor returns a predictor that begins at start tokens and remembers
// at most limit teams.
func NewPredictor(start float64, limit int) *Predictor {
	return &Predictor{start: start, limit: limit, tokens: make(map[string]float64)}
}

// Predict returns the expected output tokens of a team's run. maxTokens is the
// caller's own bound; 0 when it set none.
func (p *Predictor) Predict(team string, maxTokens int) float64 {
	expected, known := p.tokens[team]
	if !known {
		expected = p.start
	}
	if maxTokens > 0 {
		expected = min(expected, float64(maxTokens))
	}
	return expected
}

// Learn takes the output tokens of a finished answer.
func (p *Predictor) Learn(team string, tokens int) {
	previous, known := p.tokens[team]
	if !known {
		makeRoom(p.tokens, p.limit)
		previous = p.start
	}
	p.tokens[team] = previous + learnRate*(float64(tokens)-previous)
}
