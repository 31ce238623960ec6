package sealing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/usage"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
)

// heldLease is a lease that this process holds with a fixed epoch.
type heldLease struct{ epoch lease.Epoch }

func (l heldLease) Held() (lease.Term, bool) {
	return lease.Term{SentAt: time.Now(), Row: lease.Row{Holder: "this", Epoch: l.epoch, Term: time.Hour}}, true
}

func (heldLease) Guard() tables.Condition { return tables.Condition{} }

// reportCounter counts the reports that are sent.
type reportCounter int

func (s *reportCounter) Report(context.Context, usagereport.Report) error {
	*s++
	return nil
}

// A process that lost the lease and acquired it again must not send, in the new
// term, the reports that it read as due in the earlier one.
func TestNoReportFromAnEarlierTerm(t *testing.T) {
	var reports reportCounter
	s := New(nil, &reports, heldLease{epoch: 7}, Config{}, meter.NewRegistry())
	s.epoch = 5
	require.ErrorIs(t, s.reportTeam(t.Context(), 1, usage.TeamTotal{Team: "team"}), ErrTermEnded)
	require.Zero(t, reports)
	s.epoch = 7
	require.NoError(t, s.reportTeam(t.Context(), 1, usage.TeamTotal{Team: "team"}))
	require.EqualValues(t, 1, reports)
}
