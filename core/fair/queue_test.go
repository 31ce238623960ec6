package fair

import (
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 6})
	os.Exit(m.Run())
}

// TestBackloggedTeamsShareByWeight checks max-min fairness: over any interval in
// which two teams have waiting runs throughout, their normalised service differs by
// at most one largest item of each.
func TestBackloggedTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		teams := rapid.IntRange(2, 6).Draw(t, "teams")
		weights := make([]float64, teams)
		served := make([]float64, teams)
		largest := make([]float64, teams)
		for i := range teams {
			weights[i] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
		}
		next := 0
		push := func(i int) {
			cost := rapid.Float64Range(0.01, 1).Draw(t, "cost")
			largest[i] = max(largest[i], cost)
			next++
			q.Push(Item{ID: fmt.Sprint(next), Team: fmt.Sprint(i), Weight: weights[i], Cost: cost, Order: float64(next)})
		}
		for i := range teams {
			push(i)
			push(i)
		}
		for range 200 {
			item, ok := q.Pop()
			require.True(t, ok, "work conservation: items wait")
			var i int
			fmt.Sscan(item.Team, &i)
			actual := item.Cost * rapid.Float64Range(0.5, 1.5).Draw(t, "actual")
			largest[i] = max(largest[i], actual)
			q.Charge(item.Team, actual-item.Cost)
			served[i] += actual / weights[i]
			push(i)
		}
		for i := range teams {
			for j := range teams {
				bound := largest[i]/weights[i] + largest[j]/weights[j]
				require.LessOrEqual(t, math.Abs(served[i]-served[j]), bound+1e-9, "teams %d and %d", i, j)
			}
		}
	})
}

// TestQueueAgainstModel compares random sequences of all operations with a map of
// the waiting items.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		waiting := make(map[string]Item)
		next := 0
		virtualTime := 0.0
		check := func() {
			require.Equal(t, len(waiting), q.Waiting())
			cost := 0.0
			for _, item := range waiting {
				cost += item.Cost
			}
			require.InDelta(t, cost, q.Cost(), 1e-6)
			require.GreaterOrEqual(t, q.virtualTime, virtualTime, "the virtual time never falls")
			virtualTime = q.virtualTime
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				item := Item{
					ID:     fmt.Sprint(next),
					Team:   rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team"),
					Weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"),
					Class:  Class(rapid.IntRange(0, NumClasses-1).Draw(t, "class")),
					Cost:   rapid.Float64Range(0, 2).Draw(t, "cost"),
					Order:  rapid.Float64Range(0, 10).Draw(t, "order"),
				}
				idle := q.WaitingOf(item.Team) == 0
				q.Push(item)
				waiting[item.ID] = item
				if idle {
					require.GreaterOrEqual(t, q.teams[item.Team].counter, q.virtualTime, "an idle team accumulates no credit")
				}
			},
			"pop": func(t *rapid.T) {
				expected, some := q.Next()
				item, ok := q.Pop()
				require.Equal(t, len(waiting) > 0, ok)
				require.Equal(t, some, ok)
				if !ok {
					return
				}
				require.Equal(t, expected, item)
				require.Equal(t, waiting[item.ID], item)
				delete(waiting, item.ID)
			},
			"evict": func(t *rapid.T) {
				item, ok := q.Evict()
				require.Equal(t, len(waiting) > 0, ok)
				delete(waiting, item.ID)
				for _, other := range waiting {
					require.LessOrEqual(t, other.Class, item.Class, "the least urgent class goes first")
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, next+1).Draw(t, "id"))
				_, want := waiting[id]
				require.Equal(t, want, q.Remove(id))
				delete(waiting, id)
			},
			"charge": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
				debt := q.Debt(team)
				q.Charge(team, rapid.Float64Range(0, 1).Draw(t, "service"))
				require.GreaterOrEqual(t, q.Debt(team), debt, "debt outlasts idle time")
			},
			"": func(*rapid.T) { check() },
		})
	})
}

// TestNoStarvation checks that a batch run waits for a bounded number of pops
// however many interactive runs arrive.
func TestNoStarvation(t *testing.T) {
	q := New()
	q.Push(Item{ID: "batch", Team: "small", Class: NumClasses - 1, Cost: 1})
	for i := range 2 * lowClassFirstEveryPops {
		q.Push(Item{ID: fmt.Sprint("busy", i), Team: "busy", Cost: 0.1})
		q.Push(Item{ID: fmt.Sprint("more", i), Team: "busy", Cost: 0.1})
		if item, _ := q.Pop(); item.ID == "batch" {
			require.Less(t, i, lowClassFirstEveryPops)
			return
		}
	}
	t.Fatal("the batch run starved")
}

// TestEvictSparesTheLightTeam checks that the only waiting run of a low-weight team
// is not evicted in favour of a high-weight team that was served before. That would
// happen if the cost of the run itself counted; see flow.lastStart.
func TestEvictSparesTheLightTeam(t *testing.T) {
	q := New()
	for i := range 3 {
		q.Push(Item{ID: fmt.Sprint("heavy", i), Team: "heavy", Weight: 4, Cost: 1, Order: float64(i)})
	}
	q.Pop()
	q.Push(Item{ID: "light", Team: "light", Weight: 1, Cost: 1})
	for range 2 {
		item, ok := q.Evict()
		require.True(t, ok)
		require.Equal(t, "heavy", item.Team)
	}
}

func TestIdleTeamsAreDropped(t *testing.T) {
	q := New()
	for i := range 22_000 {
		q.Push(Item{ID: "run", Team: fmt.Sprint("team", i), Cost: 0})
		q.Pop()
	}
	require.Less(t, len(q.teams), 4*firstSweepTeams)
}

func TestPredictorLearnsAndIsBounded(t *testing.T) {
	p := NewPredictor(100, 10)
	for i := range 50 {
		p.Learn(fmt.Sprint("team", i), 100)
	}
	require.LessOrEqual(t, len(p.tokens), 10)
	for range 60 {
		p.Learn("steady", 300)
	}
	require.InDelta(t, 300, p.Predict("steady", 0), 5)
	require.Equal(t, 50.0, p.Predict("steady", 50))
}

func BenchmarkPushPop(b *testing.B) {
	for _, teams := range []int{8, 1_000, 22_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := New()
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team", i)
				q.Push(Item{ID: names[i], Team: names[i], Cost: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				item, _ := q.Pop()
				q.Push(item)
			}
		})
	}
}
