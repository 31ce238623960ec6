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

// Bounds on values in a catalogue.
const (
	maxNameBytes = 64
	maxDeadline  = time.Hour
)

// builtInPaths are the request paths that no route may overlap.
var builtInPaths = []string{"/v1"}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	validMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	classes      = []Class{Interactive, Standard, Batch}
)

// checker collects the problems of one document.
type checker struct {
	file     string
	index    *strict.Index // Nil for a document that was not read from a file.
	document *Document
	teams    map[string]bool
	problems strict.Problems
}

// Check returns all problems of a document in no particular order. index may be
// nil.
func Check(file string, document *Document, index *strict.Index) strict.Problems {
	c := &checker{file: file, index: index, document: document, teams: make(map[string]bool)}
	c.checkTeams()
	c.checkModels()
	c.checkServices()
	c.checkRoutes()
	c.checkEndpoints()
	return c.problems
}

func (c *checker) addProblem(key, remedy, format string, args ...any) {
	c.problems = append(c.problems, &strict.Problem{File: c.file, Line: c.index.Line(key), Key: key, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) checkTeams() {
	if len(c.document.Teams) == 0 {
		c.addProblem("team", "write at least one [[team]]", "the catalogue has no team")
	}
	for i, team := range c.document.Teams {
		prefix := fmt.Sprintf("team[%d]", i)
		c.checkName(prefix, team.Name, c.teams)
		if !isPositive(team.Weight) {
			c.addProblem(prefix+".weight", "write a number above 0, such as 1.0", "the weight %v is not a positive number", team.Weight)
		}
		c.checkLimits(prefix, team.Limits)
	}
}

func (c *checker) checkModels() {
	seen := make(map[string]bool)
	for i, model := range c.document.Models {
		prefix := fmt.Sprintf("model[%d]", i)
		c.checkName(prefix, model.Name, seen)
		c.checkOwnerAndClass(prefix, model.Owner, model.Class)
		if model.Version == "" {
			c.addProblem(prefix+".version", "write the version of the weights to serve", "the version is empty")
		}
		c.checkLimits(prefix, model.Limits)
	}
}

func (c *checker) checkServices() {
	seen := make(map[string]bool)
	for i, service := range c.document.Services {
		prefix := fmt.Sprintf("service[%d]", i)
		c.checkName(prefix, service.Name, seen)
		if service.Name == ModelKind {
			c.addProblem(prefix+".name", "choose another name", "the name %q is reserved for engines", ModelKind)
		}
		c.checkOwnerAndClass(prefix, service.Owner, service.Class)
		c.checkLimits(prefix, service.Limits)
	}
}

func (c *checker) checkRoutes() {
	names := make(map[string]bool)
	paths := make(map[string]bool)
	for i, route := range c.document.Routes {
		prefix := fmt.Sprintf("route[%d]", i)
		c.checkName(prefix, route.Name, names)
		c.checkOwnerAndClass(prefix, route.Owner, route.Class)
		c.checkPath(prefix, route.Path, paths)
		c.checkMethods(prefix, route.Methods)
		if !c.hasService(route.Service) {
			c.addProblem(prefix+".service", "add a [[service]] with that name or correct it", "no service has the name %q", route.Service)
		}
		c.checkDeadline(prefix, route.Deadline)
		c.checkLimits(prefix, route.Limits)
	}
}

func (c *checker) checkEndpoints() {
	seen := make(map[string]bool)
	for i, endpoint := range c.document.Endpoints {
		prefix := fmt.Sprintf("endpoint[%d]", i)
		if endpoint.Kind != ModelKind && !c.hasService(endpoint.Kind) {
			c.addProblem(prefix+".kind", `write "model" or the name of a [[service]]`, "no endpoint has the kind %q", endpoint.Kind)
		}
		if seen[endpoint.Kind] {
			c.addProblem(prefix+".kind", "keep one [[endpoint]] for each kind", "the kind %q appears twice", endpoint.Kind)
		}
		seen[endpoint.Kind] = true
		c.checkOwnerAndClass(prefix, endpoint.Owner, endpoint.Class)
		c.checkLimits(prefix, endpoint.Limits)
	}
}

func (c *checker) checkName(prefix, name string, seen map[string]bool) {
	key := prefix + ".name"
	switch {
	case name == "":
		c.addProblem(key, "write a name", "the name is empty")
	case len(name) > maxNameBytes || !namePattern.MatchString(name):
		c.addProblem(key, fmt.Sprintf("use at most %d lower-case letters, digits, dots, dashes and underscores", maxNameBytes), "the name %q is malformed", name)
	case seen[name]:
		c.addProblem(key, "rename or remove one of the two", "the name %q appears twice", name)
	}
	seen[name] = true
}

func (c *checker) checkOwnerAndClass(prefix, owner string, class Class) {
	if !c.teams[owner] {
		c.addProblem(prefix+".owner", "write the name of a [[team]]", "the owner %q is no team", owner)
	}
	if !slices.Contains(classes, class) {
		c.addProblem(prefix+".class", "write interactive, standard or batch", "the class %q is unknown", class)
	}
}

func (c *checker) checkPath(prefix, path string, seen map[string]bool) {
	key := prefix + ".path"
	switch {
	case !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%\\ ") || strings.Contains(path, "//") || hasDotSegment(path):
		c.addProblem(key, `write a plain path such as "/claims"`, "the path %q is not a plain absolute path", path)
	case path != "/" && strings.HasSuffix(path, "/"):
		c.addProblem(key, "remove the slash at the end", "the path %q ends in a slash", path)
	case overlapsBuiltIn(path):
		c.addProblem(key, "choose a path outside /v1", "the path %q overlaps the built-in paths", path)
	case seen[path]:
		c.addProblem(key, "remove one of the two routes or change its path", "the path %q appears twice", path)
	}
	seen[path] = true
}

func (c *checker) checkMethods(prefix string, methods []string) {
	seen := make(map[string]bool)
	for _, method := range methods {
		if !slices.Contains(validMethods, method) {
			c.addProblem(prefix+".methods", "use methods such as GET or POST, in capitals", "the method %q is unknown", method)
		}
		if seen[method] {
			c.addProblem(prefix+".methods", "remove one of the two", "the method %q appears twice", method)
		}
		seen[method] = true
	}
}

func (c *checker) checkDeadline(prefix string, deadline Duration) {
	key := prefix + ".deadline"
	timeout := time.Duration(deadline)
	if c.index.HasNumber(key) {
		c.addProblem(key, valueRemedy(key), "the time has no unit")
		return
	}
	if timeout < 0 || timeout > maxDeadline || (c.index.Has(key) && timeout == 0) {
		c.addProblem(key, fmt.Sprintf(`write a time above 0 and up to %s, such as "20s"`, maxDeadline), "the deadline %s is out of range", timeout)
	}
}

// checkLimits rejects limits of zero, which would block the entry permanently.
func (c *checker) checkLimits(prefix string, limits *Limits) {
	if limits == nil {
		return
	}
	prefix += ".limits"
	before := len(c.problems)
	c.checkLimit(prefix+".requests_per_second", limits.RequestsPerSecond)
	c.checkLimit(prefix+".tokens_per_second", limits.TokensPerSecond)
	c.checkLimit(prefix+".concurrent", float64(limits.Concurrent))
	if *limits == (Limits{}) && len(c.problems) == before {
		c.addProblem(prefix, "write a limit above 0 or remove the table", "the limits are all absent or zero")
	}
}

func (c *checker) checkLimit(key string, value float64) {
	absent := value == 0 && !c.index.Has(key)
	if !absent && !isPositive(value) {
		c.addProblem(key, "write a number above 0, or remove the key for no limit", "the limit %v is not a positive number", value)
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

// IsBuiltIn reports whether a path belongs to the built-in API.
func IsBuiltIn(path string) bool {
	return slices.ContainsFunc(builtInPaths, func(builtIn string) bool { return hasPathPrefix(builtIn, path) })
}

func overlapsBuiltIn(path string) bool {
	return IsBuiltIn(path) || slices.ContainsFunc(builtInPaths, func(builtIn string) bool { return hasPathPrefix(path, builtIn) })
}
