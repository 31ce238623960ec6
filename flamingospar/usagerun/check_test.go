package usagerun

import (
	"context"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/usage"
	"flamingospar.org/platform/usagestore"
)

// result is what a run of the world showed.
type result struct {
	runs, missing, residue int
	tokenError             int64 // Reported less counted tokens.
	violations             []string
	intruders              int
	left                   int // Batches still in the table.
}

// check compares what was reported with what ran. A run may be missing only if
// both processes that held its record are gone.
func (w *world) check(ctx context.Context) (result, error) {
	sources, err := usagestore.ReadSources(ctx, w.platform.Tables)
	if err != nil {
		return result{}, err
	}
	res := result{runs: len(w.runs), violations: w.platform.ReportViolations(), intruders: w.intruders}
	expected := make(map[string]usage.Figures)
	for _, run := range w.runs {
		source := sources[run.record.Source]
		switch {
		case source != nil && source.Has(run.record.Sequence):
			expected[run.record.Team] = expected[run.record.Team].Plus(run.record.Figures)
		case run.residue:
			res.residue++
		default:
			res.missing++
		}
	}
	reported := w.reportedFigures()
	for team := range expected {
		difference := reported[team].Minus(expected[team])
		res.tokenError += max(difference.Tokens(), -difference.Tokens())
	}
	err = usagestore.ForEachBatch(ctx, w.platform.Tables, 1<<40, func(usagestore.StoredBatch) error {
		res.left++
		return nil
	})
	return res, err
}

func (w *world) reportedFigures() map[string]usage.Figures {
	type key struct {
		team   string
		window usage.Window
	}
	seen := make(map[key]bool)
	teams := make(map[string]usage.Figures)
	for _, report := range w.platform.Reports() {
		k := key{report.Team, report.Window}
		if !seen[k] {
			seen[k] = true
			teams[report.Team] = teams[report.Team].Plus(report.Figures)
		}
	}
	return teams
}

// requireOwnWindows fails unless every sealed window holds just the runs that
// ended in it.
func (w *world) requireOwnWindows(t require.TestingT) {
	parts, err := usagestore.ReadSealedAfter(context.Background(), w.platform.Tables, "", 1<<20)
	require.NoError(t, err)
	sealed := make(map[usage.Window]usage.Figures)
	for _, part := range parts {
		for _, total := range part.Teams {
			sealed[part.Window] = sealed[part.Window].Plus(total.Figures)
		}
	}
	ended := make(map[usage.Window]usage.Figures)
	for _, run := range w.runs {
		ended[run.record.Window] = ended[run.record.Window].Plus(run.record.Figures)
	}
	require.Equal(t, ended, sealed)
}

// secondsUntilReported steps each second until every run that has ended by now
// is sealed and reported.
func (w *world) secondsUntilReported(t require.TestingT) int {
	last := usage.WindowAt(time.Now(), window)
	for seconds := 1; ; seconds++ {
		require.Less(t, seconds, 3600)
		time.Sleep(time.Second)
		w.step(context.Background())
		progress, _, err := usagestore.ReadProgress(context.Background(), w.platform.Tables)
		require.NoError(t, err)
		parts, err := usagestore.ReadSealedAfter(context.Background(), w.platform.Tables, progress.ReportedRow, 1)
		require.NoError(t, err)
		if progress.SealedWindow >= last && len(parts) == 0 {
			return seconds
		}
	}
}
