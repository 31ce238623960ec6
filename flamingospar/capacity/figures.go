package capacity

import "fmt"

// Parameters of the target size, and the bounds per process at that size.
const (
	targetEntries         = 390
	targetAgents          = 3700
	targetDataCentres     = 8
	targetRequestsPerSec  = 18_000
	targetTeams           = 22_000
	targetChangesPerDay   = 13_000
	activeTeamsPerWindow  = 2_000 // At one entry.
	secondsPerDay         = 86_400
	entryRequestsPerSec   = float64(targetRequestsPerSec) / targetEntries
	agentRequestsPerSec   = float64(targetRequestsPerSec) / targetAgents
	pollersPerAgent       = 3
	agentPollSeconds      = 4
	introductionSeconds   = 60 // Every entry calls every agent at this interval.
	configPollSeconds     = 2
	leaseRenewSeconds     = 3
	leaseCandidates       = 3
	leaseStandbySeconds   = 60
	crashMarkPollSeconds  = 10
	claimSweepSeconds     = 5
	vmListPollSeconds     = 30
	usageFlushSeconds     = 5
	usageWindowSeconds    = 60
	recordHoldSeconds     = 45
	outageSeconds         = 3600
	entryJournalEvents    = 32_768
	agentJournalEvents    = 4_096
	countedWindows        = 30
	eventsPerRequest      = 3
	maxCPUMicrosPerSec    = 22_000 // 2.2% of a core.
	maxMemoryBytes        = 256 << 20
	maxMessageBytesPerSec = 2 << 10
	base64Expansion       = 4.0 / 3 // Row values are sent as base64 in JSON.
	bytesPerMegabyte      = 1 << 20
	bytesPerKilobyte      = 1 << 10
	microsPerPercent      = 10_000 // Microseconds per second that are 1% of a core.
)

// Estimate is one cost of a role at the target size.
type Estimate struct {
	Role  string
	Kind  string // Such as state, memory, messages or processor time.
	What  string
	Value float64
	Bound float64 // In the unit of Value; 0 if there is none.
	Unit  string
}

// Slopes holds the values of measured slopes by name.
type Slopes map[string]float64

// Estimates extrapolates the costs of each role at the target size from the
// slopes.
func Estimates(s Slopes) []Estimate {
	estimates := entryEstimates(s)
	estimates = append(estimates, holderEstimates(s)...)
	return append(estimates, agentEstimates(s)...)
}

const (
	unitMB        = "MB"
	unitKB        = "KB/s"
	unitPercent   = "% of a core"
	unitPerSecond = "a second"
)

func megabytes(bytes float64) float64   { return bytes / bytesPerMegabyte }
func kilobytes(bytes float64) float64   { return bytes / bytesPerKilobyte }
func cpuPercent(micros float64) float64 { return micros / microsPerPercent }

// statusCallsPerSec returns the number of status calls that an entry makes per
// second.
func statusCallsPerSec() float64 {
	return float64(targetAgents)*pollersPerAgent/targetEntries/agentPollSeconds + float64(targetAgents)/introductionSeconds
}

func entryEstimates(s Slopes) []Estimate {
	changesPerSec := float64(targetChangesPerDay) / secondsPerDay
	memory := []Estimate{
		{"entry", "state", "the process itself", megabytes(s["entry_base_heap"]), 0, unitMB},
		{"entry", "state", "configuration of 22,000 teams with a key each", megabytes(targetTeams * (s["config_key_heap"] + s["config_team_heap"])), 0, unitMB},
		{"entry", "state", "view of 3,700 agents", megabytes(targetAgents * s["fleet_agent_heap"]), 0, unitMB},
		{"entry", "state", "journal", megabytes(entryJournalEvents * s["journal_event_heap"]), 0, unitMB},
		{"entry", "state", "counts of 2,000 active teams in 30 windows", megabytes(countedWindows * activeTeamsPerWindow * s["usage_count_heap"]), 0, unitMB},
		{"entry", "state", "records kept through an outage of an hour", megabytes(entryRequestsPerSec * outageSeconds * s["usage_waiting_heap"]), 0, unitMB},
	}
	messages := []Estimate{
		{"entry", "messages", fmt.Sprintf("%.0f status calls a second", statusCallsPerSec()), kilobytes(statusCallsPerSec() * s["status_call"]), 0, unitKB},
		{"entry", "messages", "reads of the VM list, each 30 s", kilobytes((targetAgents + targetEntries) * s["vm_list_row"] / vmListPollSeconds), 0, unitKB},
		{"entry", "messages", "looks at the configuration's head and changes", kilobytes(s["config_poll"]/configPollSeconds + changesPerSec*s["config_key_change"]*base64Expansion), 0, unitKB},
		{"entry", "messages", "looks at a lease", kilobytes(s["lease_step"] / 2 / leaseRenewSeconds), 0, unitKB},
		{"entry", "messages", "usage batches", kilobytes(entryRequestsPerSec * s["usage_record_row"] * base64Expansion), 0, unitKB},
	}
	times := []Estimate{
		{"entry", "processor time", "status calls, half of both ends", cpuPercent(statusCallsPerSec() * s["status_call_cpu"] / 2), 0, unitPercent},
		{"entry", "processor time", "configuration and lease", cpuPercent(s["config_poll_cpu"]/configPollSeconds + s["lease_step_cpu"]/leaseRenewSeconds + changesPerSec*s["config_key_apply"]), 0, unitPercent},
		{"entry", "processor time", "reads of the VM list", cpuPercent((targetAgents + targetEntries) * s["vm_list_cpu"] / vmListPollSeconds), 0, unitPercent},
		{"entry", "processor time", "usage", cpuPercent(entryRequestsPerSec * s["usage_record_write"]), 0, unitPercent},
	}
	estimates := withTotal(memory, "memory", megabytes(maxMemoryBytes))
	estimates = append(estimates, withTotal(messages, "messages", kilobytes(maxMessageBytesPerSec))...)
	estimates = append(estimates, withTotal(times, "processor time", cpuPercent(maxCPUMicrosPerSec))...)
	return append(estimates, Estimate{"entry", "a request's own", "choices of endpoints, beside control", cpuPercent(entryRequestsPerSec * s["route_choice"]), 0, unitPercent})
}

