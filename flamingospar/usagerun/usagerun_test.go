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

// Environment variables that set the number of seeds and steps and the first
// seed of the long runs.
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

// setDefault sets a flag that isn't given on the command line.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// noDeadline hides the test's deadline, which is in real time and has no meaning
// in virtual time.
type noDeadline struct{ rapid.TB }

func envInt(name string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return value
}

// requireExact clears all faults and fails unless every run was billed once and
// reported with the same figures.
func requireExact(t require.TestingT, s *simulation) result {
	s.clearFaults()
	res, err := s.check(context.Background())
	require.NoError(t, err)
	require.Empty(t, res.violations)
	require.Zero(t, res.leaselessWrites, "writes to the sealed table without the lease")
	require.Zero(t, res.missing, "runs missing without a crash of both processes")
	require.Zero(t, res.tokenError, "token difference between reports and runs")
	require.Zero(t, res.leftBatches, "batches remaining in the table")
	return res
}

// TestLongSeededRuns checks exact billing under random combinations of all
// faults.
func TestLongSeededRuns(t *testing.T) {
	seeds := envInt(envSeeds, 6)
	steps := envInt(envSteps, 250)
	first := envInt(envFirst, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rates := faultRates{loseResponse: 0.05, loseRequest: 0.02, pause: 0.02, slowReport: 0.08, crash: 0.003}
				if seed%2 == 0 {
					rates.slowReport = 0.5
				}
				s := newSimulation(uint64(seed), 3, 4, rates)
				for range steps {
					s.randomStep()
				}
				res := requireExact(t, s)
				t.Logf("seed %d: %d runs, %d lost, %d reports", seed, res.runs, res.lost, len(s.platform.Reports()))
			})
		})
	}
}

func (s *simulation) randomStep() {
	s.serveSome(1 + s.random.IntN(6))
	switch s.random.IntN(40) {
	case 0:
		s.killEntry(s.random.IntN(len(s.entries)))
	case 1:
		s.killAgent(s.random.IntN(len(s.agents)))
	case 2:
		e := s.entries[s.random.IntN(len(s.entries))]
		e.partitioned = !e.partitioned
	case 3:
		a := s.agents[s.random.IntN(len(s.agents))]
		a.partitioned = !a.partitioned
	case 4:
		s.outage = !s.outage
	case 5, 6, 7:
		s.outage = false
	case 8, 9, 10:
		s.endPartitions()
	}
	time.Sleep(time.Duration(1+s.random.IntN(3)) * time.Second)
	s.step(context.Background())
}

// endPartitions ends all partitions.
func (s *simulation) endPartitions() {
	for _, e := range s.entries {
		e.partitioned = false
	}
	for _, a := range s.agents {
		a.partitioned = false
	}
}

func (s *simulation) serveSome(n int) {
	for range n {
		a := s.agents[s.random.IntN(len(s.agents))]
		e := s.entries[s.random.IntN(len(s.entries))]
		s.serve(a, e, s.rates == (faultRates{}) || !s.chance(0.02))
	}
}

// TestOneHourOutage makes the store unavailable for an hour under load. Every
// run must still be billed, in the window in which it ended.
func TestOneHourOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(5, 3, 4, faultRates{})
		minute := func() {
			for range 12 {
				s.serveSome(2)
				time.Sleep(5 * time.Second)
				s.step(context.Background())
			}
		}
		minute()
		s.outage = true
		for range 60 {
			minute()
		}
		s.outage = false
		seconds := s.secondsUntilReported(t)
		t.Logf("all windows of the outage were reported %d s after its end", seconds)
		require.LessOrEqual(t, seconds, 60, "longer than a window of the default length")
		minute()
		res := requireExact(t, s)
		require.Zero(t, res.lost)
		s.requireRunsInOwnWindow(t)
	})
}

// TestRefusedReportDelaysNoOtherTeam guards against a refused report
// of one team that blocks the reports of the other teams.
func TestRefusedReportDelaysNoOtherTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(3, 2, 2, faultRates{})
		s.refusedTeam = "team-3"
		serve := func() {
			for range 24 {
				s.serveSome(6)
				time.Sleep(5 * time.Second)
				s.step(context.Background())
			}
		}
		serve()
		reported := s.reportedFigures()
		require.Len(t, reported, s.teams-1)
		s.refusedTeam = ""
		serve()
		requireExact(t, s)
	})
}

// TestOtherWindowLengthSealsNothing checks that a lease holder configured with
// a different window length seals no windows.
func TestOtherWindowLengthSealsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(4, 1, 2, faultRates{})
		serve := func() {
			for range 12 {
				s.serveSome(3)
				time.Sleep(5 * time.Second)
				s.step(context.Background())
			}
		}
		serve()
		sealed := s.registry.Counter("usage", "windows_sealed")
		require.Positive(t, sealed)
		s.entries[0].sealer = s.entries[0].newSealer(2 * window)
		serve()
		require.Equal(t, sealed, s.registry.Counter("usage", "windows_sealed"))
		s.entries[0].sealer = s.entries[0].newSealer(window)
		requireExact(t, s)
	})
}

// TestStateMachine checks exact billing for sequences of faults that rapid
// generates and shrinks.
func TestStateMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			s := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 2, faultRates{})
			index := rapid.IntRange(0, 1)
			t.Repeat(map[string]func(*rapid.T){
				"serve":           func(t *rapid.T) { s.serveSome(rapid.IntRange(1, 4).Draw(t, "runs")) },
				"sleep":           func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
				"step":            func(*rapid.T) { s.step(context.Background()) },
				"stepEntry":       func(t *rapid.T) { s.entries[index.Draw(t, "entry")].step(context.Background()) },
				"killEntry":       func(t *rapid.T) { s.killEntry(index.Draw(t, "entry")) },
				"killAgent":       func(t *rapid.T) { s.killAgent(index.Draw(t, "agent")) },
				"disconnectEntry": func(t *rapid.T) { s.entries[index.Draw(t, "entry")].partitioned = rapid.Bool().Draw(t, "partitioned") },
				"disconnectAgent": func(t *rapid.T) { s.agents[index.Draw(t, "agent")].partitioned = rapid.Bool().Draw(t, "partitioned") },
				"outage":          func(t *rapid.T) { s.outage = rapid.Bool().Draw(t, "outage") },
				"loseResponses":   func(t *rapid.T) { s.rates.loseResponse = rapid.Float64Range(0, 0.5).Draw(t, "rate") },
				"failInCall":      func(t *rapid.T) { s.rates.crash = rapid.Float64Range(0, 0.02).Draw(t, "rate") },
				"pauses":          func(t *rapid.T) { s.rates.pause = rapid.Float64Range(0, 0.1).Draw(t, "rate") },
			})
			requireExact(t, s)
		})
	})
}
