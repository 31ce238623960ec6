package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/blame"
)

// crashTogether records the crashes of endpoints, 5 ms apart, each with the prompts that it was
// about to answer.
func (f *fleet) crashTogether(team string, prompts ...[]string) {
	f.now = f.now.Add(time.Second)
	for _, running := range prompts {
		var runs []blame.Run
		for _, prompt := range running {
			runs = append(runs, runOf(team, prompt))
		}
		f.now = f.now.Add(5 * time.Millisecond)
		f.crashes++
		f.set.RecordCrash(crashNo(f.crashes), runs, f.now, f.now)
	}
}

// Requests that crash endpoints came again and again, or sound ones were refused in their place.
func TestARequestIsBlamedForWhatNoPartExplains(t *testing.T) {
	cases := map[string]struct {
		run     func(f *fleet)
		refused []string
		served  []string
	}{
		"two crashes": {func(f *fleet) {
			f.crash("a", "document request:1", "document request:2")
			f.crash("a", "document request:1", "document request:3")
		}, []string{"document request:1"}, []string{"document request:2", "document request:3", "document"}},
		"two endpoints at once": {func(f *fleet) {
			f.crashTogether("a", []string{"request:1"}, []string{"request:1"})
		}, []string{"request:1"}, nil},
		"answered in between": {func(f *fleet) {
			for range 8 {
				f.crash("a", "request:1")
				f.answer("request:1")
			}
		}, nil, []string{"request:1"}},
		"several in the same three crashes": {func(f *fleet) {
			for range 3 {
				f.crash("a", "request:1", "request:2")
			}
		}, []string{"request:1", "request:2"}, nil},
		"what a part explains": {func(f *fleet) {
			f.crash("a", "dead request:1", "first request:9")
			f.crash("a", "dead request:2", "first request:9")
			f.crash("a", "dead request:3")
		}, []string{"dead request:4"}, []string{"first request:9"}},
		"each tries two endpoints, a part that was sound explains all": {func(f *fleet) {
			f.answer("was-sound")
			for i := range 4 {
				f.crash("a", fmt.Sprintf("was-sound request:%d", i))
				f.crash("a", fmt.Sprintf("was-sound request:%d", i))
			}
		}, []string{"was-sound request:9"}, []string{"request:9"}},
		"the same but for the query": {func(f *fleet) {
			f.crash("a", "request:1 target:1")
			f.crash("a", "request:1 target:1")
		}, []string{"request:1 target:1"}, []string{"request:1 target:2", "request:1"}},
		"the same but for the query, again": {func(f *fleet) {
			for range 3 {
				f.crash("a", "request:1 target:1")
			}
		}, []string{"request:1 target:1"}, []string{"request:1 target:2", "request:1"}},
		"another query each time": {func(f *fleet) {
			f.crash("a", "request:1 target:1")
			f.crash("a", "request:1 target:2")
		}, []string{"request:1 target:3", "request:1"}, []string{"request:2 target:1"}},
		"a sound one with another query is answered": {func(f *fleet) {
			f.crash("a", "request:1 target:1")
			f.answer("request:1 target:2")
			f.crash("a", "request:1 target:1")
			f.answer("request:1 target:3")
		}, []string{"request:1 target:1"}, []string{"request:1 target:2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			c.run(f)
			for _, request := range c.refused {
				require.True(t, f.refused("a", request), request)
			}
			for _, request := range c.served {
				require.False(t, f.refused("a", request), request)
			}
		})
	}
}

// Endpoints that crashed together had everything refused that is often sent, since it ran at each
// of them. What was answered a short time ago is blamed only if they crash at a second moment.
func TestWhatIsAnsweredIsNotBlamedForOneMoment(t *testing.T) {
	cases := map[string]struct{ answered, running, again, other string }{
		"a part":    {"first request:1", "first request:%d", "first request:99", "first request:100"},
		"a request": {"request:1 target:1", "request:1 target:%d", "request:1 target:99", "request:1 target:100"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.answer(c.answered)
			var running [][]string
			for i := range 8 {
				running = append(running, []string{fmt.Sprintf(c.running, i)})
			}
			f.crashTogether("a", running...)
			require.False(t, f.refused("a", c.other))
			f.crash("a", c.again)
			require.True(t, f.refused("a", c.other), "endpoints crash again")
			f.answer(c.answered)
			require.False(t, f.refused("a", c.other))
		})
	}
}

// A process that was told of crashes, but had not lost runs at them, did not know that it has the
// same request answered all the time.
func TestARequestIsNotBlamedWhereItIsRememberedAsAnswered(t *testing.T) {
	f := newFleet()
	f.crashTogether("a", []string{"request:1"}, []string{"request:1"})
	require.True(t, f.refused("a", "request:1"))
	f.set.RememberAnswered([]string{blame.RequestKey("1")})
	require.False(t, f.refused("a", "request:1"))
}

// A request was refused for 24 hours without a trial, although nothing that is refused can show
// that endpoints bear it. One that still crashes them may reach endpoints three times more in 24
// hours after its third crash.
func TestTheRefusalOfARequestEndsWithATrial(t *testing.T) {
	const maxTrials = 1 + 3 // The first of them is the third crash.
	f := newFleet()
	f.crash("a", "request:1")
	f.crash("a", "request:1")
	require.Equal(t, time.Minute, f.set.Verdict(runOf("a", "request:1"), f.now).Until.Sub(f.now))
	trials := 0
	for end := f.now.Add(24 * time.Hour); f.now.Before(end); f.now = f.now.Add(time.Second) {
		if verdict := f.set.Verdict(runOf("a", "request:1"), f.now); verdict.Trial {
			require.Empty(t, verdict.Parts)
			trials++
			f.crash("a", "request:1")
		}
	}
	require.LessOrEqual(t, trials, maxTrials)
	require.Greater(t, trials, 1)
}

// A request that is blamed as a whole was let through as a trial of a part of its prompt.
func TestATrialIsNoneWhileAnythingElseIsRefused(t *testing.T) {
	f := newFleet()
	for range 3 {
		f.crash("a", "dead")
	}
	f.now = f.now.Add(time.Hour)
	f.crash("a", "request:1")
	f.crash("a", "request:1")
	require.True(t, f.refused("a", "dead request:1"))
	require.True(t, f.set.Verdict(runOf("a", "dead request:2"), f.now).Trial)
}

// A caller that gives a part the name of a request could have that request refused.
func TestPartsAreNotTakenForRequests(t *testing.T) {
	f := newFleet()
	for range 4 {
		f.set.RecordCrash(crashNo(f.crashes), []blame.Run{{Team: "a", Parts: []string{blame.RequestKey("1"), "other"}}}, f.now, f.now)
		f.crashes++
	}
	require.False(t, f.refused("a", "request:1"))
}

// Marks of requests took the place of all marks of parts, or grew without bound.
func TestMarksOfRequestsAreBounded(t *testing.T) {
	f := newFleet()
	f.crash("a", "dead")
	f.crash("a", "request:bad")
	f.crash("a", "request:bad")
	for i := range 2 * blame.MaxRequestMarks {
		f.crash("b", fmt.Sprint("request:", i))
	}
	require.Contains(t, f.set.Blamed(), []string{blame.RequestKey("bad")})
	require.Len(t, f.set.Mark("dead").Evidence, 1)
	require.LessOrEqual(t, len(f.set.ChangedSince(time.Time{}, 2*blame.MaxRequestMarks)), blame.MaxRequestMarks+1)
}
