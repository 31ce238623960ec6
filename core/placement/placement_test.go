package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
)

const memory = 400_000

var start = time.Unix(1_000_000, 0)

func engine(id string, stage placement.Stage) *placement.Engine {
	return placement.NewEngine(id, "home", stage, 64, memory, &placement.Bias{})
}

func prompt(tokens int, shared string) placement.Prompt {
	return placement.Prompt{Tokens: tokens, Parts: []placement.Part{{ID: shared, Tokens: tokens / 2}, {ID: shared + "-own", Tokens: tokens - tokens/2}}}
}

func request(p placement.Prompt, level int) placement.Request {
	return placement.Request{Prompt: p, Level: level, Budget: 600 * time.Millisecond, Patience: 2400 * time.Millisecond, Home: "home", Far: 200 * time.Millisecond}
}

// waiting returns what another process tells of a prompt that it sent just now.
func waiting(level int, work float64) []placement.Unread {
	return []placement.Unread{{Level: level, Work: work, Left: work}}
}

// Pattern: long prompts in a mix of short ones. The long ones are read by the
// engine that only reads, short ones beside the streams.
func TestLongPromptsAreReadApart(t *testing.T) {
	engines := []*placement.Engine{engine("p", placement.Prefill), engine("d", placement.Decode)}
	long := placement.Decide(start, request(prompt(8000, "a"), 2), engines)
	require.Equal(t, "p", long.Prefill.ID)
	require.Equal(t, "d", long.Decode.ID)
	short := placement.Decide(start, request(prompt(200, "b"), 2), engines)
	require.Nil(t, short.Prefill)
	require.Equal(t, "d", short.Decode.ID)
}

// Pattern: more prompts than can be read in time. Those that can't be in time
// go behind the others, and those whose callers would leave are refused at once
// with a time to come back; none is refused while it could be in time.
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
			require.Positive(t, decision.RetryIn)
			continue
		case placement.Late:
			require.Equal(t, placement.LateLevel, decision.Level)
		}
		reader := decision.Decode
		if decision.Prefill != nil {
			reader = decision.Prefill
		}
		reader.Send(start, p, decision.Level, 0)
	}
	require.Equal(t, []placement.Verdict{placement.InTime, placement.Late, placement.Refused}, seen)
	// A more urgent prompt does not wait behind them.
	urgent := placement.Decide(start, request(prompt(2000, "urgent"), 0), engines)
	require.Equal(t, placement.InTime, urgent.Verdict)
}

