package blame_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/blame"
)

var start = time.UnixMilli(1_800_000_000_000)

func crashNo(i int) blame.Crash { return blame.Crash{Endpoint: fmt.Sprint("e-", i), StartedMS: 1} }

// fleet is the state of one process in which crashes and answers follow each other, a
// second apart.
type fleet struct {
	set     *blame.Set
	now     time.Time
	crashes int
}

func newFleet() *fleet { return &fleet{set: blame.New(), now: start} }

func parts(text string) []string { return strings.Fields(text) }

// runOf returns a run with the parts that a text names. A word with a colon names a request as a
// whole: "request:1" or "target:1".
func runOf(team, text string) blame.Run {
	run := blame.Run{Team: team}
	for _, word := range strings.Fields(text) {
		switch kind, name, _ := strings.Cut(word, ":"); kind {
		case "request":
			run.Requests = append(run.Requests, blame.RequestKey(name))
		case "target":
			run.Requests = append(run.Requests, blame.TargetKey(name))
		default:
			run.Parts = append(run.Parts, word)
		}
	}
	return run
}

// crash records the crash of another endpoint that was about to answer prompts of a team.
func (f *fleet) crash(team string, prompts ...string) {
	var runs []blame.Run
	for _, prompt := range prompts {
		runs = append(runs, runOf(team, prompt))
	}
	f.now = f.now.Add(time.Second)
	f.crashes++
	f.set.RecordCrash(crashNo(f.crashes), runs, f.now, f.now)
}

func (f *fleet) answer(prompt string) {
	f.now = f.now.Add(time.Second)
	f.set.RecordAnswer(runOf("a", prompt), f.now)
}

func (f *fleet) refused(team, prompt string) bool {
	return f.set.Verdict(runOf(team, prompt), f.now).Refused
}

// Requests beside those that crash endpoints were refused with them: those of the same
// team, with the same first part, with a part that often goes with the crashing one, or
// on the same endpoint.
func TestOnlyThePartThatCrashesIsBlamed(t *testing.T) {
	cases := map[string]struct {
		run     func(f *fleet)
		refused []string
		served  []string
	}{
		"nothing before enough crashes": {func(f *fleet) {
			f.crash("a", "first dead")
			f.crash("a", "first dead")
		}, nil, []string{"first dead", "first"}},
		"the part that is in all": {func(f *fleet) {
			f.answer("first beside")
			for i := range 4 {
				f.crash("a", fmt.Sprintf("first beside dead own%d", i))
			}
		}, []string{"first dead", "dead", "other dead x"}, []string{"first", "first beside", "beside", "first beside own1"}},
		"parts that nothing tells apart": {func(f *fleet) {
			for range 3 {
				f.crash("a", "twin dead")
			}
		}, []string{"twin dead", "dead x twin"}, []string{"twin", "dead"}},
		"told apart by a crash without the other": {func(f *fleet) {
			for range 3 {
				f.crash("a", "twin dead")
			}
			f.crash("a", "dead")
		}, []string{"dead", "twin dead"}, []string{"twin"}},
		"told apart by an answer": {func(f *fleet) {
			for range 3 {
				f.crash("a", "twin dead")
			}
			f.answer("twin")
		}, []string{"dead"}, []string{"twin"}},
		"several at once": {func(f *fleet) {
			f.answer("first")
			for i := range 3 {
				f.crash("a", "first dead1", fmt.Sprintf("first rare%d", i))
				f.crash("a", "first dead2", fmt.Sprintf("first waiting%d", i))
				f.crash("a", "first dead3 beside", fmt.Sprintf("first waiting%d", i+3))
			}
		}, []string{"first dead1", "dead2", "dead3 beside", "dead3 dead1"}, []string{"first", "first rare0", "first waiting1", "beside"}},
		"a part that waits wherever another crashes an endpoint": {func(f *fleet) {
			for i := range 9 {
				if i%2 == 0 {
					f.crash("a", "first dead", "first unlucky")
					continue
				}
				f.crash("a", "first dead")
			}
		}, []string{"dead first"}, []string{"first unlucky", "first"}},
		"answers in between": {func(f *fleet) {
			for range 8 {
				f.crash("a", "sound")
				f.answer("sound")
			}
		}, nil, []string{"sound"}},
		"a part that was answered needs more crashes": {func(f *fleet) {
			f.answer("common")
			for i := range 5 {
				f.crash("a", fmt.Sprintf("common own%d", i))
			}
		}, nil, []string{"common own7"}},
		"an endpoint's new software no longer bears a part": {func(f *fleet) {
			f.answer("was-sound")
			for i := range 6 {
				f.crash("a", fmt.Sprintf("was-sound own%d", i))
			}
		}, []string{"was-sound"}, []string{"own3"}},
		"all copies of one request": {func(f *fleet) {
			for range 3 {
				f.crash("a", "document request:1")
			}
		}, []string{"document request:1"}, []string{"document request:2"}},
		"long names": {func(f *fleet) {
			for range 3 {
				f.crash("a", strings.Repeat("x", 5000))
			}
		}, []string{strings.Repeat("x", 5000)}, []string{strings.Repeat("x", 5001)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			c.run(f)
			for _, prompt := range c.refused {
				require.True(t, f.refused("a", prompt), "%.80q", prompt)
			}
			for _, prompt := range c.served {
				require.False(t, f.refused("a", prompt), "%.80q", prompt)
			}
		})
	}
}