// withTotal appends the sum of the estimates, with its bound.
func withTotal(estimates []Estimate, kind string, bound float64) []Estimate {
	total := Estimate{Role: estimates[0].Role, Kind: kind, What: "all of these", Bound: bound, Unit: estimates[0].Unit}
	for _, estimate := range estimates {
		total.Value += estimate.Value
	}
	return append(estimates, total)
}

func holderEstimates(s Slopes) []Estimate {
	reportsPerSec := float64(targetTeams) / usageWindowSeconds
	sealedBytesPerSec := targetTeams * s["sealed_team_row"] / usageWindowSeconds
	readBytesPerSec := targetRequestsPerSec * s["usage_record_row"] * base64Expansion
	return []Estimate{
		{"entry with the usage lease", "state", "sequences of 3,700 agents and totals of 22,000 teams", megabytes(targetAgents*s["seal_source_heap"] + targetTeams*s["usage_count_heap"]), megabytes(maxMemoryBytes), unitMB},
		{"entry with the usage lease", "messages", "batches read", kilobytes(readBytesPerSec), kilobytes(maxMessageBytesPerSec), unitKB},
		{"entry with the usage lease", "messages", "sealed windows written and read back", kilobytes(2 * sealedBytesPerSec * base64Expansion), kilobytes(maxMessageBytesPerSec), unitKB},
		{"entry with the usage lease", "processor time", "adding up", cpuPercent(targetRequestsPerSec * s["seal_record"]), cpuPercent(maxCPUMicrosPerSec), unitPercent},
		{"entry with the usage lease", "processor time", fmt.Sprintf("%.0f reports a second", reportsPerSec), cpuPercent(reportsPerSec * s["report"]), cpuPercent(maxCPUMicrosPerSec), unitPercent},
		{"table service", "writes", "batches of all entries", targetEntries / usageFlushSeconds, 0, unitPerSecond},
		{"table service", "writes", "deletions of sealed batches, 200 in a transaction", targetEntries / usageFlushSeconds / 200.0, 0, unitPerSecond},
		{"table service", "reads", "head of the configuration, all entries", targetEntries / float64(configPollSeconds), 0, unitPerSecond},
		{"table service", "reads", "the usage lease, all entries", leaseCandidates/float64(leaseRenewSeconds) + (targetEntries-leaseCandidates)/float64(leaseStandbySeconds), 0, unitPerSecond},
		{"table service", "reads", "a capacity lease, all entries", targetEntries / float64(leaseRenewSeconds), 0, unitPerSecond},
		{"table service", "reads", "crash marks, all entries", targetEntries / float64(crashMarkPollSeconds), 0, unitPerSecond},
		{"table service", "reads", "claims left open, all entries", targetEntries / float64(claimSweepSeconds), 0, unitPerSecond},
	}
}

func agentEstimates(s Slopes) []Estimate {
	callsPerSec := float64(pollersPerAgent)/agentPollSeconds + float64(targetEntries)/introductionSeconds
	memory := []Estimate{
		{"agent", "state", "the process itself", megabytes(s["agent_base_heap"]), 0, unitMB},
		{"agent", "state", "journal", megabytes(agentJournalEvents * s["journal_event_heap"]), 0, unitMB},
		{"agent", "state", "records held for 45 s", megabytes(agentRequestsPerSec * recordHoldSeconds * s["held_record_heap"]), 0, unitMB},
		{"agent", "state", "records held through an outage of an hour", megabytes(agentRequestsPerSec * outageSeconds * s["held_record_heap"]), 0, unitMB},
	}
	messages := []Estimate{
		{"agent", "messages", fmt.Sprintf("%.1f status calls a second", callsPerSec), kilobytes(callsPerSec * s["status_call"]), 0, unitKB},
	}
	times := []Estimate{
		{"agent", "processor time", "status calls, half of both ends", cpuPercent(callsPerSec * s["status_call_cpu"] / 2), 0, unitPercent},
		{"agent", "processor time", "records", cpuPercent(agentRequestsPerSec * s["agent_record"]), 0, unitPercent},
	}
	estimates := withTotal(memory, "memory", megabytes(maxMemoryBytes))
	estimates = append(estimates, withTotal(messages, "messages", kilobytes(maxMessageBytesPerSec))...)
	return append(estimates, withTotal(times, "processor time", cpuPercent(maxCPUMicrosPerSec))...)
}
