package roles

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 6})
	os.Exit(m.Run())
}

// TestPlansAreBounded plays a demand against the rule, second by second: never
// more changes at once than the bound, never two changes of one engine within
// the dwell, the same plan for any order of the snapshot.
func TestPlansAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Defaults()
		settings.Mode = rapid.SampledFrom([]Mode{ModeMixed, ModeStatic, ModeFollow, ModeHybrid}).Draw(t, "mode")
		n := rapid.IntRange(1, 22).Draw(t, "engines")
		engines := make([]Endpoint, n)
		left := make([]int, n) // Seconds of the change under way.
		for i := range engines {
			role := rapid.SampledFrom([]Role{Mixed, Prefill, Output}).Draw(t, "role")
			engines[i] = Endpoint{ID: fmt.Sprint(i), Role: role, Since: time.Hour, Ready: true}
		}
		for range 120 {
			s := Snapshot{
				Pool:          "pool",
				Endpoints:     engines,
				PrefillDemand: rapid.Float64Range(0, float64(n)).Draw(t, "prefill"),
				OutputDemand:  rapid.Float64Range(0, float64(n)).Draw(t, "output"),
				DemandAge:     time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second,
			}
			plan := Decide(s, settings)
			require.Equal(t, plan, Decide(reversed(s), settings), "all compute the same plan")
			for _, change := range plan.Changes {
				at := indexOf(engines, change.Endpoint)
				require.False(t, engines[at].Changing, "one change at a time")
				require.NotEqual(t, change.From, change.To)
				if settings.Mode != ModeMixed {
					require.GreaterOrEqual(t, engines[at].Since, settings.MinDwell)
				}
				engines[at].Changing, engines[at].Role, left[at] = true, change.To, 4
			}
			changing := 0
			for i := range engines {
				engines[i].Since += time.Second
				if !engines[i].Changing {
					continue
				}
				changing++
				engines[i].Since = 0
				left[i]--
				engines[i].Changing = left[i] > 0
			}
			require.LessOrEqual(t, changing, max(1, int(settings.MaxConcurrent*float64(n))))
			if n >= minSplit && settings.Mode == ModeFollow {
				require.Positive(t, n-changing, "never all at once")
			}
		}
	})
}

func reversed(s Snapshot) Snapshot {
	turned := make([]Endpoint, 0, len(s.Endpoints))
	for i := len(s.Endpoints) - 1; i >= 0; i-- {
		turned = append(turned, s.Endpoints[i])
	}
	s.Endpoints = turned
	return s
}

func indexOf(engines []Endpoint, id string) int {
	for i, engine := range engines {
		if engine.ID == id {
			return i
		}
	}
	return -1
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 500, 4_000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			s := Snapshot{Pool: "pool", PrefillDemand: 0.4 * float64(n), OutputDemand: 0.5 * float64(n)}
			for i := range n {
				s.Endpoints = append(s.Endpoints, Endpoint{ID: fmt.Sprint(i), Role: Mixed, Ready: true, Since: time.Hour})
			}
			settings := Defaults()
			settings.Mode = ModeFollow
			b.ReportAllocs()
			for b.Loop() {
				Decide(s, settings)
			}
		})
	}
}
