package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
)

const memoryTokens = 400_000

var start = time.Unix(1_000_000, 0)

func engine(id string, stage placement.Stage) *placement.Engine {
	return placement.NewEngine(id, "home", stage, 64, memoryTokens, &placement.Bias{})
}

func prompt(tokens int, shared string) placement.Prompt {
	return placement.Prompt{Tokens: tokens, Parts: []placement.Part{{ID: shared, Tokens: tokens / 2}, {ID: shared + "-own", Tokens: tokens - tokens/2}}}
}

func request(p placement.Prompt, level int) placement.Request {
	return placement.Request{Prompt: p, Level: level, Budget: 600 * time.Millisecond, MaxWait: 2400 * time.Millisecond, LocalDataCentre: "home", RemoteCost: 200 * time.Millisecond}
}

// pendingPrompt returns the report of another process about a prompt that it has
// just sent.
func pendingPrompt(level int, work float64) []placement.PendingPrompt {
	return []placement.PendingPrompt{{Level: level, Work: work, Remaining: work}}
}

// In a mix of long and short prompts, the prefill engine processes the long ones and
// the decode engine the short ones, beside its streams.
func TestLongPromptsArePrefilledSeparately(t *testing.T) {
	engines := []*placement.Engine{engine("p", placement.Prefill), engine("d", placement.Decode)}
	long := placement.Decide(start, request(prompt(8000, "a"), 2), engines)
	require.Equal(t, "p", long.Prefill.ID)
	require.Equal(t, "d", long.Decode.ID)
	short := placement.Decide(start, request(prompt(200, "b"), 2), engines)
	require.Nil(t, short.Prefill)
	require.Equal(t, "d", short.Decode.ID)
}

// When more prompts arrive than can be in time, the excess is queued at LateLevel,
// and prompts whose callers would give up first are refused at once with a retry
// time. None is refused while it could be in time.
func TestOverloadIsLateThenRefused(t *testing.T) {
	engines := []*placement.Engine{engine("p", placement.Prefill), engine("d", placement.Decode)}
	var seen []placement.Verdict
	for i := range 40 {
		p := prompt(9000, fmt.Sprint(i))
		decision := placement.Decide(start, request(p, 2), engines)
		if len(seen) == 0 || seen[len(seen)-1] != decision.Verdict {
			seen = append(seen, decision.Verdict)
		}
		switch decision.Verdict {
		case placement.Refused:
			require.Positive(t, decision.RetryAfter)
			continue
		case placement.Late:
			require.Equal(t, placement.LateLevel, decision.Level)
		}
		target := decision.Decode
		if decision.Prefill != nil {
			target = decision.Prefill
		}
		target.Send(start, p, decision.Level, 0)
	}
	require.Equal(t, []placement.Verdict{placement.InTime, placement.Late, placement.Refused}, seen)
	// A more urgent prompt overtakes them.
	urgent := placement.Decide(start, request(prompt(2000, "urgent"), 0), engines)
	require.Equal(t, placement.InTime, urgent.Verdict)
}

// Prompts that share a long part go to the engine that has it cached. When that
// engine is busy, another one fetches the part from it.
func TestSharedPartsArePrefilledOnce(t *testing.T) {
	first, second := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{first, second, engine("d", placement.Decode)}
	p := prompt(10_000, "shared")
	one := placement.Decide(start, request(p, 2), engines)
	one.Prefill.Send(start, p, 2, one.Fetched).PrefillDone(start.Add(200 * time.Millisecond))
	now := start.Add(time.Second)
	again := placement.Prompt{Tokens: 10_000, Parts: []placement.Part{{ID: "shared", Tokens: 5000}, {ID: "other", Tokens: 5000}}}
	two := placement.Decide(now, request(again, 2), engines)
	require.Same(t, one.Prefill, two.Prefill)
	for i := range 4 {
		two.Prefill.Send(now, prompt(9000, fmt.Sprint("busy", i)), 0, 0)
	}
	three := placement.Decide(now, request(again, 2), engines)
	require.NotSame(t, one.Prefill, three.Prefill)
	require.Same(t, one.Prefill, three.Source)
	require.Equal(t, 5000, three.Fetched)
}

// When an engine stops answering or slows down, its prompts become overdue, and the
// next ones go to other engines before any request has failed.
func TestPromptsAvoidAnOverdueEngine(t *testing.T) {
	overdue, healthy := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{overdue, healthy, engine("d", placement.Decode)}
	overdue.Send(start, prompt(1000, "x"), 2, 0)
	decision := placement.Decide(start.Add(1500*time.Millisecond), request(prompt(4000, "y"), 2), engines)
	require.Same(t, healthy, decision.Prefill)
}

