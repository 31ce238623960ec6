package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
)

func versioned(id, version string, stage placement.Stage) *placement.Engine {
	e := engine(id, stage)
	e.Version = version
	return e
}

// A stream that goes on was placed at engines of another software version than the one
// that began it, among few engines and among many.
func TestOnlyEnginesOfTheRequestedVersionAreChosen(t *testing.T) {
	for _, perVersion := range []int{1, 80} {
		engines := []*placement.Engine{}
		for i := range perVersion {
			for _, version := range []string{"v1", "v2"} {
				engines = append(engines, versioned(fmt.Sprint("d", version, i), version, placement.Decode), versioned(fmt.Sprint("p", version, i), version, placement.Prefill))
			}
		}
		fleet := placement.NewFleet("home", engines)
		for i := range 50 {
			r := request(prompt(8000, fmt.Sprint("shared", i)), 2)
			r.Version = "v2"
			decision := fleet.Decide(start, r)
			require.Equal(t, "v2", decision.Decode.Version)
			if decision.Prefill != nil {
				require.Equal(t, "v2", decision.Prefill.Version)
			}
			if decision.Source != nil {
				require.Equal(t, "v2", decision.Source.Version)
			}
			require.Equal(t, "v2", fleet.ChooseDecode(start, r).Version)
		}
		r := request(prompt(8000, "a"), 2)
		r.Version = "v3"
		require.Equal(t, placement.NoEngine, fleet.Decide(start, r).Verdict)
		require.Nil(t, fleet.ChooseDecode(start, r))
	}
}

// What an engine of one software version had read was handed to one of another version.
func TestPromptIsNotHandedToAnotherVersion(t *testing.T) {
	for _, perVersion := range []int{1, 80} {
		engines := []*placement.Engine{}
		for i := range perVersion {
			engines = append(engines, versioned(fmt.Sprint("p", i), "v1", placement.Prefill), versioned(fmt.Sprint("d", i), "v2", placement.Decode))
		}
		fleet := placement.NewFleet("home", engines)
		for i := range 50 {
			decision := fleet.Decide(start, request(prompt(8000, fmt.Sprint("shared", i)), 2))
			require.Equal(t, "v2", decision.Decode.Version)
			require.Nil(t, decision.Prefill, "there is no engine of its version to decode")
			require.Nil(t, decision.Source)
		}
	}
}
