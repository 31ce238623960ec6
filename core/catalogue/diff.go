package catalogue

import (
	"encoding/json"
	"maps"
	"slices"
)

// Difference is one field that differs between two catalogues. Old or New is empty
// if only one of them has the entry or field.
type Difference struct {
	Section string `json:"section"`
	Entry   string `json:"entry"`
	Field   string `json:"field"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// sections are the JSON names of a document's lists, in the order in which Diff
// reports them.
var sections = []string{"teams", "models", "services", "routes", "endpoints"}

type entryFields map[string]json.RawMessage

// Diff returns the differences from old to changed, by section, entry and field.
func Diff(old, changed *Document) []Difference {
	differences := []Difference{}
	before, after := indexEntries(old), indexEntries(changed)
	for _, section := range sections {
		for _, name := range sortedKeys(before[section], after[section]) {
			oldFields, newFields := before[section][name], after[section][name]
			for _, field := range sortedKeys(oldFields, newFields) {
				if string(oldFields[field]) != string(newFields[field]) {
					differences = append(differences, Difference{Section: section, Entry: name, Field: field, Old: string(oldFields[field]), New: string(newFields[field])})
				}
			}
		}
	}
	return differences
}

// indexEntries returns the fields of each entry by section and name.
func indexEntries(document *Document) map[string]map[string]entryFields {
	data, err := json.Marshal(document)
	if err != nil {
		return nil
	}
	var lists map[string][]entryFields
	if json.Unmarshal(data, &lists) != nil {
		return nil
	}
	entries := make(map[string]map[string]entryFields)
	for section, list := range lists {
		entries[section] = make(map[string]entryFields)
		for _, entry := range list {
			entries[section][entryName(entry)] = entry
		}
	}
	return entries
}

func entryName(entry entryFields) string {
	raw, ok := entry["name"]
	if !ok {
		raw = entry["kind"]
	}
	var name string
	_ = json.Unmarshal(raw, &name)
	return name
}

func sortedKeys[V any](a, b map[string]V) []string {
	all := make(map[string]bool)
	for key := range a {
		all[key] = true
	}
	for key := range b {
		all[key] = true
	}
	return slices.Sorted(maps.Keys(all))
}
