package route

// maxAlternatives is how many candidates beside the chosen one are kept.
const maxAlternatives = 3

// Alternative is a candidate that was not chosen.
type Alternative struct {
	Endpoint string
	Score    float64 // Lower is better.
}

// consider notes a candidate's cost; it becomes the choice or an alternative.
func (c *Choice) consider(endpoint string, cost float64) {
	if c.Endpoint == "" || cost < c.Score {
		if c.Endpoint != "" {
			c.keep(Alternative{Endpoint: c.Endpoint, Score: c.Score})
		}
		c.Endpoint, c.Score = endpoint, cost
		return
	}
	c.keep(Alternative{Endpoint: endpoint, Score: cost})
}

// keep puts an alternative among the best, which are sorted by score.
func (c *Choice) keep(alternative Alternative) {
	at := len(c.Alternatives)
	for at > 0 && alternative.Score < c.Alternatives[at-1].Score {
		at--
	}
	if at >= maxAlternatives {
		return
	}
	c.Alternatives = append(c.Alternatives, Alternative{})
	copy(c.Alternatives[at+1:], c.Alternatives[at:])
	c.Alternatives[at] = alternative
	if len(c.Alternatives) > maxAlternatives {
		c.Alternatives = c.Alternatives[:maxAlternatives]
	}
}
