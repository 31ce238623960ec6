package engines

import (
	"time"

	"flamingospar.org/core/placement"
)

// Send records that a prompt is sent to an engine. fetched is the number of its
// tokens that the engine can fetch from another one. Send returns nil if the engine
// is no longer known.
func (s *Selector) Send(id string, prompt placement.Prompt, level, fetched int) *PromptAssignment {
	return s.assign(id, prompt, func(engine *placement.Engine) *placement.Assignment {
		return engine.Send(s.now(), prompt, level, fetched)
	})
}

// SendPrefilled records that a prompt is sent to an engine after prefill on another
// one. It returns nil if the engine is no longer known.
func (s *Selector) SendPrefilled(id string, prompt placement.Prompt, level int) *PromptAssignment {
	return s.assign(id, prompt, func(engine *placement.Engine) *placement.Assignment {
		return engine.SendPrefilled(s.now(), prompt, level)
	})
}

func (s *Selector) assign(id string, prompt placement.Prompt, send func(*placement.Engine) *placement.Assignment) *PromptAssignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, ok := s.enginesByID[id]
	if !ok {
		return nil
	}
	s.sentPrompts.add(id, prompt.Parts)
	return &PromptAssignment{selector: s, engine: engine, assignment: send(engine)}
}

// PromptAssignment is a prompt that was sent to an engine. The methods of a nil
// PromptAssignment do nothing.
type PromptAssignment struct {
	selector   *Selector
	engine     *placement.Engine
	assignment *placement.Assignment
}

// Predicted returns the predicted time until the prefill is done.
func (a *PromptAssignment) Predicted() time.Duration {
	if a == nil {
		return 0
	}
	return a.assignment.Predicted
}

// PrefillDone records that the engine has finished the prefill.
func (a *PromptAssignment) PrefillDone() {
	if a == nil {
		return
	}
	a.selector.mu.Lock()
	defer a.selector.mu.Unlock()
	a.assignment.PrefillDone(a.selector.now())
	a.engine.LastAnswer = a.selector.now()
	a.selector.checkSpeeds(a.selector.now())
}

// Cancel records that the engine will not run the prefill. It has no effect after
// PrefillDone.
func (a *PromptAssignment) Cancel() {
	if a == nil {
		return
	}
	a.selector.mu.Lock()
	defer a.selector.mu.Unlock()
	a.assignment.Cancel(a.selector.now())
}
