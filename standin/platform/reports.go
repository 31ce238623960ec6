package platform

import (
	"context"
	"fmt"

	"flamingospar.org/core/usage"
	"flamingospar.org/platform/usagereport"
)

// reportKey identifies a team's window. All reports of it must have the same
// figures.
type reportKey struct {
	team   string
	window usage.Window
}

// reportChecker records usage reports and checks each on arrival.
type reportChecker struct {
	reports    []usagereport.Report
	figures    map[reportKey]usage.Figures
	epoch      int64
	holder     string
	violations []string
}

// record appends a report and adds its violations, if any.
func (l *reportChecker) record(report usagereport.Report) {
	if l.figures == nil {
		l.figures = make(map[reportKey]usage.Figures)
	}
	l.reports = append(l.reports, report)
	key := reportKey{team: report.Team, window: report.Window}
	first, seen := l.figures[key]
	if seen && first != report.Figures {
		l.addViolation("team %s window %d: figures %+v reported after %+v", report.Team, report.Window, report.Figures, first)
	}
	if !seen {
		l.figures[key] = report.Figures
	}
	switch {
	case report.Epoch < l.epoch:
		l.addViolation("team %s window %d: holder %s reports under epoch %d after epoch %d", report.Team, report.Window, report.Holder, report.Epoch, l.epoch)
	case report.Epoch == l.epoch && report.Holder != l.holder:
		l.addViolation("team %s window %d: holders %s and %s share epoch %d", report.Team, report.Window, l.holder, report.Holder, report.Epoch)
	default:
		l.epoch, l.holder = report.Epoch, report.Holder
	}
}

func (l *reportChecker) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Report accepts every report; ReportViolations returns what is wrong with them.
func (p *Platform) Report(_ context.Context, report usagereport.Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports.record(report)
	return nil
}

// Reports returns all usage reports in the order of arrival.
func (p *Platform) Reports() []usagereport.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]usagereport.Report(nil), p.reports.reports...)
}

// ReportViolations returns the violations found in usage reports: different
// figures for the same team and window, a report from a holder whose term had
// ended, or two holders with the same epoch.
func (p *Platform) ReportViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.reports.violations...)
}
