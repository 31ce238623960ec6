package invariant

// Invariants of usage accounting.
const (
	// UsageReportInTerm: usage is reported only during a valid lease term.
	UsageReportInTerm Name = "usage_report_in_term"
	// UsageRecordUnchanged: the team and figures of a record don't change.
	UsageRecordUnchanged Name = "usage_record_unchanged"
	// UsageLateWithinTotal: the late usage in a total doesn't exceed the total.
	UsageLateWithinTotal Name = "usage_late_within_total"
)
