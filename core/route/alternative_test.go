package route

import "testing"

// TestAlternativesAreTheNextBest offers candidates in rising and falling order
// of cost, some of them twice, and expects the same sorted alternatives.
func TestAlternativesAreTheNextBest(t *testing.T) {
	costs := map[string]float64{"a": 5, "b": 4, "c": 1, "d": 3, "e": 2}
	for _, order := range [][]string{{"a", "b", "c", "d", "e"}, {"e", "d", "c", "b", "a"}, {"c", "e", "c", "d", "e", "b", "a", "c"}} {
		var choice Choice
		for _, endpoint := range order {
			choice.consider(endpoint, costs[endpoint])
		}
		if choice.Endpoint != "c" {
			t.Fatalf("order %v: chose %s", order, choice.Endpoint)
		}
		for i, want := range []string{"e", "d", "b"} {
			if choice.Alternatives[i].Endpoint != want {
				t.Fatalf("order %v: alternatives %v", order, choice.Alternatives)
			}
		}
	}
}