// An engine may start draining while a prompt that it is to decode is in prefill
// elsewhere, so the decode engine is chosen after the prefill.
func TestDecodeEngineIsChosenAfterPrefill(t *testing.T) {
	first, second := engine("d1", placement.Decode), engine("d2", placement.Decode)
	engines := []*placement.Engine{engine("p", placement.Prefill), first, second}
	second.StreamStarted()
	p := request(prompt(8000, "a"), 2)
	require.Same(t, first, placement.Decide(start, p, engines).Decode)
	first.Draining = true
	require.Same(t, second, placement.ChooseDecode(start.Add(time.Second), p, engines))
	second.Draining = true
	require.Nil(t, placement.ChooseDecode(start.Add(time.Second), p, engines))
}

// When all engines are full or in backoff, a request waits for a slot. It is not
// refused as long as the answer would arrive before the caller stops waiting.
func TestFullEnginesDoNotCauseRefusal(t *testing.T) {
	only := engine("d", placement.Decode)
	for range 64 {
		only.StreamStarted()
	}
	only.BackoffUntil = start.Add(time.Second)
	decision := placement.Decide(start, request(prompt(200, "a"), 2), []*placement.Engine{only})
	require.Equal(t, placement.InTime, decision.Verdict)
	require.Equal(t, placement.NoEngine, placement.Decide(start, request(prompt(200, "a"), 2), nil).Verdict)
}

// Several entry processes send to the same engines. The load of the others counts
// until they are dropped.
func TestLoadsOfOtherProcessesCount(t *testing.T) {
	busy, idle := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{busy, idle, engine("d", placement.Decode)}
	p := prompt(6000, "a")
	preferred := placement.Decide(start, request(p, 2), engines).Prefill
	preferred.SetPeer(start, "other", pendingPrompt(0, 40_000), placement.Streams{Running: 3})
	require.NotSame(t, preferred, placement.Decide(start, request(p, 2), engines).Prefill)
	require.Equal(t, 3, preferred.Running())
	preferred.DropPeer("other")
	require.Same(t, preferred, placement.Decide(start, request(p, 2), engines).Prefill)
}

// Many processes use one engine and know only part of each other's load. A local
// prompt counts here and in reports until its prefill is known to be done, however
// overdue it is, and not at all afterwards.
func TestLocalPromptsCountUntilPrefillIsDone(t *testing.T) {
	shared := engine("p", placement.Prefill)
	assignment := shared.Send(start, prompt(8000, "a"), 2, 0)
	sent := shared.PendingPrompts(start)
	require.Len(t, sent, 1)
	require.Equal(t, 2, sent[0].Level)
	require.Positive(t, sent[0].Remaining)
	later := shared.PendingPrompts(start.Add(2 * time.Second))
	require.Len(t, later, 1)
	require.GreaterOrEqual(t, later[0].Remaining, sent[0].Remaining/2)
	require.Less(t, later[0].Remaining, sent[0].Remaining, "the prefill may have started")
	require.Equal(t, 2*time.Second, later[0].Age)
	assignment.PrefillDone(start.Add(2 * time.Second))
	require.Empty(t, shared.PendingPrompts(start.Add(2*time.Second)))
}

// Other processes keep sending between two reports. Work that they reported does
// not count as done before the next report.
func TestPeerWorkCountsUntilTheNextReport(t *testing.T) {
	busy, idle := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{busy, idle, engine("d", placement.Decode)}
	p := prompt(6000, "a")
	preferred := placement.Decide(start, request(p, 2), engines).Prefill
	preferred.SetPeer(start, "other", pendingPrompt(0, 40_000), placement.Streams{})
	later := start.Add(2 * time.Second)
	require.NotSame(t, preferred, placement.Decide(later, request(p, 2), engines).Prefill)
	preferred.SetPeer(later, "other", nil, placement.Streams{})
	require.Same(t, preferred, placement.Decide(later, request(p, 2), engines).Prefill)
}

// Traffic between data centres is expensive. Work stays in the local data centre
// while that costs little time, and moves when the local engines are backed up.
func TestWorkStaysInItsDataCentreUntilThatIsSlower(t *testing.T) {
	local := engine("d1", placement.Decode)
	remote := placement.NewEngine("d2", "far", placement.Decode, 64, memoryTokens, &placement.Bias{})
	engines := []*placement.Engine{local, remote}
	require.Same(t, local, placement.Decide(start, request(prompt(500, "a"), 2), engines).Decode)
	for i := range 5 {
		local.Send(start, prompt(3000, fmt.Sprint(i)), 0, 0)
	}
	require.Same(t, remote, placement.Decide(start, request(prompt(500, "a"), 2), engines).Decode)
}

func TestRateIsLearned(t *testing.T) {
	slow := engine("p", placement.Prefill)
	assumed := slow.Rate()
	now := start
	for i := range 60 {
		now = now.Add(5 * time.Second)
		slow.Send(now, prompt(6000, fmt.Sprint(i)), 0, 0).PrefillDone(now.Add(600 * time.Millisecond))
	}
	require.Less(t, slow.Rate(), assumed/3)
}

