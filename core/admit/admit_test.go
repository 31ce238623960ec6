package admit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/fair"
	"flamingospar.org/core/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 6})
	os.Exit(m.Run())
}

// TestGateEndsEachRunOnce compares a gate with a simple model of an engine: each run
// is started, refused or cancelled exactly once, the engine never has more runs than
// slots, and no run starts that the gate expects to be late.
func TestGateEndsEachRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultGateSettings()
		settings.MaxRunning = rapid.IntRange(1, 6).Draw(t, "slots")
		settings.MaxWaiting = rapid.IntRange(1, 12).Draw(t, "waiting")
		settings.ShortestFirst = rapid.Bool().Draw(t, "short")
		g := NewGate(settings)
		now := time.Duration(0)
		waiting := make(map[string]Run)
		running := make(map[string]bool)
		next := 0
		end := func(refused []Refused) {
			for _, r := range refused {
				require.Contains(t, waiting, r.ID, "refused but not waiting")
				require.Positive(t, r.Decision.RetryAfter)
				delete(waiting, r.ID)
			}
		}
		pump := func() {
			for {
				backlog, rate := g.backlog, g.rate.value()
				id, ok, refused := g.Next(now)
				end(refused)
				if !ok {
					break
				}
				run := waiting[id]
				require.Contains(t, waiting, id)
				if run.HasDeadline {
					require.LessOrEqual(t, now+seconds((backlog+run.PromptTokens)/rate), run.FirstTokenDeadline, "a late run was started")
				}
				reserved := int(settings.UrgentSlotFraction * float64(g.slots.limit()))
				require.True(t, run.Class == 0 || len(running) < g.slots.limit()-reserved, "a batch run took a reserved slot")
				delete(waiting, id)
				running[id] = true
			}
			require.LessOrEqual(t, len(running), settings.MaxRunning)
			require.LessOrEqual(t, len(waiting), settings.MaxWaiting)
			require.Equal(t, len(waiting), g.Load().Waiting)
			require.Equal(t, len(running), g.Load().Running)
			require.True(t, len(waiting) == 0 || len(running) > 0, "work conservation: runs wait while the engine is idle")
		}
		anyRunning := func() string {
			for i := range next {
				if id := fmt.Sprint(i); running[id] {
					return id
				}
			}
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				run := Run{
					ID:                 fmt.Sprint(next),
					Team:               rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Weight:             1,
					PromptTokens:       rapid.Float64Range(1, 4000).Draw(t, "prompt"),
					OutputTokens:       100,
					HasDeadline:        true,
					FirstTokenDeadline: now + 440*time.Millisecond,
				}
				if rapid.Bool().Draw(t, "batch") {
					run.Class, run.HasDeadline, run.FirstTokenDeadline = fair.NumClasses-1, false, 0
				}
				next++
				waiting[run.ID] = run
				end(g.Add(now, run))
				pump()
			},
			"token": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				g.Tokens(now, anyRunning(), 1)
				pump()
			},
			"finish": func(*rapid.T) {
				id := anyRunning()
				delete(running, id)
				g.Finish(id)
				pump()
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id"))
				_, want := waiting[id]
				require.Equal(t, want, g.Cancel(id))
				delete(waiting, id)
			},
		})
	})
}

// TestOverloadingTeamLosesOnlyItsOwnRuns checks that a team that sends ten times its
// share has its own excess runs refused and none of the other team's.
func TestOverloadingTeamLosesOnlyItsOwnRuns(t *testing.T) {
	g := NewGate(DefaultGateSettings())
	lost := make(map[string]int)
	count := func(refused []Refused) {
		for _, r := range refused {
			lost[r.ID[:1]]++
		}
	}
	const step = 25 * time.Millisecond // The engine takes 8 tokens a millisecond.
	id := 0
	for tick := range 400 {
		now := time.Duration(tick) * step
		for _, team := range []string{"a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "b"} {
			id++
			count(g.Add(now, Run{ID: fmt.Sprint(team, id), Team: team, PromptTokens: 50, OutputTokens: 1, HasDeadline: true, FirstTokenDeadline: now + 440*time.Millisecond}))
		}
		for range 4 {
			run, ok, refused := g.Next(now)
			count(refused)
			if ok {
				g.Tokens(now+step, run, 1)
				g.Finish(run)
			}
		}
	}
	require.Zero(t, lost["b"])
	require.Positive(t, lost["a"])
}

// TestLimiterBoundsRateAndConcurrency checks for arbitrary arrivals that no more
// requests have been admitted at any time than the rate and one burst allow, and that
// the concurrency limit holds.
func TestLimiterBoundsRateAndConcurrency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			RequestsPerSecond: rapid.Float64Range(0.5, 50).Draw(t, "rate"),
			Concurrent:        rapid.IntRange(1, 20).Draw(t, "concurrent"),
		}
		l := NewLimiter()
		now := time.Duration(0)
		admitted, running := 0, 0
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "end") && running > 0 {
				l.End("team", 1, 1)
				running--
			}
			decision := l.Begin(now, "team", limits, 1)
			if !decision.OK() {
				require.Positive(t, decision.RetryAfter)
				continue
			}
			admitted++
			running++
			require.LessOrEqual(t, running, limits.Concurrent)
		}
		allowed := limits.RequestsPerSecond*now.Seconds() + max(1, limits.RequestsPerSecond*burst.Seconds())
		require.LessOrEqual(t, float64(admitted), allowed+1e-6)
	})
}

func TestFractionsFollowTheEntries(t *testing.T) {
	f := NewFractions(2)
	now := time.Duration(0)
	last := 0.0
	for i := range 2000 {
		now += 20 * time.Millisecond
		entry := "one"
		if i%4 == 0 {
			entry = "two"
		}
		f.Observe(now, "other"+fmt.Sprint(i%5), entry)
		if fraction := f.Observe(now, "team", entry); entry == "two" {
			last = fraction
		}
	}
	require.LessOrEqual(t, len(f.teams), 2)
	g := NewFractions(10)
	for i := range 2000 {
		now += 20 * time.Millisecond
		last = g.Observe(now, "team", []string{"two", "one", "one", "one"}[i%4])
	}
	require.InDelta(t, 0.75, last, 0.05)
}

func BenchmarkGate(b *testing.B) {
	for _, teams := range []int{8, 1_000, 22_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			g := NewGate(DefaultGateSettings())
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now := time.Duration(i) * time.Millisecond
				g.Add(now, Run{ID: "run", Team: names[i%teams], PromptTokens: 100, OutputTokens: 10})
				id, _, _ := g.Next(now)
				g.Tokens(now, id, 10)
				g.Finish(id)
			}
		})
	}
}
