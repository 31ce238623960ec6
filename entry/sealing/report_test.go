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

// takenAgain is a lease that this process holds under an epoch.
type takenAgain struct{ epoch lease.Epoch }

func (l takenAgain) Held() (lease.Term, bool) {
	return lease.Term{SentAt: time.Now(), Row: lease.Row{Holder: "this", Epoch: l.epoch, Term: time.Hour}}, true
}

func (takenAgain) Guard() tables.Condition { return tables.Condition{} }

// sent counts the reports that leave.
type sent int

func (s *sent) Report(context.Context, usagereport.Report) error {
	*s++
	return nil
}

// A process that lost the lease and took it again does not send, under the new
// term, what it read as due under the former one.
func TestNoReportOfAFormerTerm(t *testing.T) {
	var reports sent
	s := New(nil, &reports, takenAgain{epoch: 7}, Config{}, meter.NewRegistry())
	s.epoch = 5
	require.ErrorIs(t, s.reportTeam(t.Context(), 1, usage.TeamTotal{Team: "team"}), ErrTermEnded)
	require.Zero(t, reports)
	s.epoch = 7
	require.NoError(t, s.reportTeam(t.Context(), 1, usage.TeamTotal{Team: "team"}))
	require.EqualValues(t, 1, reports)
}
