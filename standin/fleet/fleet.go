// Package fleet describes the fleets of the two users and starts stand-ins for
// them: the simulated platform, engines and application services.
package fleet

import "fmt"

// Endpoint is one endpoint of a fleet.
type Endpoint struct {
	ID         string
	DataCentre string
	Kind       string // "model" or the name of a service.
	Model      string
}

// Fleet is one user's fleet.
type Fleet struct {
	Name        string
	DataCentres []string
	Endpoints   []Endpoint
	Catalogue   string // In TOML.
}

// endpointGroup is a number of endpoints of the same kind.
type endpointGroup struct {
	name  string
	count int
	kind  string
	model string
}

// Shedline is the fleet of Shedline Approvals.
func Shedline() Fleet {
	dataCentres := []string{"perth-a", "perth-b", "perth-c"}
	groups := []endpointGroup{
		{name: "assess", count: 9, kind: "model", model: "assessment"},
		{name: "lodge-model", count: 3, kind: "model", model: "lodgement"},
		{name: "lodge", count: 3, kind: "lodgements"},
		{name: "status", count: 3, kind: "status"},
	}
	return Fleet{Name: "shedline", DataCentres: dataCentres, Endpoints: distributeEndpoints(groups, dataCentres), Catalogue: shedlineCatalogue}
}

// Trust is the fleet of the Lone Star Helmet Recall Trust.
func Trust() Fleet {
	dataCentres := []string{"austin-a", "austin-b", "waco", "san-marcos"}
	groups := []endpointGroup{
		{name: "notice", count: 18, kind: "model", model: "notice"},
		{name: "claims-model", count: 4, kind: "model", model: "claims"},
		{name: "claim", count: 4, kind: "claims"},
		{name: "serial", count: 4, kind: "serials"},
	}
	return Fleet{Name: "trust", DataCentres: dataCentres, Endpoints: distributeEndpoints(groups, dataCentres), Catalogue: trustCatalogue}
}

// ByName returns the fleet with the given name.
func ByName(name string) (Fleet, error) {
	switch name {
	case "shedline":
		return Shedline(), nil
	case "trust":
		return Trust(), nil
	default:
		return Fleet{}, fmt.Errorf("fleet %q is unknown; remedy: use shedline or trust", name)
	}
}

// distributeEndpoints assigns the endpoints of each group to the data centres in
// turn.
func distributeEndpoints(groups []endpointGroup, dataCentres []string) []Endpoint {
	var endpoints []Endpoint
	for _, g := range groups {
		for i := range g.count {
			endpoints = append(endpoints, Endpoint{
				ID:         fmt.Sprintf("%s-%d", g.name, i+1),
				DataCentre: dataCentres[i%len(dataCentres)],
				Kind:       g.kind,
				Model:      g.model,
			})
		}
	}
	return endpoints
}
