package usage

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestSequencesAgreeWithAMap adds numbers nearly in order, some of them twice, and
// compares the set with a map.
func TestSequencesAgreeWithAMap(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var sequences Sequences
		known := make(map[int64]bool)
		for i := range int64(300) {
			number := 1 + max(0, i+random.Int64N(21)-10)
			if sequences.Add(number) == known[number] {
				t.Fatalf("seed %d: Add(%d) is wrong; the number was present before: %v", seed, number, known[number])
			}
			known[number] = true
		}
		for number := int64(1); number < 330; number++ {
			if sequences.Has(number) != known[number] {
				t.Fatalf("seed %d: Has(%d) = %v", seed, number, sequences.Has(number))
			}
		}
		for i, span := range sequences.Above {
			if span.First <= sequences.Low+1 || span.Last < span.First || (i > 0 && span.First <= sequences.Above[i-1].Last+1) {
				t.Fatalf("seed %d: spans %v above %d are not sorted with gaps between them", seed, sequences.Above, sequences.Low)
			}
		}
	}
}

func TestBatchRoundTrip(t *testing.T) {
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
		t.Fatal("DecodeBatch accepted truncated data")
	}
}

// TestBillingRules checks the table in docs/decisions/billing-rules.md.
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
		{"interrupted", RunEnd{Began: true, Model: true, PassedOn: 7}, Figures{OutputTokens: 7}, true},
		{"cancelled", RunEnd{Began: true, Cancelled: true, Model: true, Reported: reported, PassedOn: 7}, Figures{0, 100, 30, 7}, true},
		{"cancelled before a report", RunEnd{Began: true, Cancelled: true, Model: true}, Figures{}, false},
		{"interrupted after a report", RunEnd{Began: true, Model: true, Reported: reported, PassedOn: 7}, Figures{OutputTokens: 7}, true},
		{"interrupted before any output", RunEnd{Began: true, Model: true}, Figures{}, false},
		{"resumed and completed", RunEnd{Began: true, Complete: true, Model: true, Resumed: true, Reported: reported, PassedOn: 20}, Figures{1, 100, 30, 20}, true},
	}
	for _, c := range cases {
		figures, billed := Bill(c.end)
		if figures != c.want || billed != c.billed {
			t.Errorf("%s: %+v, %v", c.name, figures, billed)
		}
	}
}

// TestReconcileExplainsEachDifference checks which differences between the counts
// are explained, in each state of a window.
func TestReconcileExplainsEachDifference(t *testing.T) {
	full, half := Figures{Requests: 2, OutputTokens: 20}, Figures{Requests: 1, OutputTokens: 10}
	team := func(f Figures) map[string]Figures { return map[string]Figures{"team": f} }
	sealed := func(f, late Figures) map[string]TeamTotal {
		return map[string]TeamTotal{"team": {Team: "team", Figures: f, Late: late}}
	}
	cases := []struct {
		name        string
		books       ReconcileInput
		explanation bool
		unexplained bool
	}{
		{"all agree", ReconcileInput{Agents: team(full), Entries: team(full), Sealed: sealed(full, Figures{}), Reported: team(full)}, false, false},
		{"not sealed", ReconcileInput{Window: 1, Agents: team(full), Entries: team(full)}, true, false},
		{"a record was not received", ReconcileInput{Agents: team(full), Entries: team(half), Sealed: sealed(full, Figures{}), Reported: team(full)}, true, false},
		{"held by an agent", ReconcileInput{Agents: team(full), Held: team(half), Entries: team(half), Sealed: sealed(half, Figures{}), Reported: team(half)}, true, false},
		{"late part of another window", ReconcileInput{Agents: team(half), Entries: team(half), Sealed: sealed(full, half), Reported: team(full)}, true, false},
		{"lost", ReconcileInput{SealedWindow: 9, Agents: team(full), Entries: team(full), Sealed: sealed(half, Figures{}), Reported: team(half)}, true, true},
	}
	for _, c := range cases {
		lines := Reconcile(c.books)
		if len(lines) != 1 || (len(lines[0].Explanations) > 0) != c.explanation || lines[0].Unexplained != c.unexplained {
			t.Errorf("%s: %+v", c.name, lines)
		}
	}
}
