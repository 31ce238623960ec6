package config

import (
	"sort"
	"time"
)

// Freshness limits. A process whose last evidence is older refuses new work.
const (
	EntryFreshFor = 5 * time.Second
	// AgentFreshFor is longer than EntryFreshFor, because an agent's evidence is
	// an entry's, passed on by the next status call.
	AgentFreshFor = 10 * time.Second
)

// Word is what another entry said of the configuration.
type Word struct {
	Entry    string // Address in the list of VMs.
	Revision Revision
	Asked    time.Time // Before the question was sent, on the asker's clock.
	// Proved is set when the entry had evidence of its own, Age before it answered.
	Proved bool
	Age    time.Duration
	// Remembers is set when the entry may count towards a majority.
	Remembers bool
}

// Freshness decides whether the revision that this process holds was current a
// short while ago. Evidence is a read of the head row, a peer that has evidence,
// or a majority of the listed entries that hold nothing newer.
//
// A process that has started since may have forgotten a change that its
// predecessor acknowledged, so it counts towards no majority until it has read
// the store or heard from a majority of entries that remember.
type Freshness struct {
	proved    time.Time // Zero: no evidence yet.
	remembers bool
	words     map[string]Word
}

// NewFreshness returns the freshness of a process that has just started.
func NewFreshness() *Freshness { return &Freshness{words: make(map[string]Word)} }

// Remembers reports whether this process counts towards a majority.
func (f *Freshness) Remembers() bool { return f.remembers }

// Age returns how old the evidence is at now, false when there is none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(f.proved), !f.proved.IsZero()
}

// Fresh reports whether the evidence is younger than limit at now.
func (f *Freshness) Fresh(now time.Time, limit time.Duration) bool {
	age, proved := f.Age(now)
	return proved && age < limit
}

// ReadStore notes that all changes up to the head row were held after a read of
// it that began at asked.
func (f *Freshness) ReadStore(asked time.Time) {
	f.remembers = true
	f.prove(asked)
}

// Hear notes a word; held is what this process holds after taking in the
// changes that came with it.
func (f *Freshness) Hear(word Word, held Revision) {
	f.words[word.Entry] = word
	if word.Proved && word.Revision <= held {
		f.prove(word.Asked.Add(-word.Age))
	}
}

// Majority takes evidence from the words of a majority of listed, which does
// not name this process itself. It holds only for words that are no newer than
// held, and it dates from the oldest of the words that were needed.
func (f *Freshness) Majority(listed []string, held Revision, now time.Time) {
	needed := (len(listed)+1)/2 + 1
	if f.remembers {
		needed--
	}
	asked := f.agreeing(listed, held)
	if len(asked) < needed {
		return
	}
	since := now
	if needed > 0 {
		since = asked[needed-1]
	}
	f.prove(since)
	f.remembers = true
}

// agreeing returns when each remembering entry that holds nothing newer was
// asked, latest first.
func (f *Freshness) agreeing(listed []string, held Revision) []time.Time {
	var asked []time.Time
	for _, entry := range listed {
		word, heard := f.words[entry]
		if heard && word.Remembers && word.Revision <= held {
			asked = append(asked, word.Asked)
		}
	}
	sort.Slice(asked, func(i, j int) bool { return asked[i].After(asked[j]) })
	return asked
}

// Forget drops the words that were asked before a moment.
func (f *Freshness) Forget(before time.Time) {
	for entry, word := range f.words {
		if word.Asked.Before(before) {
			delete(f.words, entry)
		}
	}
}

func (f *Freshness) prove(since time.Time) {
	if since.After(f.proved) {
		f.proved = since
	}
}
