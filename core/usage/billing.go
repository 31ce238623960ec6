package usage

// RunEnd describes a run that has ended, as the agent knows it.
type RunEnd struct {
	Began    bool // The endpoint may have started the run.
	Complete bool // The endpoint finished the run and the agent forwarded the whole answer.
	// Cancelled is set when the caller disconnected or its deadline passed, so
	// that no other run continues the answer.
	Cancelled bool
	Model     bool // A generation by a model, not a call to a plain service.
	Resumed   bool // The caller had already received output of an earlier run.
	// Reported is the engine's last usage report for the run, or nil if there
	// was none.
	Reported *Figures
	// PassedOn is the number of output tokens that the agent forwarded.
	PassedOn int64
}

// Bill returns the figures to bill for a run, and false if there is nothing to
// bill. The rules are in docs/decisions/billing-rules.md.
func Bill(end RunEnd) (Figures, bool) {
	if !end.Began {
		return Figures{}, false
	}
	if !end.Complete {
		figures := Figures{OutputTokens: end.PassedOn}
		if end.Cancelled && end.Reported != nil {
			figures.PromptTokens = end.Reported.PromptTokens
			figures.CachedTokens = end.Reported.CachedTokens
		}
		return figures, figures != Figures{}
	}
	figures := Figures{Requests: 1}
	if !end.Model {
		return figures, true
	}
	if end.Reported != nil {
		figures.PromptTokens = end.Reported.PromptTokens
		figures.CachedTokens = end.Reported.CachedTokens
		figures.OutputTokens = end.Reported.OutputTokens
	}
	if end.Resumed || end.Reported == nil {
		figures.OutputTokens = end.PassedOn
	}
	return figures, true
}
