package experiment

import "testing"

func BenchmarkRun(b *testing.B) {
	sites, _ := selectSites("shedline")
	trace, _ := LoadTrace("steady")
	policies, _ := selectPolicies("r6-elsewhere")
	for b.Loop() {
		run(sites[0], trace, policies[0], 1, generate(trace, sites[0], 1))
	}
}
