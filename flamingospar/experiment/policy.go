package experiment

import (
	"fmt"
	"strings"

	"flamingospar.org/core/roles"
)

// routing is how an entry chooses an engine.
type routing int

const (
	roundRobin routing = iota
	leastOutstanding
	expectedWait // core/route.
)

// Policy is one combination of decisions.
type Policy struct {
	Name        string
	routing     routing
	firstCome   bool // Queues before the engines serve in the order of arrival.
	sharedEarly bool // They do so only to teams that have their share.
	early       bool // Entries refuse what can't be in time.
	elsewhere   bool // Queues learn what teams got at other engines.
	shortFirst  bool // Within a team, the least work first.
	affinity    bool // Prompts go where their prefix is probably cached.
	roles       roles.Mode
	scale       float64 // Utilisation at which engines are ordered and given back; 0: never.
	attempts    int     // At most, within the first token's bound.
}

// ours is the policy in use.
func ours() Policy {
	return Policy{Name: "ours", routing: expectedWait, early: true, sharedEarly: true, affinity: true, elsewhere: true, shortFirst: true, roles: roles.ModeMixed, attempts: 3}
}

// Policies returns all policies: baselines, earlier versions and the one in use.
func Policies() []Policy {
	return []Policy{
		{Name: "round-robin", routing: roundRobin, firstCome: true, roles: roles.ModeMixed, attempts: 1},
		{Name: "least-outstanding", routing: leastOutstanding, firstCome: true, roles: roles.ModeMixed, attempts: 1},
		{Name: "static-roles", routing: leastOutstanding, firstCome: true, roles: roles.ModeStatic, attempts: 1},
		{Name: "r1-wait", routing: expectedWait, firstCome: true, roles: roles.ModeMixed, attempts: 1},
		{Name: "r2-fair", routing: expectedWait, roles: roles.ModeMixed, attempts: 1},
		{Name: "r3-retry", routing: expectedWait, roles: roles.ModeMixed, attempts: 3},
		{Name: "r4-early", routing: expectedWait, early: true, roles: roles.ModeMixed, attempts: 3},
		{Name: "r5-affinity", routing: expectedWait, early: true, affinity: true, roles: roles.ModeMixed, attempts: 3},
		{Name: "r6-elsewhere", routing: expectedWait, early: true, affinity: true, elsewhere: true, roles: roles.ModeMixed, attempts: 3},
		{Name: "r7-short", routing: expectedWait, early: true, affinity: true, elsewhere: true, shortFirst: true, roles: roles.ModeMixed, attempts: 3},
		ours(),
		{Name: "r8-hybrid", routing: expectedWait, early: true, affinity: true, elsewhere: true, shortFirst: true, roles: roles.ModeHybrid, attempts: 3},
		withScale("ours-60", 0.6),
		withScale("ours-70", 0.7),
		withScale("ours-80", 0.8),
		{Name: "follow-roles", routing: expectedWait, early: true, affinity: true, elsewhere: true, roles: roles.ModeFollow, attempts: 3},
	}
}

// boundName is the row of the clairvoyant bound.
const boundName = "clairvoyant"

// Names that --policies takes beside those of policies.
const (
	allPolicies   = "all"
	usualPolicies = "round-robin,least-outstanding,static-roles,follow-roles,ours"
)

// selectPolicies returns the named policies; none names the baselines, the
// policy in use and its variant with roles.
func selectPolicies(names string) ([]Policy, error) {
	switch names {
	case allPolicies:
		return Policies(), nil
	case "":
		names = usualPolicies
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

// withScale returns the policy in use with endpoints ordered and given back.
func withScale(name string, utilisation float64) Policy {
	p := ours()
	p.Name = name
	p.scale = utilisation
	return p
}
