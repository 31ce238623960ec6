package usage

import (
	"errors"
	"sort"

	"github.com/fxamacker/cbor/v2"
)

// ErrBatchMalformed is returned for a stored batch whose columns are inconsistent.
var ErrBatchMalformed = errors.New("usage: the columns of the batch are inconsistent; remedy: keep the row and report it to the maintainers")

// storedBatch is the columnar CBOR encoding of a batch.
type storedBatch struct {
	_ struct{} `cbor:",toarray"`

	Instance string
	Sequence int64
	Window   Window
	Teams    []string
	Sources  []storedSource
}

// storedSource holds the records of one source. Its slices are columns of equal
// length.
type storedSource struct {
	_ struct{} `cbor:",toarray"`

	Source   string
	First    int64   // Sequence number of the first record.
	Steps    []int64 // Difference of each sequence number from the one before; 0 for the first.
	Teams    []int   // Indexes into storedBatch.Teams.
	Requests []int64
	Prompt   []int64
	Cached   []int64
	Output   []int64
}

// EncodeBatch returns the stored form of a batch, with the records sorted by
// source and sequence number.
func EncodeBatch(batch Batch) ([]byte, error) {
	records := append([]Record(nil), batch.Records...)
	sort.Slice(records, func(i, j int) bool {
		if records[i].Source != records[j].Source {
			return records[i].Source < records[j].Source
		}
		return records[i].Sequence < records[j].Sequence
	})
	stored := storedBatch{Instance: batch.Instance, Sequence: batch.Sequence, Window: batch.Window}
	teamIndexes := make(map[string]int)
	previous := int64(0)
	for _, record := range records {
		if n := len(stored.Sources); n == 0 || stored.Sources[n-1].Source != record.Source {
			stored.Sources = append(stored.Sources, storedSource{Source: record.Source, First: record.Sequence})
			previous = record.Sequence
		}
		source := &stored.Sources[len(stored.Sources)-1]
		source.Steps = append(source.Steps, record.Sequence-previous)
		previous = record.Sequence
		source.Teams = append(source.Teams, stored.teamIndex(teamIndexes, record.Team))
		source.Requests = append(source.Requests, record.Figures.Requests)
		source.Prompt = append(source.Prompt, record.Figures.PromptTokens)
		source.Cached = append(source.Cached, record.Figures.CachedTokens)
		source.Output = append(source.Output, record.Figures.OutputTokens)
	}
	return cbor.Marshal(stored)
}

func (b *storedBatch) teamIndex(indexes map[string]int, team string) int {
	index, ok := indexes[team]
	if !ok {
		index = len(b.Teams)
		indexes[team] = index
		b.Teams = append(b.Teams, team)
	}
	return index
}

// DecodeBatch decodes the stored form of a batch.
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