// A team whose requests crash endpoints had the same part refused to all teams.
func TestNoTeamAloneHasOthersRefused(t *testing.T) {
	f := newFleet()
	for range 5 {
		f.crash("a", "shared")
	}
	require.True(t, f.refused("a", "shared"))
	require.False(t, f.refused("b", "shared"))
	f.crash("b", "shared")
	require.True(t, f.refused("b", "shared"))
	require.True(t, f.refused("c", "shared"), "requests of two teams have crashed endpoints")
}

// Two processes that lose runs at the same crash counted it twice.
func TestACrashCountsOnce(t *testing.T) {
	f := newFleet()
	for range 5 {
		f.set.RecordCrash(crashNo(1), []blame.Run{{Team: "a", Parts: parts("p")}, {Team: "b", Parts: parts("p")}}, f.now, f.now)
	}
	f.set.RecordCrash(blame.Crash{Endpoint: "e-1", StartedMS: 2}, []blame.Run{{Team: "a", Parts: parts("p")}}, f.now, f.now)
	require.False(t, f.refused("a", "p"))
	f.set.RecordCrash(blame.Crash{Endpoint: "e-1", StartedMS: 3}, []blame.Run{{Team: "a", Parts: parts("p")}}, f.now, f.now)
	require.True(t, f.refused("a", "p"))
}

// A part was refused for ever although the endpoints had been mended. A refusal ends, one
// request is let through as a trial, and its answer clears the part; if it crashes an
// endpoint again, the next refusal is longer.
func TestARefusalEndsWithATrial(t *testing.T) {
	f := newFleet()
	for range 3 {
		f.crash("a", "dead")
	}
	verdict := f.set.Verdict(runOf("a", "dead"), f.now)
	require.True(t, verdict.Refused)
	first := verdict.Until.Sub(f.now)
	trials := 0
	for f.now.Before(start.Add(12 * time.Hour)) {
		f.now = f.now.Add(time.Second)
		if verdict := f.set.Verdict(runOf("a", "dead"), f.now); verdict.Trial {
			require.False(t, verdict.Refused)
			require.True(t, f.refused("a", "dead"), "one trial at a time")
			trials++
			f.crash("a", "dead")
		}
	}
	require.LessOrEqual(t, trials, 4, "a part that still crashes endpoints is tried less and less often")
	require.Positive(t, trials)
	require.Greater(t, f.set.Verdict(runOf("a", "dead"), f.now).Until.Sub(f.now), first)

	f.now = f.now.Add(24 * time.Hour)
	require.True(t, f.set.Verdict(runOf("a", "dead"), f.now).Trial)
	f.answer("dead")
	require.False(t, f.refused("a", "dead"))
	f.set.RemoveExpired(f.now.Add(blame.Retention))
	require.True(t, f.set.Empty())
}

