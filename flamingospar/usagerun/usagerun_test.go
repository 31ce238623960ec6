package usagerun

import (
	"context"
	"flag"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"flamingospar.org/base/invariant"
)

// Environment variables that make the seeded runs longer.
const (
	envSeeds = "FLAMINGOSPAR_SEEDS"
	envSteps = "FLAMINGOSPAR_STEPS"
	envFirst = "FLAMINGOSPAR_FIRST_SEED"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "7")
	setDefault("rapid.checks", "10")
	setDefault("rapid.nofailfile", "true")
	klog.SetLogger(logr.Discard())
	invariant.SetPanicOnViolation(true)
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line left alone.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// noDeadline hides the test's deadline, which virtual time has none of.
type noDeadline struct{ rapid.TB }

func number(name string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return value
}

// requireExact fails unless every run was billed once and reported alike.
func requireExact(t require.TestingT, w *world) result {
	w.heal()
	res, err := w.check(context.Background())
	require.NoError(t, err)
	require.Empty(t, res.violations)
	require.Zero(t, res.intruders, "changes of what is sealed without the lease")
	require.Zero(t, res.missing, "runs that neither death explains")
	require.Zero(t, res.tokenError, "tokens")
	require.Zero(t, res.left, "batches left in the table")
	return res
}

// TestLongSeededRuns mixes all faults at random.
func TestLongSeededRuns(t *testing.T) {
	seeds := number(envSeeds, 6)
	steps := number(envSteps, 250)
	first := number(envFirst, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chances := odds{loseAnswer: 0.05, loseCall: 0.02, pause: 0.02, slowReport: 0.08, die: 0.003}
				if seed%2 == 0 {
					chances.slowReport = 0.5
				}
				w := newWorld(uint64(seed), 3, 4, chances)
				for range steps {
					w.randomStep()
				}
				res := requireExact(t, w)
				t.Logf("seed %d: %d runs, residue %d, reports %d", seed, res.runs, res.residue, len(w.platform.Reports()))
			})
		})
	}
}

func (w *world) randomStep() {
	w.serveSome(1 + w.random.IntN(6))
	switch w.random.IntN(40) {
	case 0:
		w.killEntry(w.random.IntN(len(w.entries)))
	case 1:
		w.killAgent(w.random.IntN(len(w.agents)))
	case 2:
		e := w.entries[w.random.IntN(len(w.entries))]
		e.cut = !e.cut
	case 3:
		a := w.agents[w.random.IntN(len(w.agents))]
		a.cut = !a.cut
	case 4:
		w.outage = !w.outage
	case 5, 6, 7:
		w.outage = false
	case 8, 9, 10:
		w.mend()
	}
	time.Sleep(time.Duration(1+w.random.IntN(3)) * time.Second)
	w.step(context.Background())
}

// mend ends all partitions.
func (w *world) mend() {
	for _, e := range w.entries {
		e.cut = false
	}
	for _, a := range w.agents {
		a.cut = false
	}
}

func (w *world) serveSome(n int) {
	for range n {
		a := w.agents[w.random.IntN(len(w.agents))]
		e := w.entries[w.random.IntN(len(w.entries))]
		w.serve(a, e, w.odds == (odds{}) || !w.chance(0.02))
	}
}

// TestOutageOfAnHour holds the store down for an hour under traffic.
func TestOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 3, 4, odds{})
		minute := func() {
			for range 12 {
				w.serveSome(2)
				time.Sleep(5 * time.Second)
				w.step(context.Background())
			}
		}
		minute()
		w.outage = true
		for range 60 {
			minute()
		}
		w.outage = false
		seconds := w.secondsUntilReported(t)
		t.Logf("all windows of the outage were reported %d s after it", seconds)
		require.LessOrEqual(t, seconds, 60, "a window of the default length")
		minute()
		res := requireExact(t, w)
		require.Zero(t, res.residue)
		w.requireOwnWindows(t)
	})
}

// TestRefusedReportHoldsNobodyBack has the platform refuse one team for a time.
func TestRefusedReportHoldsNobodyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 2, 2, odds{})
		w.refuse = "team-3"
		serve := func() {
			for range 24 {
				w.serveSome(6)
				time.Sleep(5 * time.Second)
				w.step(context.Background())
			}
		}
		serve()
		reported := w.reportedFigures()
		require.Len(t, reported, w.teams-1)
		w.refuse = ""
		serve()
		requireExact(t, w)
	})
}

// TestOtherWindowLengthSealsNothing gives the holder another length for a time.
func TestOtherWindowLengthSealsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, 1, 2, odds{})
		serve := func() {
			for range 12 {
				w.serveSome(3)
				time.Sleep(5 * time.Second)
				w.step(context.Background())
			}
		}
		serve()
		sealed := w.reports.Counter("usage", "windows_sealed")
		require.Positive(t, sealed)
		w.entries[0].sealer = w.entries[0].newSealer(2 * window)
		serve()
		require.Equal(t, sealed, w.reports.Counter("usage", "windows_sealed"))
		w.entries[0].sealer = w.entries[0].newSealer(window)
		requireExact(t, w)
	})
}

// TestStateMachine lets rapid choose and shrink the order of faults.
func TestStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 2, odds{})
			index := rapid.IntRange(0, 1)
			t.Repeat(map[string]func(*rapid.T){
				"serve":       func(t *rapid.T) { w.serveSome(rapid.IntRange(1, 4).Draw(t, "runs")) },
				"sleep":       func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
				"step":        func(*rapid.T) { w.step(context.Background()) },
				"stepEntry":   func(t *rapid.T) { w.entries[index.Draw(t, "entry")].step(context.Background()) },
				"killEntry":   func(t *rapid.T) { w.killEntry(index.Draw(t, "entry")) },
				"killAgent":   func(t *rapid.T) { w.killAgent(index.Draw(t, "agent")) },
				"cutEntry":    func(t *rapid.T) { w.entries[index.Draw(t, "entry")].cut = rapid.Bool().Draw(t, "cut") },
				"cutAgent":    func(t *rapid.T) { w.agents[index.Draw(t, "agent")].cut = rapid.Bool().Draw(t, "cut") },
				"outage":      func(t *rapid.T) { w.outage = rapid.Bool().Draw(t, "outage") },
				"loseAnswers": func(t *rapid.T) { w.odds.loseAnswer = rapid.Float64Range(0, 0.5).Draw(t, "odds") },
				"deaths":      func(t *rapid.T) { w.odds.die = rapid.Float64Range(0, 0.02).Draw(t, "odds") },
				"pauses":      func(t *rapid.T) { w.odds.pause = rapid.Float64Range(0, 0.1).Draw(t, "odds") },
			})
			requireExact(t, w)
		})
	})
}
