package admit

import (
	"sync/atomic"

	"flamingospar.org/core/admit"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
)

// appliedLimit is the limit of a team, model, service or route that a request counts
// against.
type appliedLimit struct {
	key    string // In the limiter.
	limits admit.Limits
}

// index maps names to the catalogue's teams, models, services and routes, so that
// the cost of a request does not grow with the number of teams. It is built once
// per revision.
type index struct {
	document *catalogue.Document
	teams    map[string]*catalogue.Team
	models   map[string]*catalogue.Model
	services map[string]*catalogue.Service
	routes   map[string]*catalogue.Route
}

func newIndex(document *catalogue.Document) *index {
	i := &index{
		document: document,
		teams:    make(map[string]*catalogue.Team, len(document.Teams)),
		models:   make(map[string]*catalogue.Model, len(document.Models)),
		services: make(map[string]*catalogue.Service, len(document.Services)),
		routes:   make(map[string]*catalogue.Route, len(document.Routes)),
	}
	for n := range document.Teams {
		i.teams[document.Teams[n].Name] = &document.Teams[n]
	}
	for n := range document.Models {
		i.models[document.Models[n].Name] = &document.Models[n]
	}
	for n := range document.Services {
		i.services[document.Services[n].Name] = &document.Services[n]
	}
	for n := range document.Routes {
		i.routes[document.Routes[n].Name] = &document.Routes[n]
	}
	return i
}

// indexCache caches the index of the catalogue that was used last.
type indexCache struct {
	latest atomic.Pointer[index]
}

func (i *indexCache) get(document *catalogue.Document) *index {
	if cached := i.latest.Load(); cached != nil && cached.document == document {
		return cached
	}
	created := newIndex(document)
	i.latest.Store(created)
	return created
}

// weight returns the weight of a team, or 0 if the team is unknown.
func (i *index) weight(team string) float64 {
	if found, ok := i.teams[team]; ok {
		return found.Weight
	}
	return 0
}

// class returns the class of the request's model or route, by default Standard.
func (i *index) class(x *pipeline.Exchange) catalogue.Class {
	if model, ok := i.models[x.Model]; ok && x.Kind == match.ModelKind {
		return model.Class
	}
	if route, ok := i.routes[x.Route]; ok {
		return route.Class
	}
	return catalogue.Standard
}

// limitsFor returns this entry's share of all limits that a request counts against.
// A team's limits are divided among the entries in proportion to its requests at
// each, other limits evenly.
func (f *Filter) limitsFor(x *pipeline.Exchange) []appliedLimit {
	found := f.indexCache.get(x.State.Catalogue)
	evenShare := 1 / float64(f.view.Entries())
	var applied []appliedLimit
	add := func(key string, limits *catalogue.Limits, fraction float64) {
		if limits != nil {
			applied = append(applied, appliedLimit{key: key, limits: toLimits(limits).Share(fraction)})
		}
	}
	if team, ok := found.teams[x.Team]; ok {
		add("team "+x.Team, team.Limits, f.view.Fraction(x.Team))
	}
	if x.Kind == match.ModelKind {
		if model, ok := found.models[x.Model]; ok {
			add("model "+x.Model, model.Limits, evenShare)
		}
		return applied
	}
	if service, ok := found.services[x.Kind]; ok {
		add("service "+x.Kind, service.Limits, evenShare)
	}
	if route, ok := found.routes[x.Route]; ok {
		add("route "+x.Route, route.Limits, evenShare)
	}
	return applied
}

func toLimits(limits *catalogue.Limits) admit.Limits {
	return admit.Limits{
		RequestsPerSecond: limits.RequestsPerSecond,
		TokensPerSecond:   limits.TokensPerSecond,
		Concurrent:        limits.Concurrent,
	}
}
