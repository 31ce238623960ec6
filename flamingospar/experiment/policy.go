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
	attempts    int // At most, within the first token's bound.
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
		{Name: "ours", routing: expectedWait, early: true, sharedEarly: true, affinity: true, elsewhere: true, shortFirst: true, roles: roles.ModeMixed, attempts: 3},
		{Name: "r8-hybrid", routing: expectedWait, early: true, affinity: true, elsewhere: true, shortFirst: true, roles: roles.ModeHybrid, attempts: 3},
		{Name: "follow-roles", routing: expectedWait, early: true, affinity: true, elsewhere: true, roles: roles.ModeFollow, attempts: 3},
	}
}

// selectPolicies returns the named policies; none names all.
func selectPolicies(names string) ([]Policy, error) {
	if names == "" {
		return Policies(), nil
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
