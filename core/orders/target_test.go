package orders

import "testing"

// Guards against a decision of a former lease holder overriding one of the
// current holder because the former one had reached a higher sequence number.
func TestTargetOfANewerEpochReplacesAnOlderOne(t *testing.T) {
	cases := []struct {
		name       string
		this, that Target
		after      bool
	}{
		{"newer epoch, lower sequence", Target{Epoch: 2, Sequence: 1}, Target{Epoch: 1, Sequence: 9}, true},
		{"older epoch, higher sequence", Target{Epoch: 1, Sequence: 9}, Target{Epoch: 2, Sequence: 1}, false},
		{"newer epoch, same sequence", Target{Epoch: 2, Sequence: 1}, Target{Epoch: 1, Sequence: 1}, true},
		{"same epoch, higher sequence", Target{Epoch: 1, Sequence: 2}, Target{Epoch: 1, Sequence: 1}, true},
		{"the same", Target{Epoch: 1, Sequence: 1}, Target{Epoch: 1, Sequence: 1}, false},
	}
	for _, c := range cases {
		if c.this.Supersedes(c.that) != c.after {
			t.Errorf("%s: got %v", c.name, !c.after)
		}
	}
}
