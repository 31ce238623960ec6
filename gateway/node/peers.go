package node

import (
	"time"

	"flamingospar.org/core/crash"
	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/duties"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// State implements peers.Sources.
func (n *Node) State(peer string, usage bool) *wirev1.PeerState {
	state := &wirev1.PeerState{
		Vm: n.settings.Node, Instance: n.instance, ConfigurationVersion: n.config.Version(), EndpointsVersion: n.fleet.Version(), StoreLost: n.storeWatch.IsLost(),
	}
	for _, load := range n.ledger.Loads() {
		state.Loads = append(state.Loads, encodeLoad(load))
	}
	for _, use := range n.ledger.Uses(peer) {
		state.Prompts = append(state.Prompts, encodeUse(use))
	}
	for _, mark := range n.crashes.Told() {
		state.Marks = append(state.Marks, &wirev1.CrashMark{
			Fingerprint: string(mark.Fingerprint), Team: mark.Team, Crashes: mark.Crashes, ClearedUnixMillis: mark.Cleared,
		})
	}
	if usage {
		state.UsageWhole = true
		for window, began := range n.tally.Open() {
			state.Usage = append(state.Usage, n.encodeCounts(window, began))
		}
	}
	return state
}

func encodeUse(use engines.Use) *wirev1.PromptUse {
	encoded := &wirev1.PromptUse{Endpoint: use.Endpoint}
	for _, part := range use.Parts {
		encoded.Parts = append(encoded.Parts, &wirev1.PromptPart{Id: part.ID, Tokens: int32(part.Tokens)})
	}
	return encoded
}

func decodeUses(encoded []*wirev1.PromptUse) []engines.Use {
	uses := make([]engines.Use, 0, len(encoded))
	for _, prompt := range encoded {
		use := engines.Use{Endpoint: prompt.GetEndpoint()}
		for _, part := range prompt.GetParts() {
			use.Parts = append(use.Parts, placement.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
		}
		uses = append(uses, use)
	}
	return uses
}

func encodeLoad(load engines.Load) *wirev1.EngineLoad {
	encoded := &wirev1.EngineLoad{
		Endpoint: load.Endpoint, Streams: int32(load.Streams.Running), PaceMs: uint32(load.Streams.EventGap.Milliseconds()),
	}
	for _, unread := range load.Unread {
		encoded.Unread = append(encoded.Unread, &wirev1.UnreadPrompt{
			Level: uint32(unread.Level), Work: uint32(unread.Work), Left: uint32(unread.Remaining), AgoMs: uint32(unread.Age.Milliseconds()),
		})
	}
	return encoded
}

func decodeLoad(encoded *wirev1.EngineLoad) engines.Load {
	load := engines.Load{Endpoint: encoded.GetEndpoint(), Streams: placement.Streams{
		Running: int(encoded.GetStreams()), EventGap: time.Duration(encoded.GetPaceMs()) * time.Millisecond,
	}}
	for _, unread := range encoded.GetUnread() {
		load.Unread = append(load.Unread, placement.PendingPrompt{
			Level: int(unread.GetLevel()), Work: float64(unread.GetWork()), Remaining: float64(unread.GetLeft()),
			Age: time.Duration(unread.GetAgoMs()) * time.Millisecond,
		})
	}
	return load
}

func (n *Node) encodeCounts(window duties.Window, began map[string]int64) *wirev1.WindowCounts {
	encoded := &wirev1.WindowCounts{Instance: n.instance, Window: int64(window)}
	for team, count := range began {
		encoded.Teams = append(encoded.Teams, &wirev1.TeamCount{Team: team, Began: count})
	}
	return encoded
}

// TakeState implements peers.Sources.
func (n *Node) TakeState(state *wirev1.PeerState) {
	if !state.GetStoreLost() {
		n.storeWatch.AnswersOthers()
	}
	loads := make([]engines.Load, 0, len(state.GetLoads()))
	for _, encoded := range state.GetLoads() {
		loads = append(loads, decodeLoad(encoded))
	}
	n.ledger.SetRemote(state.GetVm(), loads)
	n.ledger.SetUses(decodeUses(state.GetPrompts()))
	n.crashes.Merge(decodeMarks(state.GetMarks()))
	for _, counts := range state.GetUsage() {
		began := make(map[string]int64, len(counts.GetTeams()))
		for _, team := range counts.GetTeams() {
			began[team.GetTeam()] = team.GetBegan()
		}
		n.replicas.Set(counts.GetInstance(), duties.Window(counts.GetWindow()), began)
	}
	if now, sure := n.trueTime.Now(); sure && state.GetUsageWhole() {
		n.replicas.Heard(state.GetInstance(), now)
	}
}

func decodeMarks(encoded []*wirev1.CrashMark) []crash.Mark {
	marks := make([]crash.Mark, 0, len(encoded))
	for _, mark := range encoded {
		marks = append(marks, crash.Mark{
			Fingerprint: crash.Fingerprint(mark.GetFingerprint()), Team: mark.GetTeam(), Crashes: mark.GetCrashes(), Cleared: mark.GetClearedUnixMillis(),
		})
	}
	return marks
}

// Newer implements peers.Sources.
func (n *Node) Newer(state *wirev1.PeerState, reply *wirev1.ExchangeStateReply) {
	reply.Configuration = n.NewerConfiguration(state)
	knowsNone := state.GetEndpointsVersion() == 0
	if n.storeWatch.IsLost() && !knowsNone {
		return
	}
	news := n.fleet.Since(state.GetEndpointsVersion())
	for _, row := range news.Rows {
		reply.Rows = append(reply.Rows, &wirev1.EndpointRow{Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	reply.RowsVersion = news.Version
	reply.RowsAgeMs = news.Age.Milliseconds()
	reply.RowsWhole = news.Whole
}

// TakeNewer implements peers.Sources.
func (n *Node) TakeNewer(reply *wirev1.ExchangeStateReply, asked time.Time) {
	if len(reply.GetConfiguration()) > 0 {
		n.TakeConfiguration(reply.GetState().GetVm(), reply.GetConfiguration())
	}
	if reply.GetRowsVersion() < n.fleet.Version() || reply.GetRowsVersion() == 0 {
		return
	}
	rows := make([]fleet.Row, 0, len(reply.GetRows()))
	for _, row := range reply.GetRows() {
		rows = append(rows, fleet.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Removed: row.GetRemoved()})
	}
	age := time.Since(asked) + time.Duration(reply.GetRowsAgeMs()+1)*time.Millisecond // The reply cuts a millisecond off.
	whole := reply.GetRowsWhole()
	if whole && n.fleet.Version() > 0 {
		return // The store has answered meanwhile.
	}
	n.fleet.Apply(rows, reply.GetRowsVersion(), whole, age)
}

// NewerConfiguration implements peers.Sources.
func (n *Node) NewerConfiguration(state *wirev1.PeerState) []byte {
	current := n.config.Current()
	if current == nil || current.Version <= state.GetConfigurationVersion() {
		return nil
	}
	return current.Raw
}

// TakeConfiguration implements peers.Sources.
func (n *Node) TakeConfiguration(vm string, raw []byte) { n.takeConfig(raw, vm) }

// StoreLost implements peers.Sources.
func (n *Node) StoreLost() bool { return n.storeWatch.IsLost() }

// MemberGone implements peers.Sources.
func (n *Node) MemberGone(vm string) {
	n.ledger.DropPeer(vm)
}