// All processes let a request through at the moment at which a refusal ended.
func TestTrialsOfProcessesAreSpread(t *testing.T) {
	delayed := newFleet()
	delayed.set.TrialDelay = func(string) time.Duration { return time.Minute }
	for range 3 {
		delayed.crash("a", "dead")
	}
	until := delayed.set.Verdict(runOf("a", "dead"), delayed.now).Until
	require.True(t, delayed.set.Verdict(runOf("a", "dead"), until.Add(59*time.Second)).Refused)
	require.True(t, delayed.set.Verdict(runOf("a", "dead"), until.Add(time.Minute)).Trial)
}

// Marks and messages grew without bound with the prompts of one team.
func TestMarksAreBounded(t *testing.T) {
	f := newFleet()
	for range 3 {
		f.crash("a", "dead")
	}
	for i := range 300 {
		var prompts []string
		for j := range 40 {
			prompts = append(prompts, fmt.Sprintf("x%d-%d y%d-%d", i, j, i, j))
		}
		f.crash("b", prompts...)
	}
	require.Contains(t, f.set.Blamed(), []string{"dead"}, "marks with fewer crashes make room")
	marks := f.set.ChangedSince(time.Time{}, blame.MaxMarks+1000)
	require.Len(t, marks, blame.MaxMarks)
	require.Equal(t, "dead", marks[0].Part)
	require.Len(t, f.set.ChangedSince(time.Time{}, 10), 10)
	for i := range 200 {
		f.set.RecordCrash(crashNo(10_000+i), []blame.Run{{Team: fmt.Sprint(i), Parts: parts("dead")}}, f.now, f.now)
	}
	require.LessOrEqual(t, len(f.set.ChangedSince(time.Time{}, 1)[0].Evidence), 16)
}

// merge gives one process the marks of another, as they are exchanged.
func merge(from, to *blame.Set, now time.Time) {
	for _, mark := range from.ChangedSince(time.Time{}, blame.MaxMarks) {
		to.Merge(mark, now)
	}
}

// Processes that learned of the same crashes and answers in another order, or more than
// once, came to other verdicts.
func TestMarksMergeInAnyOrder(t *testing.T) {
	names := []string{"p", "q", "r"}
	rapid.Check(t, func(t *rapid.T) {
		sets := []*blame.Set{blame.New(), blame.New(), blame.New()}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			set := sets[rapid.IntRange(0, 2).Draw(t, "process")]
			prompt := []string{rapid.SampledFrom(names).Draw(t, "part"), rapid.SampledFrom(names).Draw(t, "other")}
			if rapid.IntRange(0, 5).Draw(t, "answer") == 0 {
				set.RecordAnswer(blame.Run{Parts: prompt}, start)
				continue
			}
			crash := crashNo(rapid.IntRange(0, 3).Draw(t, "crash"))
			set.RecordCrash(crash, []blame.Run{{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Parts: prompt}}, start, start)
		}
		for range 2 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for _, j := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
					merge(sets[i], sets[j], start)
				}
			}
		}
		for _, part := range names {
			for _, set := range sets[1:] {
				require.ElementsMatch(t, evidenceOf(sets[0], part), evidenceOf(set, part))
			}
		}
	})
}

// evidenceOf returns the evidence that counts against a part.
func evidenceOf(set *blame.Set, part string) []blame.Evidence {
	var counted []blame.Evidence
	for _, mark := range set.ChangedSince(time.Time{}, blame.MaxMarks) {
		for _, e := range mark.Evidence {
			if mark.Part == part && !e.Cleared {
				counted = append(counted, e)
			}
		}
	}
	return counted
}
