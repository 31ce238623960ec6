package streamversion_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
)

const retentionMS = int64(streamversion.Retention / time.Millisecond)

func at(era, nowMS int64) streamversion.Moment {
	return streamversion.Moment{Era: era, NowMS: nowMS}
}

func next(t *testing.T, r streamversion.Register, o streamversion.Observation) streamversion.Register {
	t.Helper()
	written, changed := r.Next(o)
	require.True(t, changed)
	_, changed = written.Next(streamversion.Observation{Moment: o.Moment, Listed: o.Listed, EndUnlisted: o.EndUnlisted})
	require.False(t, changed, "a process that finds it written needs not write it")
	return written
}

// A version that has left may have begun a stream that is taken up until Retention is over.
func TestVersionThatLeftStaysPossible(t *testing.T) {
	r := next(t, streamversion.Register{}, streamversion.Observation{Moment: at(0, 10), Listed: []string{"v1"}})
	version, ok := r.Single(at(0, 11))
	require.True(t, ok)
	require.Equal(t, "v1", version)

	r = next(t, r, streamversion.Observation{Moment: at(0, 20), Listed: []string{"v1", "v2"}})
	_, ok = r.Single(at(0, 21))
	require.False(t, ok)
	_, changed := r.Next(streamversion.Observation{Moment: at(0, 25), Listed: []string{"v2"}})
	require.False(t, changed, "the end of a version is written by few")
	r = next(t, r, streamversion.Observation{Moment: at(0, 30), Listed: []string{"v2"}, EndUnlisted: true})
	require.False(t, r.InUse("v1"))
	_, ok = r.Single(at(0, 29+retentionMS))
	require.False(t, ok)
	version, ok = r.Single(at(0, 30+retentionMS))
	require.True(t, ok)
	require.Equal(t, "v2", version)

	r = next(t, r, streamversion.Observation{Moment: at(0, 40), Listed: []string{"v1", "v2"}})
	require.True(t, r.InUse("v1"), "it came back")
}

// Nothing is inferred from the register of an older copy, nor from an empty one.
func TestRegisterOfAnEarlierEraIsNotTrusted(t *testing.T) {
	_, ok := streamversion.Register{}.Single(at(0, 10))
	require.False(t, ok)
	older := next(t, streamversion.Register{}, streamversion.Observation{Moment: at(0, 10), Listed: []string{"v1"}})
	_, ok = older.Single(at(1, 20))
	require.False(t, ok)

	// A process that knew nothing before can't tell which versions the copy lacks.
	fresh := next(t, older, streamversion.Observation{Moment: at(1, 20), Listed: []string{"v1"}, EndUnlisted: true})
	_, ok = fresh.Single(at(1, 19+retentionMS))
	require.False(t, ok)
	_, ok = fresh.Single(at(1, 20+retentionMS))
	require.True(t, ok)

	// One that did adds what it knew.
	knew := streamversion.Register{Uses: []streamversion.Use{{Version: "v1", EndedMS: 15}, {Version: "v2"}}}
	r := next(t, fresh, streamversion.Observation{Moment: at(1, 30), Listed: []string{"v1"}, Remembered: &knew, EndUnlisted: true})
	_, ok = r.Single(at(1, 31))
	require.False(t, ok)
	require.Equal(t, []string{"v1", "v2"}, r.Possible(31))
	// It can't vouch for the register: it may not have known of the newest version.
	one := streamversion.Register{Uses: []streamversion.Use{{Version: "v1"}}}
	r, changed := fresh.Next(streamversion.Observation{Moment: at(1, 30), Listed: []string{"v1"}, Remembered: &one, EndUnlisted: true})
	require.False(t, changed)
	_, ok = r.Single(at(1, 19+retentionMS))
	require.False(t, ok)
	version, ok := r.Single(at(1, 20+retentionMS))
	require.True(t, ok)
	require.Equal(t, "v1", version)
}

