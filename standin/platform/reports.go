package platform

import (
	"context"
	"fmt"

	"flamingospar.org/core/usage"
	"flamingospar.org/platform/usagereport"
)

// reportKey names what may be reported with one set of figures only.
type reportKey struct {
	team   string
	window usage.Window
}

// reportLedger checks usage reports as they come in.
type reportLedger struct {
	reports    []usagereport.Report
	figures    map[reportKey]usage.Figures
	epoch      int64
	holder     string
	violations []string
}

// take notes a report and what is wrong with it.
func (l *reportLedger) take(report usagereport.Report) {
	if l.figures == nil {
		l.figures = make(map[reportKey]usage.Figures)
	}
	l.reports = append(l.reports, report)
	key := reportKey{team: report.Team, window: report.Window}
	before, repeated := l.figures[key]
	if repeated && before != report.Figures {
		l.violate("team %s window %d: %+v after %+v", report.Team, report.Window, report.Figures, before)
	}
	if !repeated {
		l.figures[key] = report.Figures
	}
	switch {
	case report.Epoch < l.epoch:
		l.violate("team %s window %d: holder %s reports under epoch %d after epoch %d", report.Team, report.Window, report.Holder, report.Epoch, l.epoch)
	case report.Epoch == l.epoch && report.Holder != l.holder:
		l.violate("team %s window %d: holders %s and %s share epoch %d", report.Team, report.Window, l.holder, report.Holder, report.Epoch)
	default:
		l.epoch, l.holder = report.Epoch, report.Holder
	}
}

func (l *reportLedger) violate(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Report implements usagereport.Reports.
func (p *Platform) Report(_ context.Context, report usagereport.Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports.take(report)
	return nil
}

// Reports returns all usage reports in the order of arrival.
func (p *Platform) Reports() []usagereport.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]usagereport.Report(nil), p.reports.reports...)
}

// ReportViolations returns what was wrong with usage reports: one window and
// team with different figures, or a holder whose term had ended.
func (p *Platform) ReportViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.reports.violations...)
}
