package capacity

import "fmt"

// The target size.
const (
	targetEntries       = 390
	targetAgents        = 3700
	targetDataCentres   = 8
	targetRequests      = 18_000 // A second.
	targetTeams         = 22_000
	targetChanges       = 13_000 // A day.
	targetActiveTeams   = 2_000  // In one window at one entry.
	secondsADay         = 86_400
	requestsAnEntry     = float64(targetRequests) / targetEntries
	requestsAnAgent     = float64(targetRequests) / targetAgents
	pollersOfAgent      = 3
	pollSeconds         = 4
	introduceSeconds    = 60
	configPollSeconds   = 2
	leaseRenewSeconds   = 3
	leaseCandidates     = 3
	leaseStandbySeconds = 60
	crashReadSeconds    = 10
	claimSweepSeconds   = 5
	vmListSeconds       = 30
	flushSeconds        = 5
	windowSeconds       = 60
	holdSeconds         = 45
	outageSeconds       = 3600
	entryJournalEvents  = 32_768
	agentJournalEvents  = 4_096
	countedWindows      = 30
	eventsARequest      = 3
	boundCPU            = 22_000 // Microseconds a second: 2.2% of a core.
	boundMemory         = 256 << 20
	boundMessages       = 2 << 10 // Bytes a second.
	jsonValueExpansion  = 4.0 / 3 // Row values travel in base64.
	bytesAMegabyte      = 1 << 20
	bytesAKilobyte      = 1 << 10
	microsecondsPercent = 10_000 // Of one core, a second.
)

// Figure is what a role costs at the target size.
type Figure struct {
	Role  string
	Kind  string // state, messages, processor time or memory.
	What  string
	Value float64
	Bound float64 // In the unit of Value; 0: none of its own.
	Unit  string
}

// Slopes are measured slopes by name.
type Slopes map[string]float64

// Figures works out the cost of each role at the target size.
func Figures(s Slopes) []Figure {
	figures := entryFigures(s)
	figures = append(figures, holderFigures(s)...)
	return append(figures, agentFigures(s)...)
}

const (
	unitMB      = "MB"
	unitKB      = "KB/s"
	unitPercent = "% of a core"
	unitOps     = "a second"
)

func megabytes(bytes float64) float64 { return bytes / bytesAMegabyte }
func kilobytes(bytes float64) float64 { return bytes / bytesAKilobyte }
func percent(micros float64) float64  { return micros / microsecondsPercent }

// statusCalls is how many status calls an entry makes each second.
func statusCalls() float64 {
	return float64(targetAgents)*pollersOfAgent/targetEntries/pollSeconds + float64(targetAgents)/introduceSeconds
}

func entryFigures(s Slopes) []Figure {
	changes := float64(targetChanges) / secondsADay
	memory := []Figure{
		{"entry", "state", "the process itself", megabytes(s["entry_base_heap"]), 0, unitMB},
		{"entry", "state", "configuration of 22,000 teams with a key each", megabytes(targetTeams * (s["config_key_heap"] + s["config_team_heap"])), 0, unitMB},
		{"entry", "state", "view of 3,700 agents", megabytes(targetAgents * s["fleet_agent_heap"]), 0, unitMB},
		{"entry", "state", "journal", megabytes(entryJournalEvents * s["journal_event_heap"]), 0, unitMB},
		{"entry", "state", "counts of 2,000 active teams in 30 windows", megabytes(countedWindows * targetActiveTeams * s["usage_count_heap"]), 0, unitMB},
		{"entry", "state", "records kept through an outage of an hour", megabytes(requestsAnEntry * outageSeconds * s["usage_waiting_heap"]), 0, unitMB},
	}
	messages := []Figure{
		{"entry", "messages", fmt.Sprintf("%.0f status calls a second", statusCalls()), kilobytes(statusCalls() * s["status_call"]), 0, unitKB},
		{"entry", "messages", "reads of the VM list, each 30 s", kilobytes((targetAgents + targetEntries) * s["vm_list_row"] / vmListSeconds), 0, unitKB},
		{"entry", "messages", "looks at the configuration's head and changes", kilobytes(s["config_poll"]/configPollSeconds + changes*s["config_key_change"]*jsonValueExpansion), 0, unitKB},
		{"entry", "messages", "looks at a lease", kilobytes(s["lease_step"] / 2 / leaseRenewSeconds), 0, unitKB},
		{"entry", "messages", "usage batches", kilobytes(requestsAnEntry * s["usage_record_row"] * jsonValueExpansion), 0, unitKB},
	}
	times := []Figure{
		{"entry", "processor time", "status calls, half of both ends", percent(statusCalls() * s["status_call_cpu"] / 2), 0, unitPercent},
		{"entry", "processor time", "configuration and lease", percent(s["config_poll_cpu"]/configPollSeconds + s["lease_step_cpu"]/leaseRenewSeconds + changes*s["config_key_apply"]), 0, unitPercent},
		{"entry", "processor time", "reads of the VM list", percent((targetAgents + targetEntries) * s["vm_list_cpu"] / vmListSeconds), 0, unitPercent},
		{"entry", "processor time", "usage", percent(requestsAnEntry * s["usage_record_write"]), 0, unitPercent},
	}
	figures := withTotal(memory, "memory", megabytes(boundMemory))
	figures = append(figures, withTotal(messages, "messages", kilobytes(boundMessages))...)
	figures = append(figures, withTotal(times, "processor time", percent(boundCPU))...)
	return append(figures, Figure{"entry", "a request's own", "choices of endpoints, beside control", percent(requestsAnEntry * s["route_choice"]), 0, unitPercent})
}

