package usage

import (
	"encoding/json"
	"errors"
	"sort"
)

// ErrBatchMalformed means that a stored batch cannot be read.
var ErrBatchMalformed = errors.New("usage: the batch's columns differ in length; remedy: keep the row and tell the maintainers")

// storedBatch is a batch by columns, which takes a fifth of the space of rows.
type storedBatch struct {
	Instance string         `json:"i"`
	Sequence int64          `json:"s"`
	Window   Window         `json:"w"`
	Teams    []string       `json:"t"`
	Sources  []storedSource `json:"r"`
}

// storedSource holds one source's records; the slices run in parallel.
type storedSource struct {
	Source   string  `json:"a"`
	First    int64   `json:"f"` // The first sequence.
	Steps    []int64 `json:"n"` // From each sequence to the next.
	Teams    []int   `json:"t"` // Indexes of the batch's teams.
	Requests []int64 `json:"q"`
	Prompt   []int64 `json:"p"`
	Cached   []int64 `json:"c"`
	Output   []int64 `json:"o"`
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
	return json.Marshal(stored)
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
	if err := json.Unmarshal(data, &stored); err != nil {
		return Batch{}, err
	}
	batch := Batch{Instance: stored.Instance, Sequence: stored.Sequence, Window: stored.Window}
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
