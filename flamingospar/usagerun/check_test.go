package usagerun

import (
	"context"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/usage"
	"flamingospar.org/platform/usagestore"
)

// result is the outcome of a simulation.
type result struct {
	runs, missing, lost int
	tokenError          int64 // Sum over teams of |reported - expected| tokens.
	violations          []string
	leaselessWrites     int
	leftBatches         int // Batches that remain in the table.
}

// check compares the reported usage with the runs. A run may be missing only if
// both processes that held its record have crashed.
func (s *simulation) check(ctx context.Context) (result, error) {
	sources, err := usagestore.ReadSources(ctx, s.platform.Tables)
	if err != nil {
		return result{}, err
	}
	res := result{runs: len(s.runs), violations: s.platform.ReportViolations(), leaselessWrites: s.leaselessWrites}
	expected := make(map[string]usage.Figures)
	for _, run := range s.runs {
		source := sources[run.record.Source]
		switch {
		case source != nil && source.Has(run.record.Sequence):
			expected[run.record.Team] = expected[run.record.Team].Plus(run.record.Figures)
		case run.lost:
			res.lost++
		default:
			res.missing++
		}
	}
	reported := s.reportedFigures()
	for team := range expected {
		difference := reported[team].Minus(expected[team])
		res.tokenError += max(difference.Tokens(), -difference.Tokens())
	}
	err = usagestore.ForEachBatch(ctx, s.platform.Tables, 1<<40, func(usagestore.StoredBatch) error {
		res.leftBatches++
		return nil
	})
	return res, err
}

func (s *simulation) reportedFigures() map[string]usage.Figures {
	type key struct {
		team   string
		window usage.Window
	}
	seen := make(map[key]bool)
	teams := make(map[string]usage.Figures)
	for _, report := range s.platform.Reports() {
		k := key{report.Team, report.Window}
		if !seen[k] {
			seen[k] = true
			teams[report.Team] = teams[report.Team].Plus(report.Figures)
		}
	}
	return teams
}

// requireRunsInOwnWindow fails unless every sealed window holds exactly the
// runs that ended in it.
func (s *simulation) requireRunsInOwnWindow(t require.TestingT) {
	parts, err := usagestore.ReadSealedAfter(context.Background(), s.platform.Tables, "", 1<<20)
	require.NoError(t, err)
	sealed := make(map[usage.Window]usage.Figures)
	for _, part := range parts {
		for _, total := range part.Teams {
			sealed[part.Window] = sealed[part.Window].Plus(total.Figures)
		}
	}
	ended := make(map[usage.Window]usage.Figures)
	for _, run := range s.runs {
		ended[run.record.Window] = ended[run.record.Window].Plus(run.record.Figures)
	}
	require.Equal(t, ended, sealed)
}

// secondsUntilReported steps the simulation every second until all runs that
// had ended at the call are sealed and reported, and returns the seconds taken.
func (s *simulation) secondsUntilReported(t require.TestingT) int {
	last := usage.WindowAt(time.Now(), window)
	for seconds := 1; ; seconds++ {
		require.Less(t, seconds, 3600)
		time.Sleep(time.Second)
		s.step(context.Background())
		progress, _, err := usagestore.ReadProgress(context.Background(), s.platform.Tables)
		require.NoError(t, err)
		parts, err := usagestore.ReadSealedAfter(context.Background(), s.platform.Tables, progress.ReportedRow, 1)
		require.NoError(t, err)
		if progress.SealedWindow >= last && len(parts) == 0 {
			return seconds
		}
	}
}
