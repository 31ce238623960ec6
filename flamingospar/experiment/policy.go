package experiment

import (
	"fmt"
	"strings"

	"flamingospar.org/core/roles"
)

// routing is the rule by which an entry chooses an engine.
type routing int

const (
	roundRobin routing = iota
	leastOutstanding
	expectedWait // Lowest expected wait; see core/route.
)

// Policy is a combination of routing, admission, role and scaling rules.
type Policy struct {
	Name               string
	routing            routing
	fifo               bool // Engine queues serve in arrival order.
	earlyOverShareOnly bool // Early refusal applies only to teams above their fair share.
	earlyRefusal       bool // Entries refuse requests whose first token would be late.
	remoteService      bool // Queues account for the service of teams at other engines.
	shortestFirst      bool // Queues serve the run with the least work of a team first.
	prefixAffinity     bool // Prefer engines that probably have the prefix cached.
	roles              roles.Mode
	targetUtilisation  float64 // For autoscaling; 0 for a fixed fleet.
	maxAttempts        int     // Engines tried before the first-token deadline.
}

// currentPolicy returns the policy that Flamingospar uses.
func currentPolicy() Policy {
	return Policy{Name: "ours", routing: expectedWait, earlyRefusal: true, earlyOverShareOnly: true, prefixAffinity: true, remoteService: true, shortestFirst: true, roles: roles.ModeMixed, maxAttempts: 3}
}

// Policies returns all policies: baselines, earlier versions, variants and the
// current one.
func Policies() []Policy {
	return []Policy{
		{Name: "round-robin", routing: roundRobin, fifo: true, roles: roles.ModeMixed, maxAttempts: 1},
		{Name: "least-outstanding", routing: leastOutstanding, fifo: true, roles: roles.ModeMixed, maxAttempts: 1},
		{Name: "static-roles", routing: leastOutstanding, fifo: true, roles: roles.ModeStatic, maxAttempts: 1},
		{Name: "r1-wait", routing: expectedWait, fifo: true, roles: roles.ModeMixed, maxAttempts: 1},
		{Name: "r2-fair", routing: expectedWait, roles: roles.ModeMixed, maxAttempts: 1},
		{Name: "r3-retry", routing: expectedWait, roles: roles.ModeMixed, maxAttempts: 3},
		{Name: "r4-early", routing: expectedWait, earlyRefusal: true, roles: roles.ModeMixed, maxAttempts: 3},
		{Name: "r5-affinity", routing: expectedWait, earlyRefusal: true, prefixAffinity: true, roles: roles.ModeMixed, maxAttempts: 3},
		{Name: "r6-elsewhere", routing: expectedWait, earlyRefusal: true, prefixAffinity: true, remoteService: true, roles: roles.ModeMixed, maxAttempts: 3},
		{Name: "r7-short", routing: expectedWait, earlyRefusal: true, prefixAffinity: true, remoteService: true, shortestFirst: true, roles: roles.ModeMixed, maxAttempts: 3},
		currentPolicy(),
		{Name: "r8-hybrid", routing: expectedWait, earlyRefusal: true, prefixAffinity: true, remoteService: true, shortestFirst: true, roles: roles.ModeHybrid, maxAttempts: 3},
		withAutoscaling("ours-60", 0.6),
		withAutoscaling("ours-70", 0.7),
		withAutoscaling("ours-80", 0.8),
		{Name: "follow-roles", routing: expectedWait, earlyRefusal: true, prefixAffinity: true, remoteService: true, roles: roles.ModeFollow, maxAttempts: 3},
	}
}

// boundRowName is the policy name in the row of the clairvoyant bound.
const boundRowName = "clairvoyant"

// allPolicies selects every policy in --policies; defaultPolicies is its default.
const (
	allPolicies     = "all"
	defaultPolicies = "round-robin,least-outstanding,static-roles,follow-roles,ours"
)

// selectPolicies returns the named policies. Without names it returns the
// baselines, the current policy and its variant with separate roles.
func selectPolicies(names string) ([]Policy, error) {
	switch names {
	case allPolicies:
		return Policies(), nil
	case "":
		names = defaultPolicies
	}
	var selected []Policy
	for _, name := range strings.Split(names, ",") {
		found := false
		for _, policy := range Policies() {
			if policy.Name == name {
				selected = append(selected, policy)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("policy %q is unknown; remedy: see docs/POLICY.md for the names", name)
		}
	}
	return selected, nil
}

// withAutoscaling returns the current policy with autoscaling to a target
// utilisation.
func withAutoscaling(name string, utilisation float64) Policy {
	p := currentPolicy()
	p.Name = name
	p.targetUtilisation = utilisation
	return p
}
