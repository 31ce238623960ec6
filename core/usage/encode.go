package usage

import (
	"errors"
	"sort"

	"github.com/fxamacker/cbor/v2"
)

// ErrBatchMalformed means that a stored batch cannot be read.
var ErrBatchMalformed = errors.New("usage: the batch's columns differ in length; remedy: keep the row and tell the maintainers")

// storedBatch is a batch by columns, in CBOR.
type storedBatch struct {
	_ struct{} `cbor:",toarray"`

	Instance string
	Sequence int64
	Window   Window
	Teams    []string
	Sources  []storedSource
}

// storedSource holds one source's records; the slices run in parallel.
type storedSource struct {
	_ struct{} `cbor:",toarray"`

	Source   string
	First    int64   // The first sequence.
	Steps    []int64 // From each sequence to the next.
	Teams    []int   // Indexes of the batch's teams.
	Requests []int64
	Prompt   []int64
	Cached   []int64
	Output   []int64
}

// EncodeBatch returns the stored form of a batch.
func EncodeBatch(batch Batch) ([]byte, error) {
	records := append([]Record(nil), batch.Records...)
	sort.Slice(records, func(i, j int) bool {
		if records[i].Source != records[j].Source {
			return records[i].Source < records[j].Source
		}
		return records[i].Sequence < records[j].Sequence
	})
	stored := storedBatch{Instance: batch.Instance, Sequence: batch.Sequence, Window: batch.Window}
	teams := make(map[string]int)
	last := int64(0)
	for _, record := range records {
		if n := len(stored.Sources); n == 0 || stored.Sources[n-1].Source != record.Source {
			stored.Sources = append(stored.Sources, storedSource{Source: record.Source, First: record.Sequence})
			last = record.Sequence
		}
		source := &stored.Sources[len(stored.Sources)-1]
		source.Steps = append(source.Steps, record.Sequence-last)
		last = record.Sequence
		source.Teams = append(source.Teams, stored.teamIndex(teams, record.Team))
		source.Requests = append(source.Requests, record.Figures.Requests)
		source.Prompt = append(source.Prompt, record.Figures.PromptTokens)
		source.Cached = append(source.Cached, record.Figures.CachedTokens)
		source.Output = append(source.Output, record.Figures.OutputTokens)
	}
	return cbor.Marshal(stored)
}

func (b *storedBatch) teamIndex(known map[string]int, team string) int {
	index, ok := known[team]
	if !ok {
		index = len(b.Teams)
		known[team] = index
		b.Teams = append(b.Teams, team)
	}
	return index
}

// DecodeBatch reads the stored form of a batch.
func DecodeBatch(data []byte) (Batch, error) {
	var stored storedBatch
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return Batch{}, err
	}
	batch := Batch{Instance: stored.Instance, Sequence: stored.Sequence, Window: stored.Window}
	records := 0
	for _, source := range stored.Sources {
		records += len(source.Steps)
	}
	batch.Records = make([]Record, 0, records)
	for _, source := range stored.Sources {
		if !source.wellFormed(len(stored.Teams)) {
			return Batch{}, ErrBatchMalformed
		}
		sequence := source.First
		for i, step := range source.Steps {
			sequence += step
			batch.Records = append(batch.Records, Record{
				Source:   source.Source,
				Sequence: sequence,
				Window:   stored.Window,
				Team:     stored.Teams[source.Teams[i]],
				Figures: Figures{
					Requests:     source.Requests[i],
					PromptTokens: source.Prompt[i],
					CachedTokens: source.Cached[i],
					OutputTokens: source.Output[i],
				},
			})
		}
	}
	return batch, nil
}

func (s storedSource) wellFormed(teams int) bool {
	n := len(s.Steps)
	if len(s.Teams) != n || len(s.Requests) != n || len(s.Prompt) != n || len(s.Cached) != n || len(s.Output) != n {
		return false
	}
	for _, team := range s.Teams {
		if team < 0 || team >= teams {
			return false
		}
	}
	return true
}
