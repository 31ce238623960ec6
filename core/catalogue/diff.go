package catalogue

import (
	"encoding/json"
	"maps"
	"slices"
)

// Difference is one field that differs between two catalogues. Old or New is
// empty when the entry or field stands in one of them only.
type Difference struct {
	Section string `json:"section"`
	Entry   string `json:"entry"`
	Field   string `json:"field"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// sections are the JSON names of a document's lists, in the order of reports.
var sections = []string{"teams", "models", "services", "routes", "endpoints"}

type entryFields map[string]json.RawMessage

// Diff returns what changes from old to new, by section, entry and field.
func Diff(old, changed *Document) []Difference {
	differences := []Difference{}
	before, after := entriesOf(old), entriesOf(changed)
	for _, section := range sections {
		for _, name := range sortedKeys(before[section], after[section]) {
			was, is := before[section][name], after[section][name]
			for _, field := range sortedKeys(was, is) {
				if string(was[field]) != string(is[field]) {
					differences = append(differences, Difference{Section: section, Entry: name, Field: field, Old: string(was[field]), New: string(is[field])})
				}
			}
		}
	}
	return differences
}

// entriesOf returns the fields of each entry by section and name.
func entriesOf(document *Document) map[string]map[string]entryFields {
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
			entries[section][nameOf(entry)] = entry
		}
	}
	return entries
}

func nameOf(entry entryFields) string {
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
