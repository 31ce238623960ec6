package usage

// RunEnd is what an agent knows of a run when it has ended.
type RunEnd struct {
	Began    bool // The endpoint may have begun the run.
	Complete bool // The endpoint finished the run and its whole answer passed.
	// Cancelled is set when the caller left or its deadline passed, so that no
	// other run continues the answer.
	Cancelled bool
	Model     bool // A generation rather than a call of a plain service.
	Resumed   bool // The caller already had output of an earlier run.
	// Reported is the engine's last report of the run; nil when there was none.
	Reported *Figures
	// PassedOn is the number of output tokens that the agent passed on.
	PassedOn int64
}

// Bill returns what a run is billed and whether there is anything to bill. See
// docs/decisions/billing-rules.md.
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