// withTotal adds the sum of figures, which has a bound.
func withTotal(figures []Figure, kind string, bound float64) []Figure {
	total := Figure{Role: figures[0].Role, Kind: kind, What: "all of these", Bound: bound, Unit: figures[0].Unit}
	for _, figure := range figures {
		total.Value += figure.Value
	}
	return append(figures, total)
}

func holderFigures(s Slopes) []Figure {
	reportsASecond := float64(targetTeams) / windowSeconds
	sealed := targetTeams * s["sealed_team_row"] / windowSeconds
	read := targetRequests * s["usage_record_row"] * jsonValueExpansion
	return []Figure{
		{"entry with the usage lease", "state", "sequences of 3,700 agents and totals of 22,000 teams", megabytes(targetAgents*s["seal_source_heap"] + targetTeams*s["usage_count_heap"]), megabytes(boundMemory), unitMB},
		{"entry with the usage lease", "messages", "batches read", kilobytes(read), kilobytes(boundMessages), unitKB},
		{"entry with the usage lease", "messages", "sealed windows written and read back", kilobytes(2 * sealed * jsonValueExpansion), kilobytes(boundMessages), unitKB},
		{"entry with the usage lease", "processor time", "adding up", percent(targetRequests * s["seal_record"]), percent(boundCPU), unitPercent},
		{"entry with the usage lease", "processor time", fmt.Sprintf("%.0f reports a second", reportsASecond), percent(reportsASecond * s["report"]), percent(boundCPU), unitPercent},
		{"table service", "writes", "batches of all entries", targetEntries / flushSeconds, 0, unitOps},
		{"table service", "writes", "deletions of sealed batches, 200 in a transaction", targetEntries / flushSeconds / 200.0, 0, unitOps},
		{"table service", "reads", "head of the configuration, all entries", targetEntries / float64(configPollSeconds), 0, unitOps},
		{"table service", "reads", "the usage lease, all entries", leaseCandidates/float64(leaseRenewSeconds) + (targetEntries-leaseCandidates)/float64(leaseStandbySeconds), 0, unitOps},
		{"table service", "reads", "a capacity lease, all entries", targetEntries / float64(leaseRenewSeconds), 0, unitOps},
		{"table service", "reads", "crash marks, all entries", targetEntries / float64(crashReadSeconds), 0, unitOps},
		{"table service", "reads", "claims left open, all entries", targetEntries / float64(claimSweepSeconds), 0, unitOps},
	}
}

func agentFigures(s Slopes) []Figure {
	calls := float64(pollersOfAgent)/pollSeconds + float64(targetEntries)/introduceSeconds
	memory := []Figure{
		{"agent", "state", "the process itself", megabytes(s["agent_base_heap"]), 0, unitMB},
		{"agent", "state", "journal", megabytes(agentJournalEvents * s["journal_event_heap"]), 0, unitMB},
		{"agent", "state", "records held for 45 s", megabytes(requestsAnAgent * holdSeconds * s["held_record_heap"]), 0, unitMB},
		{"agent", "state", "records held through an outage of an hour", megabytes(requestsAnAgent * outageSeconds * s["held_record_heap"]), 0, unitMB},
	}
	messages := []Figure{
		{"agent", "messages", fmt.Sprintf("%.1f status calls a second", calls), kilobytes(calls * s["status_call"]), 0, unitKB},
	}
	times := []Figure{
		{"agent", "processor time", "status calls, half of both ends", percent(calls * s["status_call_cpu"] / 2), 0, unitPercent},
		{"agent", "processor time", "records", percent(requestsAnAgent * s["agent_record"]), 0, unitPercent},
	}
	figures := withTotal(memory, "memory", megabytes(boundMemory))
	figures = append(figures, withTotal(messages, "messages", kilobytes(boundMessages))...)
	return append(figures, withTotal(times, "processor time", percent(boundCPU))...)
}
