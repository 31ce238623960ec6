package wholesystem

import (
	"fmt"
	"strings"

	"flamingospar.org/standin/engine"
)

// check compares what the caller of r was told with what the endpoints did.
func (w *world) check(r *request) error {
	if r.broken != "" {
		return fmt.Errorf("request %q: %s", r.content, r.broken)
	}
	ran := w.runs(r.content)
	for _, answer := range r.told {
		if err := r.checkAnswer(answer); err != nil {
			return err
		}
	}
	switch {
	case r.ranOnly("not-run") && ran > 0:
		return fmt.Errorf("request %q was told not-run %v and ran %d times", r.content, r.told, ran)
	case (r.kind == claim || r.kind == keyedClaim) && ran > 1:
		return fmt.Errorf("request %q may not be repeated and ran %d times: %v", r.content, ran, r.told)
	case r.answered() && ran == 0:
		return fmt.Errorf("request %q was answered and never ran", r.content)
	}
	return nil
}

func (r *request) answered() bool { return len(r.told) > 0 && r.told[len(r.told)-1].answered() }

// checkAnswer checks every byte.
func (r *request) checkAnswer(answer told) error {
	if answer.status != 200 {
		return nil
	}
	switch r.kind {
	case lookup, claim, keyedClaim:
		if answer.whole && !strings.Contains(answer.body, `"number"`) {
			return fmt.Errorf("request %q: the answer is not whole: %q", r.content, answer.body)
		}
		return nil
	}
	want := engine.Text(r.content, r.tokens)
	if answer.whole && answer.body != want {
		return fmt.Errorf("request %q: answer %q, want %q", r.content, answer.body, want)
	}
	if !strings.HasPrefix(want, answer.body) {
		return fmt.Errorf("request %q: broken-off answer %q is no prefix of %q", r.content, answer.body, want)
	}
	return nil
}

// checkRunIDs checks that no run id was begun twice anywhere.
func (w *world) checkRunIDs() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := make(map[string]int)
	for _, e := range w.endpoints {
		for _, s := range e.services {
			for id, times := range s.CallCounts() {
				begun[id] += times
			}
		}
		for _, g := range e.engines {
			for id, times := range g.StartCounts() {
				begun[id] += times
			}
		}
	}
	for id, times := range begun {
		if times > 1 {
			return fmt.Errorf("run %s was begun %d times", id, times)
		}
	}
	return nil
}

// summary counts requests by kind and by the last thing that they were told.
func summary(requests []*request) map[string]int {
	counts := make(map[string]int)
	for _, r := range requests {
		last := r.told[len(r.told)-1]
		name := fmt.Sprintf("%d %s %s", last.status, last.outcome, last.code)
		if last.status == 200 && !last.whole {
			name = "200 cut"
		}
		counts[fmt.Sprintf("kind %d: %s", r.kind, name)]++
	}
	return counts
}
