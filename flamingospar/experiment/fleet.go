package experiment

import (
	"flamingospar.org/core/catalogue"
	"flamingospar.org/standin/engine/batch"
	"flamingospar.org/standin/fleet"
)

// site is a fleet as the experiment runs it.
type site struct {
	name        string
	dataCentres []string
	engines     []fleet.Endpoint
	models      []string
	teams       []catalogue.Team
}

// demandShares is how much of the load each team of the catalogue brings: a
// few are large.
var demandShares = []float64{0.30, 0.20, 0.15, 0.10, 0.08, 0.07, 0.05, 0.05}

func siteOf(described fleet.Fleet) (site, error) {
	document, err := catalogue.Parse(described.Name+".toml", []byte(described.Catalogue))
	if err != nil {
		return site{}, err
	}
	s := site{name: described.Name, dataCentres: described.DataCentres, teams: document.Teams}
	for _, endpoint := range described.Endpoints {
		if endpoint.Model == "" {
			continue
		}
		s.engines = append(s.engines, endpoint)
	}
	for _, model := range document.Models {
		s.models = append(s.models, model.Name)
	}
	return s, nil
}

// enginesOf counts the engines of a model.
func (s site) enginesOf(model int) int {
	n := 0
	for _, engine := range s.engines {
		if engine.Model == s.models[model] {
			n++
		}
	}
	return n
}

// Least time that an engine takes for a token, whatever its batch: the
// clairvoyant bound, entitlements and loads count in these.
var (
	engineConfig  = batch.DefaultConfig()
	promptSeconds = engineConfig.PerPrefillToken.Seconds()
	outputSeconds = engineConfig.PerSequence.Seconds() + engineConfig.StepBase.Seconds()/float64(engineConfig.MaxRunning)
)
