package catalogue

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"flamingospar.org/core/strict"
)

// ModelKind is the kind of the endpoints that run models.
const ModelKind = "model"

// Bounds of what a catalogue may state.
const (
	maxNameBytes = 64
	maxDeadline  = time.Hour
)

// builtInPaths are the callers' paths that no route may cover or lie below.
var builtInPaths = []string{"/v1"}

var (
	validName   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	validMethod = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	classes     = []Class{Interactive, Standard, Batch}
)

// checker collects the problems of one document.
type checker struct {
	file     string
	index    *strict.Index // Nil for a document that did not come from a file.
	document *Document
	teams    map[string]bool
	found    strict.Problems
}

// Check returns all faults of a document in no particular order. index may be nil.
func Check(file string, document *Document, index *strict.Index) strict.Problems {
	c := &checker{file: file, index: index, document: document, teams: make(map[string]bool)}
	c.checkTeams()
	c.checkModels()
	c.checkServices()
	c.checkRoutes()
	c.checkEndpoints()
	return c.found
}

func (c *checker) problem(key, remedy, format string, args ...any) {
	c.found = append(c.found, &strict.Problem{File: c.file, Line: c.index.Line(key), Key: key, What: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) checkTeams() {
	if len(c.document.Teams) == 0 {
		c.problem("team", "write at least one [[team]]", "the catalogue has no team")
	}
	for i, team := range c.document.Teams {
		at := fmt.Sprintf("team[%d]", i)
		c.name(at, team.Name, c.teams)
		if !isPositive(team.Weight) {
			c.problem(at+".weight", "write a number above 0, such as 1.0", "the weight %v is not a positive number", team.Weight)
		}
		c.limits(at, team.Limits)
	}
}

func (c *checker) checkModels() {
	seen := make(map[string]bool)
	for i, model := range c.document.Models {
		at := fmt.Sprintf("model[%d]", i)
		c.name(at, model.Name, seen)
		c.ownerAndClass(at, model.Owner, model.Class)
		if model.Version == "" {
			c.problem(at+".version", "write the version of the weights to serve", "the version is empty")
		}
		c.limits(at, model.Limits)
	}
}

func (c *checker) checkServices() {
	seen := make(map[string]bool)
	for i, service := range c.document.Services {
		at := fmt.Sprintf("service[%d]", i)
		c.name(at, service.Name, seen)
		if service.Name == ModelKind {
			c.problem(at+".name", "choose another name", "the name %q is kept for engines", ModelKind)
		}
		c.ownerAndClass(at, service.Owner, service.Class)
		c.limits(at, service.Limits)
	}
}

func (c *checker) checkRoutes() {
	names := make(map[string]bool)
	paths := make(map[string]bool)
	for i, route := range c.document.Routes {
		at := fmt.Sprintf("route[%d]", i)
		c.name(at, route.Name, names)
		c.ownerAndClass(at, route.Owner, route.Class)
		c.path(at, route.Path, paths)
		c.methods(at, route.Methods)
		if !c.hasService(route.Service) {
			c.problem(at+".service", "add a [[service]] with that name or correct it", "no service has the name %q", route.Service)
		}
		c.deadline(at, route.Deadline)
		c.limits(at, route.Limits)
	}
}

func (c *checker) checkEndpoints() {
	seen := make(map[string]bool)
	for i, endpoint := range c.document.Endpoints {
		at := fmt.Sprintf("endpoint[%d]", i)
		if endpoint.Kind != ModelKind && !c.hasService(endpoint.Kind) {
			c.problem(at+".kind", `write "model" or the name of a [[service]]`, "no endpoint has the kind %q", endpoint.Kind)
		}
		if seen[endpoint.Kind] {
			c.problem(at+".kind", "keep one [[endpoint]] for each kind", "the kind %q stands twice", endpoint.Kind)
		}
		seen[endpoint.Kind] = true
		c.ownerAndClass(at, endpoint.Owner, endpoint.Class)
		c.limits(at, endpoint.Limits)
	}
}

func (c *checker) name(at, name string, seen map[string]bool) {
	key := at + ".name"
	switch {
	case name == "":
		c.problem(key, "write a name", "the name is empty")
	case len(name) > maxNameBytes || !validName.MatchString(name):
		c.problem(key, fmt.Sprintf("use at most %d lower-case letters, digits, dots, dashes and underscores", maxNameBytes), "the name %q has another form", name)
	case seen[name]:
		c.problem(key, "rename or remove one of the two", "the name %q stands twice", name)
	}
	seen[name] = true
}

func (c *checker) ownerAndClass(at, owner string, class Class) {
	if !c.teams[owner] {
		c.problem(at+".owner", "write the name of a [[team]]", "the owner %q is no team", owner)
	}
	if !slices.Contains(classes, class) {
		c.problem(at+".class", "write interactive, standard or batch", "the class %q is unknown", class)
	}
}

func (c *checker) path(at, path string, seen map[string]bool) {
	key := at + ".path"
	switch {
	case !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%\\ ") || strings.Contains(path, "//") || hasDotSegment(path):
		c.problem(key, `write a plain path such as "/claims"`, "the path %q is no plain absolute path", path)
	case path != "/" && strings.HasSuffix(path, "/"):
		c.problem(key, "remove the slash at the end", "the path %q ends in a slash", path)
	case overlapsBuiltIn(path):
		c.problem(key, "choose a path outside /v1", "the path %q overlaps the built-in paths", path)
	case seen[path]:
		c.problem(key, "remove one of the two routes or change its path", "the path %q stands twice", path)
	}
	seen[path] = true
}

func (c *checker) methods(at string, methods []string) {
	seen := make(map[string]bool)
	for _, method := range methods {
		if !slices.Contains(validMethod, method) {
			c.problem(at+".methods", "use methods such as GET or POST, in capitals", "the method %q is unknown", method)
		}
		if seen[method] {
			c.problem(at+".methods", "remove one of the two", "the method %q stands twice", method)
		}
		seen[method] = true
	}
}

func (c *checker) deadline(at string, deadline Duration) {
	key := at + ".deadline"
	span := time.Duration(deadline)
	if c.index.HasNumber(key) {
		c.problem(key, valueRemedy(key), "the time has no unit")
		return
	}
	if span < 0 || span > maxDeadline || (c.index.Has(key) && span == 0) {
		c.problem(key, fmt.Sprintf(`write a time above 0 and up to %s, such as "20s"`, maxDeadline), "the deadline %s is out of range", span)
	}
}

// limits refuses a limit of zero, which would stop its owner for good.
func (c *checker) limits(at string, limits *Limits) {
	if limits == nil {
		return
	}
	at += ".limits"
	before := len(c.found)
	c.limit(at+".requests_per_second", limits.RequestsPerSecond)
	c.limit(at+".tokens_per_second", limits.TokensPerSecond)
	c.limit(at+".concurrent", float64(limits.Concurrent))
	if *limits == (Limits{}) && len(c.found) == before {
		c.problem(at, "write a limit above 0 or remove the table", "the limits are all absent or zero")
	}
}

func (c *checker) limit(key string, value float64) {
	absent := value == 0 && !c.index.Has(key)
	if !absent && !isPositive(value) {
		c.problem(key, "write a number above 0, or remove the key for no limit", "the limit %v is not a positive number", value)
	}
}

func (c *checker) hasService(name string) bool {
	return slices.ContainsFunc(c.document.Services, func(s Service) bool { return s.Name == name })
}

func isPositive(value float64) bool {
	return value > 0 && !math.IsInf(value, 0) && !math.IsNaN(value)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// IsBuiltIn reports whether a path belongs to the built-in interface.
func IsBuiltIn(path string) bool {
	return slices.ContainsFunc(builtInPaths, func(builtIn string) bool { return coversPath(builtIn, path) })
}

func overlapsBuiltIn(path string) bool {
	return IsBuiltIn(path) || slices.ContainsFunc(builtInPaths, func(builtIn string) bool { return coversPath(path, builtIn) })
}
