package engines

import "flamingospar.org/core/placement"

// maxSentPrompts is the number of recent prompts that are kept to be reported to
// other processes.
const maxSentPrompts = 512

// SentPrompt is a prompt that was sent to an engine, without its last part: no other
// prompt shares that one.
type SentPrompt struct {
	Endpoint string
	Parts    []placement.Part
}

// sentPromptList holds the most recent prompts and which of them have been sent to
// each peer.
type sentPromptList struct {
	list     []SentPrompt   // In sequence.
	firstSeq int            // Sequence number of list[0].
	nextSeq  map[string]int // First sequence number not yet reported, by peer.
}

func (sp *sentPromptList) add(endpoint string, parts []placement.Part) {
	if len(parts) < 2 {
		return
	}
	sp.list = append(sp.list, SentPrompt{Endpoint: endpoint, Parts: parts[:len(parts)-1]})
	if excess := len(sp.list) - maxSentPrompts; excess > 0 {
		sp.list = append([]SentPrompt(nil), sp.list[excess:]...)
		sp.firstSeq += excess
	}
}

// unreported returns the prompts not yet reported to a peer and marks them as
// reported.
func (sp *sentPromptList) unreported(peer string) []SentPrompt {
	firstIndex := max(sp.nextSeq[peer]-sp.firstSeq, 0)
	sp.nextSeq[peer] = sp.firstSeq + len(sp.list)
	return sp.list[firstIndex:]
}

// UnreportedPrompts returns the prompts sent since the previous call for the peer,
// except those dropped from the list.
func (s *Selector) UnreportedPrompts(peer string) []SentPrompt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]SentPrompt(nil), s.sentPrompts.unreported(peer)...)
}

// MarkCached records prompts that another process sent: their engines hold the
// parts in their prefix caches.
func (s *Selector) MarkCached(prompts []SentPrompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, prompt := range prompts {
		if engine, ok := s.enginesByID[prompt.Endpoint]; ok {
			engine.MarkCached(prompt.Parts)
		}
	}
}

// Load is the load that one process puts on an endpoint.
type Load struct {
	Endpoint string
	Pending  []placement.PendingPrompt
	Streams  placement.Streams
	InFlight int // Requests at a plain endpoint.
}

// Loads returns the loads that this process puts on endpoints, for its peers.
func (s *Selector) Loads() []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var loads []Load
	for id, engine := range s.enginesByID {
		load := Load{Endpoint: id, Pending: engine.PendingPrompts(now), Streams: engine.Streams()}
		if load.Streams.Running > 0 || len(load.Pending) > 0 {
			loads = append(loads, load)
		}
	}
	return append(loads, s.plainLoads()...)
}

// SetPeerLoads replaces the loads of another process. Endpoints that are not listed
// carry no load from it.
func (s *Selector) SetPeerLoads(peer string, loads []Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.peerReportedAt[peer] = now
	reported := make(map[string]bool, len(loads))
	for _, load := range loads {
		if engine, ok := s.enginesByID[load.Endpoint]; ok {
			reported[load.Endpoint] = true
			engine.SetPeer(now, peer, load.Pending, load.Streams)
		}
	}
	for id, engine := range s.enginesByID {
		if !reported[id] {
			engine.DropPeer(peer)
		}
	}
	s.setPeerPlainLoads(now, peer, loads)
}

// DropPeer removes the loads and the measurements of another process.
func (s *Selector) DropPeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peerReportedAt, peer)
	s.estimates.dropPeer(peer)
	for _, engine := range s.enginesByID {
		engine.DropPeer(peer)
	}
	s.dropPeerPlainLoads(peer)
}

// EstimatesForPeer returns what this process has measured itself since the last call for
// the peer.
func (s *Selector) EstimatesForPeer(vm string) []EstimateReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimates.report(s.now(), vm)
}

// MergeEstimates replaces what another process has measured, as far as it reports.
func (s *Selector) MergeEstimates(vm, instance string, reports []EstimateReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.MeasureEndpoints {
		return
	}
	s.estimates.merge(s.now(), vm, instance, reports)
	s.checkSpeeds(s.now())
}
