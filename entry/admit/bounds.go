package admit

import (
	"sync/atomic"

	"flamingospar.org/core/admit"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/entry/match"
	"flamingospar.org/entry/pipeline"
)

// bound is one entry of the catalogue whose limits a request counts against.
type bound struct {
	key    string // Of the limiter.
	limits admit.Limits
}

// index finds the catalogue's entries by name, so that a request's cost does
// not grow with the teams. It is built once for each revision.
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

// indexes keeps the index of the newest catalogue seen.
type indexes struct {
	newest atomic.Pointer[index]
}

func (i *indexes) of(document *catalogue.Document) *index {
	if known := i.newest.Load(); known != nil && known.document == document {
		return known
	}
	built := newIndex(document)
	i.newest.Store(built)
	return built
}

// weight returns a team's weight; 0 for an unknown one.
func (i *index) weight(team string) float64 {
	if found, ok := i.teams[team]; ok {
		return found.Weight
	}
	return 0
}

// class returns the class of the request's model or route.
func (i *index) class(x *pipeline.Exchange) catalogue.Class {
	if model, ok := i.models[x.Model]; ok && x.Kind == match.ModelKind {
		return model.Class
	}
	if route, ok := i.routes[x.Route]; ok {
		return route.Class
	}
	return catalogue.Standard
}

// boundsOf returns this entry's part of all limits that a request counts
// against: its team's by where the team's requests come in, the others evenly.
func (f *Filter) boundsOf(x *pipeline.Exchange) []bound {
	found := f.indexes.of(x.State.Catalogue)
	even := 1 / float64(f.view.Entries())
	var bounds []bound
	add := func(key string, limits *catalogue.Limits, fraction float64) {
		if limits != nil {
			bounds = append(bounds, bound{key: key, limits: limitsOf(limits).Share(fraction)})
		}
	}
	if team, ok := found.teams[x.Team]; ok {
		add("team "+x.Team, team.Limits, f.view.Fraction(x.Team))
	}
	if x.Kind == match.ModelKind {
		if model, ok := found.models[x.Model]; ok {
			add("model "+x.Model, model.Limits, even)
		}
		return bounds
	}
	if service, ok := found.services[x.Kind]; ok {
		add("service "+x.Kind, service.Limits, even)
	}
	if route, ok := found.routes[x.Route]; ok {
		add("route "+x.Route, route.Limits, even)
	}
	return bounds
}

func limitsOf(limits *catalogue.Limits) admit.Limits {
	return admit.Limits{
		RequestsPerSecond: limits.RequestsPerSecond,
		TokensPerSecond:   limits.TokensPerSecond,
		Concurrent:        limits.Concurrent,
	}
}
