package route

// maxAlternatives limits how many runners-up a Choice reports.
const maxAlternatives = 3

// Alternative is a candidate that passed all filters but was not chosen.
type Alternative struct {
	Endpoint string
	Score    float64 // Expected cost in seconds, as in Choice.Score.
}

// consider compares a candidate with the current choice. It reports whether the
// candidate became the choice; the one with the higher cost of the two is
// recorded as an alternative.
func (c *Choice) consider(endpoint string, cost float64) bool {
	if c.Endpoint != "" && cost >= c.Score {
		c.addAlternative(Alternative{Endpoint: endpoint, Score: cost})
		return false
	}
	former := Alternative{Endpoint: c.Endpoint, Score: c.Score}
	c.Endpoint, c.Score = endpoint, cost
	if former.Endpoint != "" {
		c.addAlternative(former)
	}
	return true
}

// addAlternative inserts an alternative into the list, which is sorted by score
// and bounded by maxAlternatives. Duplicates are skipped, since random sampling
// can examine a candidate more than once.
func (c *Choice) addAlternative(alternative Alternative) {
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
