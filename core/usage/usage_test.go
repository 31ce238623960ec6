package usage

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestSequencesAgreeWithAMap adds numbers nearly in order, some twice.
func TestSequencesAgreeWithAMap(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var sequences Sequences
		known := make(map[int64]bool)
		for i := range int64(300) {
			number := 1 + max(0, i+random.Int64N(21)-10)
			if sequences.Add(number) == known[number] {
				t.Fatalf("seed %d: %d was new: %v", seed, number, known[number])
			}
			known[number] = true
		}
		for number := int64(1); number < 330; number++ {
			if sequences.Has(number) != known[number] {
				t.Fatalf("seed %d: has %d: %v", seed, number, sequences.Has(number))
			}
		}
		for i, span := range sequences.Above {
			if span.First <= sequences.Low+1 || span.Last < span.First || (i > 0 && span.First <= sequences.Above[i-1].Last+1) {
				t.Fatalf("seed %d: spans %v above %d are not apart", seed, sequences.Above, sequences.Low)
			}
		}
	}
}

func TestBatchSurvivesStorage(t *testing.T) {
	batch := Batch{Instance: "entry", Sequence: 3, Window: 7, Records: []Record{
		{Source: "a", Sequence: 4, Window: 7, Team: "x", Figures: Figures{Requests: 1, PromptTokens: 20, CachedTokens: 5, OutputTokens: 9}},
		{Source: "a", Sequence: 9, Window: 7, Team: "y", Figures: Figures{OutputTokens: 1}},
		{Source: "b", Sequence: 1, Window: 7, Team: "x", Figures: Figures{Requests: 1}},
	}}
	data, err := EncodeBatch(batch)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeBatch(data)
	if err != nil || !reflect.DeepEqual(decoded, batch) {
		t.Fatalf("%+v, %v", decoded, err)
	}
	if _, err := DecodeBatch(data[:len(data)-1]); err == nil {
		t.Fatal("a cut batch was read")
	}
}

// TestBillingRules follows the table of docs/decisions/billing-rules.md.
func TestBillingRules(t *testing.T) {
	reported := &Figures{PromptTokens: 100, CachedTokens: 30, OutputTokens: 50}
	cases := []struct {
		name   string
		end    RunEnd
		want   Figures
		billed bool
	}{
		{"refused or not run", RunEnd{Model: true}, Figures{}, false},
		{"answered by an engine", RunEnd{Began: true, Complete: true, Model: true, Reported: reported, PassedOn: 50}, Figures{1, 100, 30, 50}, true},
		{"answered by a plain service", RunEnd{Began: true, Complete: true}, Figures{Requests: 1}, true},
		{"broken off", RunEnd{Began: true, Model: true, PassedOn: 7}, Figures{OutputTokens: 7}, true},
		{"cancelled", RunEnd{Began: true, Cancelled: true, Model: true, Reported: reported, PassedOn: 7}, Figures{0, 100, 30, 7}, true},
		{"cancelled before a report", RunEnd{Began: true, Cancelled: true, Model: true}, Figures{}, false},
		{"broken off with figures", RunEnd{Began: true, Model: true, Reported: reported, PassedOn: 7}, Figures{OutputTokens: 7}, true},
		{"broken off before any output", RunEnd{Began: true, Model: true}, Figures{}, false},
		{"resumed and ended", RunEnd{Began: true, Complete: true, Model: true, Resumed: true, Reported: reported, PassedOn: 20}, Figures{1, 100, 30, 20}, true},
	}
	for _, c := range cases {
		figures, billed := Bill(c.end)
		if figures != c.want || billed != c.billed {
			t.Errorf("%s: %+v, %v", c.name, figures, billed)
		}
	}
}

// TestReconcileExplainsEachDifference compares the books in each state of a
// window.
func TestReconcileExplainsEachDifference(t *testing.T) {
	whole, half := Figures{Requests: 2, OutputTokens: 20}, Figures{Requests: 1, OutputTokens: 10}
	team := func(f Figures) map[string]Figures { return map[string]Figures{"team": f} }
	sealed := func(f, late Figures) map[string]TeamTotal {
		return map[string]TeamTotal{"team": {Team: "team", Figures: f, Late: late}}
	}
	cases := []struct {
		name        string
		books       Books
		explanation bool
		unexplained bool
	}{
		{"all agree", Books{Agents: team(whole), Entries: team(whole), Sealed: sealed(whole, Figures{}), Reported: team(whole)}, false, false},
		{"not sealed", Books{Window: 1, Agents: team(whole), Entries: team(whole)}, true, false},
		{"an end was not received", Books{Agents: team(whole), Entries: team(half), Sealed: sealed(whole, Figures{}), Reported: team(whole)}, true, false},
		{"held by an agent", Books{Agents: team(whole), Held: team(half), Entries: team(half), Sealed: sealed(half, Figures{}), Reported: team(half)}, true, false},
		{"late part of another window", Books{Agents: team(half), Entries: team(half), Sealed: sealed(whole, half), Reported: team(whole)}, true, false},
		{"lost", Books{SealedWindow: 9, Agents: team(whole), Entries: team(whole), Sealed: sealed(half, Figures{}), Reported: team(half)}, true, true},
	}
	for _, c := range cases {
		lines := Reconcile(c.books)
		if len(lines) != 1 || (len(lines[0].Explanations) > 0) != c.explanation || lines[0].Unexplained != c.unexplained {
			t.Errorf("%s: %+v", c.name, lines)
		}
	}
}