func TestMemoryForgetsAfterRetention(t *testing.T) {
	m := streamversion.NewMemory()
	start := time.Unix(1_000_000, 0)
	record := func(id string) streamversion.Record {
		return streamversion.Record{ID: streamversion.IDOf(id), Version: "v1"}
	}
	m.Add(record("a"), start)
	m.Add(record("b"), start.Add(40*time.Second))
	m.Add(record("a"), start.Add(45*time.Second)) // Taken up again.
	version, ok := m.Find(streamversion.IDOf("a"))
	require.True(t, ok)
	require.Equal(t, "v1", version)
	m.Add(record("c"), start.Add(100*time.Second))
	_, ok = m.Find(streamversion.IDOf("b"))
	require.False(t, ok)
	_, ok = m.Find(streamversion.IDOf("a"))
	require.True(t, ok)
}

// Two requests with one ID began streams at two versions: neither is known.
func TestStreamsOfSeveralVersionsUnderOneID(t *testing.T) {
	m := streamversion.NewMemory()
	now := time.Unix(1_000_000, 0)
	id := streamversion.IDOf("a")
	for _, version := range []string{"v1", "v2", "v2"} {
		m.Add(streamversion.Record{ID: id, Version: version}, now)
	}
	_, ok := m.Find(id)
	require.False(t, ok)
}

func TestMemoryIsBoundedAndTakenInParts(t *testing.T) {
	m := streamversion.NewMemory()
	now := time.Unix(1_000_000, 0)
	const added = 40_000
	for i := range added {
		m.Add(streamversion.Record{ID: streamversion.IDOf(fmt.Sprint(i)), Version: "v1"}, now)
	}
	_, ok := m.Find(streamversion.IDOf("0"))
	require.False(t, ok)
	_, ok = m.Find(streamversion.IDOf(fmt.Sprint(added - 1)))
	require.True(t, ok)
	taken := 0
	for {
		part := m.Take(1000, now)
		if len(part) == 0 {
			break
		}
		taken += len(part)
	}
	require.Equal(t, 1<<15, taken)
	m.Rewind()
	require.Len(t, m.Take(5, now), 5)
	require.Empty(t, m.Take(5, now.Add(time.Hour)))
}

// The end of a version is dated in a second write, and not if the version is listed again.
func TestEndIsNotedBeforeItIsDated(t *testing.T) {
	inUse := streamversion.Register{Uses: []streamversion.Use{{Version: "v1"}, {Version: "v2"}}}
	require.False(t, inUse.EndsNoted([]string{"v2"}))
	noted, changed := inUse.Next(streamversion.Observation{Moment: at(0, 10), Listed: []string{"v2"}, NoteUnlisted: true})
	require.True(t, changed)
	require.True(t, noted.EndsNoted([]string{"v2"}))
	require.False(t, noted.InUse("v1"), "no stream begins at it")
	require.Equal(t, []string{"v1", "v2"}, noted.Possible(10*retentionMS))

	ended := next(t, noted, streamversion.Observation{Moment: at(0, 20), LatestMS: 25, Listed: []string{"v2"}, EndUnlisted: true})
	require.Equal(t, []streamversion.Use{{Version: "v1", EndedMS: 25}, {Version: "v2"}}, ended.Uses)
	again := next(t, noted, streamversion.Observation{Moment: at(0, 20), Listed: []string{"v1"}})
	require.True(t, again.InUse("v1"))
}

func TestMergeKeepsWhatMayBeInUse(t *testing.T) {
	inUse, ending := streamversion.Use{Version: "v"}, streamversion.Use{Version: "v", Ending: true}
	ended, later := streamversion.Use{Version: "v", EndedMS: 5}, streamversion.Use{Version: "v", EndedMS: 9}
	for _, c := range []struct{ a, b, want streamversion.Use }{
		{inUse, ending, inUse}, {inUse, ended, inUse}, {ending, ending, ending}, {ending, ended, ending}, {ended, later, later},
	} {
		require.Equal(t, []streamversion.Use{c.want}, streamversion.Merge([]streamversion.Use{c.a}, []streamversion.Use{c.b}))
		require.Equal(t, []streamversion.Use{c.want}, streamversion.Merge([]streamversion.Use{c.b}, []streamversion.Use{c.a}))
	}
}