// Pattern: many prompts share long parts. An engine that holds a part is used
// for it, and when it is busy another fetches the part from it.
func TestSharedPartsAreReadOnce(t *testing.T) {
	first, second := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{first, second, engine("d", placement.Decode)}
	p := prompt(10_000, "shared")
	one := placement.Decide(start, request(p, 2), engines)
	one.Prefill.Send(start, p, 2, one.Fetched).Read(start.Add(200 * time.Millisecond))
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

// Pattern: an engine goes silent or slow. What it was sent is overdue, and the
// next prompts go elsewhere before any failure is seen.
func TestPromptsAvoidAnEngineThatIsBehind(t *testing.T) {
	silent, sound := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{silent, sound, engine("d", placement.Decode)}
	silent.Send(start, prompt(1000, "x"), 2, 0)
	decision := placement.Decide(start.Add(1500*time.Millisecond), request(prompt(4000, "y"), 2), engines)
	require.Same(t, sound, decision.Prefill)
}

// Pattern: an engine leaves while a prompt is read for it. The engine that goes
// on is chosen when the prompt has been read.
func TestEngineThatGoesOnIsChosenLate(t *testing.T) {
	leaving, staying := engine("d1", placement.Decode), engine("d2", placement.Decode)
	engines := []*placement.Engine{engine("p", placement.Prefill), leaving, staying}
	staying.StreamStarted()
	p := request(prompt(8000, "a"), 2)
	require.Same(t, leaving, placement.Decide(start, p, engines).Decode)
	leaving.Draining = true
	require.Same(t, staying, placement.Continue(start.Add(time.Second), p, engines))
	staying.Draining = true
	require.Nil(t, placement.Continue(start.Add(time.Second), p, engines))
}

// Pattern: all engines are full or left alone for a moment. Work waits for a
// slot; it is not refused while its caller would still get it.
func TestFullEnginesAreNoReasonToRefuse(t *testing.T) {
	only := engine("d", placement.Decode)
	for range 64 {
		only.StreamStarted()
	}
	only.RestUntil = start.Add(time.Second)
	decision := placement.Decide(start, request(prompt(200, "a"), 2), []*placement.Engine{only})
	require.Equal(t, placement.InTime, decision.Verdict)
	require.Equal(t, placement.Nobody, placement.Decide(start, request(prompt(200, "a"), 2), nil).Verdict)
}

// Pattern: several entry processes send to the same engines. What others sent
// counts, and is forgotten with them.
func TestLoadsOfOtherProcessesCount(t *testing.T) {
	busy, idle := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{busy, idle, engine("d", placement.Decode)}
	p := prompt(6000, "a")
	favourite := placement.Decide(start, request(p, 2), engines).Prefill
	favourite.SetRemote(start, "other", waiting(0, 40_000), placement.Streams{Running: 3})
	require.NotSame(t, favourite, placement.Decide(start, request(p, 2), engines).Prefill)
	require.Equal(t, 3, favourite.Running())
	favourite.DropRemote("other")
	require.Same(t, favourite, placement.Decide(start, request(p, 2), engines).Prefill)
}

// Pattern: many processes use one engine, and each knows little of the others.
// An own prompt counts, here and for others, until the engine is seen to have
// read it, however long ago it should have; then nothing of it is left.
func TestOwnPromptsCountUntilTheyAreRead(t *testing.T) {
	shared := engine("p", placement.Prefill)
	ticket := shared.Send(start, prompt(8000, "a"), 2, 0)
	sent := shared.Unread(start)
	require.Len(t, sent, 1)
	require.Equal(t, 2, sent[0].Level)
	require.Positive(t, sent[0].Left)
	later := shared.Unread(start.Add(2 * time.Second))
	require.Len(t, later, 1)
	require.GreaterOrEqual(t, later[0].Left, sent[0].Left/2)
	require.Less(t, later[0].Left, sent[0].Left, "it may have begun to read")
	require.Equal(t, 2*time.Second, later[0].Ago)
	ticket.Read(start.Add(2 * time.Second))
	require.Empty(t, shared.Unread(start.Add(2*time.Second)))
}

// Pattern: others go on sending between two tellings. What they told is not
// taken for done before they tell again.
func TestToldWorkLastsUntilTheNextTelling(t *testing.T) {
	busy, idle := engine("p1", placement.Prefill), engine("p2", placement.Prefill)
	engines := []*placement.Engine{busy, idle, engine("d", placement.Decode)}
	p := prompt(6000, "a")
	favourite := placement.Decide(start, request(p, 2), engines).Prefill
	favourite.SetRemote(start, "other", waiting(0, 40_000), placement.Streams{})
	later := start.Add(2 * time.Second)
	require.NotSame(t, favourite, placement.Decide(later, request(p, 2), engines).Prefill)
	favourite.SetRemote(later, "other", nil, placement.Streams{})
	require.Same(t, favourite, placement.Decide(later, request(p, 2), engines).Prefill)
}

// Pattern: bytes between data centres are dear. Work stays at home while that
// costs little time, and leaves when home is behind.
func TestWorkStaysInItsDataCentreUntilThatIsLate(t *testing.T) {
	home := engine("d1", placement.Decode)
	far := placement.NewEngine("d2", "far", placement.Decode, 64, memory, &placement.Bias{})
	engines := []*placement.Engine{home, far}
	require.Same(t, home, placement.Decide(start, request(prompt(500, "a"), 2), engines).Decode)
	for i := range 5 {
		home.Send(start, prompt(3000, fmt.Sprint(i)), 0, 0)
	}
	require.Same(t, far, placement.Decide(start, request(prompt(500, "a"), 2), engines).Decode)
}

func TestRateIsLearned(t *testing.T) {
	slow := engine("p", placement.Prefill)
	assumed := slow.Rate()
	now := start
	for i := range 60 {
		now = now.Add(5 * time.Second)
		slow.Send(now, prompt(6000, fmt.Sprint(i)), 0, 0).Read(now.Add(600 * time.Millisecond))
	}
	require.Less(t, slow.Rate(), assumed/3)
}

// Pattern: a long prompt of little urgency is being read when an urgent one
// comes. An engine ends what it has begun, so the urgent one goes elsewhere,
// whoever sent the long one. One that has not begun is overtaken.
func TestUrgentPromptsAvoidAnEngineThatReadsALongOne(t *testing.T) {
	const work = 60_000 // About a second of reading.
	urgent := request(prompt(3000, "urgent"), 0)
	fresh := func() (*placement.Engine, []*placement.Engine) {
		all := []*placement.Engine{engine("p1", placement.Prefill), engine("p2", placement.Prefill), engine("d", placement.Decode)}
		return placement.Decide(start, urgent, all).Prefill, all
	}
	favourite, all := fresh()
	favourite.Send(start, prompt(25_000, "long"), placement.LateLevel, 0)
	soon := start.Add(50 * time.Millisecond)
	require.NotSame(t, favourite, placement.Decide(soon, urgent, all).Prefill)

	favourite, all = fresh()
	favourite.SetRemote(start, "other", []placement.Unread{{Level: placement.LateLevel, Work: work, Left: work - 3000, Ago: 50 * time.Millisecond}}, placement.Streams{})
	require.NotSame(t, favourite, placement.Decide(start, urgent, all).Prefill)

	favourite, all = fresh()
	favourite.SetRemote(start, "other", waiting(placement.LateLevel, work), placement.Streams{})
	require.Same(t, favourite, placement.Decide(start, urgent, all).Prefill)
}

// Pattern: long answers run at an engine that also reads prompts. Each prompt
// delays all its streams, so prompts of some length are read apart, though that
// takes one longer by itself.
func TestPromptsAreReadApartFromManyStreams(t *testing.T) {
	const streams = 25
	reader, producer := engine("p", placement.Prefill), engine("d", placement.Decode)
	all := []*placement.Engine{reader, producer}
	reader.SetRemote(start, "other", waiting(0, 5000), placement.Streams{})
	brief := request(prompt(700, "a"), 2)
	require.Nil(t, placement.Decide(start, brief, all).Prefill, "nobody is delayed")
	for range streams {
		producer.StreamStarted()
	}
	require.Same(t, reader, placement.Decide(start, brief, all).Prefill)
}

// Pattern: more streams than the producers have slots for. A prompt that is read
// beside half as many streams is read apart beside a full house, where a delayed
// stream keeps others from a slot.
func TestReadingBesideStreamsCostsMoreWhenSlotsAreScarce(t *testing.T) {
	readHere := func(slots int) bool {
		reader := engine("p", placement.Prefill)
		producer := placement.NewEngine("d", "home", placement.Decode, slots, memory, &placement.Bias{})
		reader.SetRemote(start, "other", waiting(0, 5000), placement.Streams{})
		producer.SetRemote(start, "other", nil, placement.Streams{Running: 16})
		return placement.Decide(start, request(prompt(700, "a"), 2), []*placement.Engine{reader, producer}).Prefill == nil
	}
	require.True(t, readHere(64))
	require.False(t, readHere(20))
}

// Pattern: a swing to long answers. An engine at which they would miss their
// deadline is left to short ones, though it is nearer, whoever saw its pace.
func TestLongAnswersGoWhereTheyEndInTime(t *testing.T) {
	slow := engine("d1", placement.Decode)
	fast := placement.NewEngine("d2", "far", placement.Decode, 64, memory, &placement.Bias{})
	engines := []*placement.Engine{slow, fast}
	slow.SetRemote(start, "other", nil, placement.Streams{Running: 4, Pace: 140 * time.Millisecond})
	fast.StreamStarted()
	for range 50 {
		fast.NotePace(60 * time.Millisecond)
	}
	answer := request(prompt(300, "a"), 2)
	answer.Deadline = 8 * time.Second
	answer.Events = 20
	require.Same(t, slow, placement.Decide(start, answer, engines).Decode)
	require.Same(t, slow, placement.Continue(start, answer, engines))
	answer.Events = 80
	require.Same(t, fast, placement.Decide(start, answer, engines).Decode)
	require.Same(t, fast, placement.Continue(start, answer, engines))
}

// Pattern: engines that read in large pieces stretch the pauses of the streams
// beside to what their routes allow. A prompt then rather waits for a reader than
// to make all these streams late; where routes allow longer pauses it does not.
func TestPromptsAreReadApartWherePausesAreLong(t *testing.T) {
	const pause = 180 * time.Millisecond
	reader, producer := engine("p", placement.Prefill), engine("d", placement.Decode)
	for range 6 {
		producer.StreamStarted()
		producer.NotePace(pause)
	}
	reader.SetRemote(start, "vm-2", waiting(0, 12_000), placement.Streams{})
	r := request(prompt(3000, "a"), 2)
	r.Gap = 10 * pause
	require.Nil(t, placement.Decide(start, r, []*placement.Engine{reader, producer}).Prefill)
	r.Gap = pause
	tight := placement.Decide(start, r, []*placement.Engine{reader, producer})
	require.NotNil(t, tight.Prefill)
	require.Equal(t, "p", tight.Prefill.ID)
}
