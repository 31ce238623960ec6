package node

import (
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/duties"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/fleet"
	"flamingospar.org/gateway/streamversions"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// State returns this process's state for a peer, with the usage counts on request.
func (n *Node) State(peer string, usage bool) *wirev1.PeerState {
	state := &wirev1.PeerState{
		Vm: n.settings.NodeName, Instance: n.instance, ConfigurationVersion: n.config.Version(), StoreLost: n.storeWatch.IsLost(),
	}
	endpoints := n.fleet.Position()
	state.EndpointsEra, state.EndpointsVersion = endpoints.Era, endpoints.Version
	for _, load := range n.selector.Loads() {
		state.Loads = append(state.Loads, encodeLoad(load))
	}
	for _, prompt := range n.selector.UnreportedPrompts(peer) {
		state.Prompts = append(state.Prompts, encodePrompt(prompt))
	}
	state.Parts = n.crashTracker.MarksForPeer(peer)
	state.Limits = n.limiter.Report(peer)
	state.Demands = n.shares.Report(peer)
	state.Estimates = encodeEstimates(n.selector.EstimatesForPeer(peer))
	for _, known := range n.versions.InUse() {
		state.Versions = append(state.Versions, &wirev1.ServiceVersion{Service: known.Service, Version: known.Version})
	}
	if usage {
		state.UsageWhole = true
		for window, counts := range n.tally.Snapshot() {
			state.Usage = append(state.Usage, n.encodeCounts(window, counts))
		}
	}
	return state
}

func encodePrompt(prompt engines.SentPrompt) *wirev1.PromptUse {
	encoded := &wirev1.PromptUse{Endpoint: prompt.Endpoint}
	for _, part := range prompt.Parts {
		encoded.Parts = append(encoded.Parts, &wirev1.PromptPart{Id: part.ID, Tokens: int32(part.Tokens)})
	}
	return encoded
}

func decodePrompts(encoded []*wirev1.PromptUse) []engines.SentPrompt {
	prompts := make([]engines.SentPrompt, 0, len(encoded))
	for _, item := range encoded {
		prompt := engines.SentPrompt{Endpoint: item.GetEndpoint()}
		for _, part := range item.GetParts() {
			prompt.Parts = append(prompt.Parts, placement.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
		}
		prompts = append(prompts, prompt)
	}
	return prompts
}

func encodeLoad(load engines.Load) *wirev1.EngineLoad {
	encoded := &wirev1.EngineLoad{
		Endpoint: load.Endpoint, Streams: int32(load.Streams.Running), PaceMs: uint32(load.Streams.EventGap.Milliseconds()),
		InFlight: uint32(load.InFlight),
	}
	for _, prompt := range load.Pending {
		encoded.Unread = append(encoded.Unread, &wirev1.UnreadPrompt{
			Level: uint32(prompt.Level), Work: uint32(prompt.Work), Left: uint32(prompt.Remaining), AgoMs: uint32(prompt.Age.Milliseconds()),
		})
	}
	return encoded
}

func decodeLoad(encoded *wirev1.EngineLoad) engines.Load {
	load := engines.Load{Endpoint: encoded.GetEndpoint(), InFlight: int(encoded.GetInFlight()), Streams: placement.Streams{
		Running: int(encoded.GetStreams()), EventGap: time.Duration(encoded.GetPaceMs()) * time.Millisecond,
	}}
	for _, prompt := range encoded.GetUnread() {
		load.Pending = append(load.Pending, placement.PendingPrompt{
			Level: int(prompt.GetLevel()), Work: float64(prompt.GetWork()), Remaining: float64(prompt.GetLeft()),
			Age: time.Duration(prompt.GetAgoMs()) * time.Millisecond,
		})
	}
	return load
}

func (n *Node) encodeCounts(window duties.Window, counts map[string]int64) *wirev1.WindowCounts {
	encoded := &wirev1.WindowCounts{Instance: n.instance, Window: int64(window)}
	for team, count := range counts {
		encoded.Teams = append(encoded.Teams, &wirev1.TeamCount{Team: team, Began: count})
	}
	return encoded
}

// MergeState applies the state of another process.
func (n *Node) MergeState(state *wirev1.PeerState) {
	if !state.GetStoreLost() {
		n.storeWatch.MarkAvailableToPeers()
	}
	loads := make([]engines.Load, 0, len(state.GetLoads()))
	for _, encoded := range state.GetLoads() {
		loads = append(loads, decodeLoad(encoded))
	}
	n.selector.SetPeerLoads(state.GetVm(), loads)
	n.selector.MarkCached(decodePrompts(state.GetPrompts()))
	n.selector.MergeEstimates(state.GetVm(), state.GetInstance(), decodeEstimates(state.GetEstimates()))
	n.crashTracker.Merge(state.GetParts())
	n.limiter.Merge(state.GetVm(), state.GetLimits())
	n.shares.Merge(state.GetVm(), state.GetDemands())
	n.versions.MergeInUse(decodeVersions(state.GetVersions()))
	for _, window := range state.GetUsage() {
		counts := make(map[string]int64, len(window.GetTeams()))
		for _, team := range window.GetTeams() {
			counts[team.GetTeam()] = team.GetBegan()
		}
		n.replicas.Set(window.GetInstance(), duties.Window(window.GetWindow()), counts)
	}
	if now, synced := n.sharedClock.Now(); synced && state.GetUsageWhole() {
		n.replicas.RecordComplete(state.GetInstance(), now)
	}
}

func decodeVersions(encoded []*wirev1.ServiceVersion) []streamversions.ServiceVersion {
	versions := make([]streamversions.ServiceVersion, 0, len(encoded))
	for _, known := range encoded {
		versions = append(versions, streamversions.ServiceVersion{Service: known.GetService(), Version: known.GetVersion()})
	}
	return versions
}

// AddNewer adds what the peer lacks to a reply. While the store does not answer this
// process, it sends endpoints only to a peer that has none.
func (n *Node) AddNewer(state *wirev1.PeerState, reply *wirev1.ExchangeStateReply) {
	reply.Configuration = n.NewerConfiguration(state)
	hasNoEndpoints := state.GetEndpointsVersion() == 0
	if n.storeWatch.IsLost() && !hasNoEndpoints {
		return
	}
	changes := n.fleet.ChangesSince(fleet.Position{Era: state.GetEndpointsEra(), Version: state.GetEndpointsVersion()})
	for _, row := range changes.Rows {
		reply.Rows = append(reply.Rows, &wirev1.EndpointRow{Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Deleted})
	}
	reply.RowsEra, reply.RowsVersion = changes.Era, changes.Version
	reply.RowsAgeMs = changes.Age.Milliseconds()
	reply.RowsWhole = changes.Snapshot
}

// ApplyNewer applies the newer configuration and endpoints of a reply to a request sent at
// requestedAt.
func (n *Node) ApplyNewer(reply *wirev1.ExchangeStateReply, requestedAt time.Time) {
	if len(reply.GetConfiguration()) > 0 {
		n.ApplyConfiguration(reply.GetState().GetVm(), reply.GetConfiguration())
	}
	known := n.fleet.Position()
	sameEra := reply.GetRowsEra() == known.Era
	if reply.GetRowsVersion() == 0 || sameEra && reply.GetRowsVersion() < known.Version {
		return
	}
	rows := make([]fleet.Row, 0, len(reply.GetRows()))
	for _, row := range reply.GetRows() {
		rows = append(rows, fleet.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetRemoved()})
	}
	age := time.Since(requestedAt) + time.Duration(reply.GetRowsAgeMs()+1)*time.Millisecond // The reply truncates to milliseconds.
	snapshot := reply.GetRowsWhole()
	if snapshot && sameEra && known.Version > 0 {
		return // The fleet has been read in the meantime.
	}
	n.fleet.Apply(fleet.Changes{Rows: rows, Era: reply.GetRowsEra(), Version: reply.GetRowsVersion(), Snapshot: snapshot, Age: age})
}

// NewerConfiguration returns the configuration if it is newer than that of a state, or nil.
func (n *Node) NewerConfiguration(state *wirev1.PeerState) []byte {
	current := n.config.Current()
	if current == nil || current.Version <= state.GetConfigurationVersion() {
		return nil
	}
	return current.Raw
}

// ApplyConfiguration applies the configuration received from a VM.
func (n *Node) ApplyConfiguration(vm string, raw []byte) { n.applyConfig(raw, vm) }

// StoreLost reports whether this process gets no answer from the store.
func (n *Node) StoreLost() bool { return n.storeWatch.IsLost() }

// GrantSends answers a process that asks for permits to send requests to an endpoint.
func (n *Node) GrantSends(request *wirev1.AcquireSendsRequest) *wirev1.AcquireSendsReply {
	return n.limiter.Grant(request)
}

// GrantQuota answers a process that asks for units of teams' quotas.
func (n *Node) GrantQuota(request *wirev1.AcquireQuotaRequest) *wirev1.AcquireQuotaReply {
	return n.quotas.Grant(request)
}

// FindStream returns the version that began a stream, if this process knows it.
func (n *Node) FindStream(id uint64) (string, bool) { return n.versions.Remembered(id) }

// MemberRemoved drops what a process that is no longer listed has reported.
func (n *Node) MemberRemoved(vm string) {
	n.selector.DropPeer(vm)
	n.shares.DropPeer(vm)
}
