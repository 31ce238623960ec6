package route

// maxAlternatives is how many candidates beside the chosen one are kept.
const maxAlternatives = 3

// Alternative is a candidate that was not chosen.
type Alternative struct {
	Endpoint string
	Score    float64 // As Choice.Score.
}

// consider notes a candidate's cost and reports whether it is the choice now;
// otherwise it may be an alternative.
func (c *Choice) consider(endpoint string, cost float64) bool {
	if c.Endpoint != "" && cost >= c.Score {
		c.keep(Alternative{Endpoint: endpoint, Score: cost})
		return false
	}
	former := Alternative{Endpoint: c.Endpoint, Score: c.Score}
	c.Endpoint, c.Score = endpoint, cost
	if former.Endpoint != "" {
		c.keep(former)
	}
	return true
}

// keep puts an alternative among the best, which are sorted by score. A sample
// may bring a candidate twice.
func (c *Choice) keep(alternative Alternative) {
	if alternative.Endpoint == c.Endpoint {
		return
	}
	at := len(c.Alternatives)
	for i, known := range c.Alternatives {
		if known.Endpoint == alternative.Endpoint {
			return
		}
		if alternative.Score < known.Score {
			at = min(at, i)
		}
	}
	if at >= maxAlternatives {
		return
	}
	c.Alternatives = append(c.Alternatives, Alternative{})
	copy(c.Alternatives[at+1:], c.Alternatives[at:])
	c.Alternatives[at] = alternative
	c.Alternatives = c.Alternatives[:min(len(c.Alternatives), maxAlternatives)]
}
