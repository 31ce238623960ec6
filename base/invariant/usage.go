package invariant

// The invariants of usage.
const (
	// UsageReportInTerm: a report leaves only under a valid term.
	UsageReportInTerm Name = "usage_report_in_term"
	// UsageRecordUnchanged: a record keeps its team and figures.
	UsageRecordUnchanged Name = "usage_record_unchanged"
	// UsageLateWithinTotal: the late part of a total is not above the total.
	UsageLateWithinTotal Name = "usage_late_within_total"
)
