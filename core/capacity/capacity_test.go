package capacity

import (
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

// TestTargetsStayWithinBounds checks that targets stay within the data centres'
// limits, and that a decision never releases more endpoints than MaxShrink allows
// and never shrinks below what the demand needs.
func TestTargetsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Defaults()
		s := Snapshot{
			Demand:      rapid.Float64Range(0, 40).Draw(t, "demand"),
			Trend:       rapid.Float64Range(-0.1, 0.1).Draw(t, "trend"),
			Peak:        rapid.Float64Range(0, 40).Draw(t, "peak"),
			DemandAge:   time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second,
			ObservedFor: time.Duration(rapid.IntRange(0, 10).Draw(t, "observed")) * time.Minute,
		}
		for _, name := range []string{"a", "b", "c"} {
			least := rapid.IntRange(0, 3).Draw(t, "min")
			s.DataCentres = append(s.DataCentres, DataCentre{
				Name:    name,
				Ready:   rapid.IntRange(0, 12).Draw(t, "ready"),
				Ordered: rapid.IntRange(0, 2).Draw(t, "ordered"),
				Min:     least,
				Max:     least + rapid.IntRange(1, 12).Draw(t, "room"),
			})
		}
		plan := Decide(s, settings)
		current := total(s.DataCentres)
		require.GreaterOrEqual(t, plan.Wanted, current-settings.MaxShrink)
		for _, centre := range s.DataCentres {
			require.GreaterOrEqual(t, plan.Targets[centre.Name], centre.Min)
			require.LessOrEqual(t, plan.Targets[centre.Name], centre.Max)
		}
		if s.ObservedFor < settings.ShrinkAfter {
			require.GreaterOrEqual(t, plan.Wanted, current, "shrunk before the demand had been observed for ShrinkAfter")
		}
		if plan.Reason == ReasonShrink {
			require.GreaterOrEqual(t, float64(plan.Wanted)*settings.Utilisation, s.Demand-1e-6)
		}
		if s.DemandAge > maxDemandAge {
			require.Equal(t, current, plan.Wanted, "a stale demand changes nothing")
		}
		require.LessOrEqual(t, plan.OneMore, plan.OneFewer+1e-9)
	})
}
