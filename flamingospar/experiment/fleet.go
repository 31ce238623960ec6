package experiment

import (
	"flamingospar.org/core/catalogue"
	"flamingospar.org/standin/engine/batch"
	"flamingospar.org/standin/fleet"
)

// simFleet is a fleet to simulate.
type simFleet struct {
	name        string
	dataCentres []string
	engines     []fleet.Endpoint
	models      []string
	teams       []catalogue.Team
}

// demandShares are the shares of the load by team of the catalogue. They are
// skewed: a few teams send most requests.
var demandShares = []float64{0.30, 0.20, 0.15, 0.10, 0.08, 0.07, 0.05, 0.05}

func newSimFleet(description fleet.Fleet) (simFleet, error) {
	document, err := catalogue.Parse(description.Name+".toml", []byte(description.Catalogue))
	if err != nil {
		return simFleet{}, err
	}
	f := simFleet{name: description.Name, dataCentres: description.DataCentres, teams: document.Teams}
	for _, endpoint := range description.Endpoints {
		if endpoint.Model == "" {
			continue
		}
		f.engines = append(f.engines, endpoint)
	}
	for _, model := range document.Models {
		f.models = append(f.models, model.Name)
	}
	return f, nil
}

// engineCount returns the number of engines of a model.
func (f simFleet) engineCount(model int) int {
	count := 0
	for _, engine := range f.engines {
		if engine.Model == f.models[model] {
			count++
		}
	}
	return count
}

// Minimum engine time of a token with any batch. The clairvoyant bound, the
// entitlements and the loads are measured in these.
var (
	engineConfig  = batch.DefaultConfig()
	promptSeconds = engineConfig.TimePerPrefillToken.Seconds()
	outputSeconds = engineConfig.TimePerSequence.Seconds() + engineConfig.BaseStepTime.Seconds()/float64(engineConfig.MaxRunning)
)