// An urgent prompt arrives while an engine processes a long one of low priority.
// Prefill is not preempted, so the urgent prompt goes to another engine, whichever
// process sent the long one. A long prompt that has not started is overtaken.
func TestUrgentPromptsAvoidAnEngineWithALongPrefill(t *testing.T) {
	const work = 60_000 // About one second of prefill.
	urgent := request(prompt(3000, "urgent"), 0)
	newEngines := func() (*placement.Engine, []*placement.Engine) {
		all := []*placement.Engine{engine("p1", placement.Prefill), engine("p2", placement.Prefill), engine("d", placement.Decode)}
		return placement.Decide(start, urgent, all).Prefill, all
	}
	preferred, all := newEngines()
	preferred.Send(start, prompt(25_000, "long"), placement.LateLevel, 0)
	soon := start.Add(50 * time.Millisecond)
	require.NotSame(t, preferred, placement.Decide(soon, urgent, all).Prefill)

	preferred, all = newEngines()
	preferred.SetPeer(start, "other", []placement.PendingPrompt{{Level: placement.LateLevel, Work: work, Remaining: work - 3000, Age: 50 * time.Millisecond}}, placement.Streams{})
	require.NotSame(t, preferred, placement.Decide(start, urgent, all).Prefill)

	preferred, all = newEngines()
	preferred.SetPeer(start, "other", pendingPrompt(placement.LateLevel, work), placement.Streams{})
	require.Same(t, preferred, placement.Decide(start, urgent, all).Prefill)
}

// Each prefill at a decode engine delays all its streams. With many streams, a
// prompt goes to the prefill engine even if its own prefill takes longer there.
func TestPromptsArePrefilledApartFromManyStreams(t *testing.T) {
	const streams = 25
	prefill, decode := engine("p", placement.Prefill), engine("d", placement.Decode)
	all := []*placement.Engine{prefill, decode}
	prefill.SetPeer(start, "other", pendingPrompt(0, 5000), placement.Streams{})
	brief := request(prompt(700, "a"), 2)
	require.Nil(t, placement.Decide(start, brief, all).Prefill, "no stream is delayed")
	for range streams {
		decode.StreamStarted()
	}
	require.Same(t, prefill, placement.Decide(start, brief, all).Prefill)
}

// A prompt that is processed beside 16 streams at a decode engine with free slots
// goes to the prefill engine when the slots are nearly full, since a delayed stream
// then keeps others waiting for a slot.
func TestPrefillBesideStreamsCostsMoreWhenSlotsAreScarce(t *testing.T) {
	prefillsAtDecode := func(slots int) bool {
		prefill := engine("p", placement.Prefill)
		decode := placement.NewEngine("d", "home", placement.Decode, slots, memoryTokens, &placement.Bias{})
		prefill.SetPeer(start, "other", pendingPrompt(0, 5000), placement.Streams{})
		decode.SetPeer(start, "other", nil, placement.Streams{Running: 16})
		return placement.Decide(start, request(prompt(700, "a"), 2), []*placement.Engine{prefill, decode}).Prefill == nil
	}
	require.True(t, prefillsAtDecode(64))
	require.False(t, prefillsAtDecode(20))
}

// After a shift to long answers, an engine at which they would miss their deadline
// gets only short ones, though it is in the local data centre and its event gap is
// known only from another process.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	slow := engine("d1", placement.Decode)
	fast := placement.NewEngine("d2", "far", placement.Decode, 64, memoryTokens, &placement.Bias{})
	engines := []*placement.Engine{slow, fast}
	slow.SetPeer(start, "other", nil, placement.Streams{Running: 4, EventGap: 140 * time.Millisecond})
	fast.StreamStarted()
	for range 50 {
		fast.ObserveEventGap(60 * time.Millisecond)
	}
	answer := request(prompt(300, "a"), 2)
	answer.Deadline = 8 * time.Second
	answer.ExpectedEvents = 20
	require.Same(t, slow, placement.Decide(start, answer, engines).Decode)
	require.Same(t, slow, placement.ChooseDecode(start, answer, engines))
	answer.ExpectedEvents = 80
	require.Same(t, fast, placement.Decide(start, answer, engines).Decode)
	require.Same(t, fast, placement.ChooseDecode(start, answer, engines))
}

// Prefill in large chunks stretches the event gaps of streams at the same engine to
// what their routes allow. A prompt then waits for the prefill engine instead of
// making all these streams late, unless its route allows longer gaps.
func TestPromptsArePrefilledApartWhenEventGapsAreLong(t *testing.T) {
	const eventGap = 180 * time.Millisecond
	prefill, decode := engine("p", placement.Prefill), engine("d", placement.Decode)
	for range 6 {
		decode.StreamStarted()
		decode.ObserveEventGap(eventGap)
	}
	prefill.SetPeer(start, "vm-2", pendingPrompt(0, 12_000), placement.Streams{})
	r := request(prompt(3000, "a"), 2)
	r.MaxEventGap = 10 * eventGap
	require.Nil(t, placement.Decide(start, r, []*placement.Engine{prefill, decode}).Prefill)
	r.MaxEventGap = eventGap
	tight := placement.Decide(start, r, []*placement.Engine{prefill, decode})
	require.NotNil(t, tight.Prefill)
	require.Equal(t, "p", tight.Prefill.ID)
}
