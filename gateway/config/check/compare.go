package check

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// keysField is the field whose values are secret.
const keysField = "api_keys"

// Change is a difference between two configurations. A value that is absent is empty.
type Change struct {
	Where  string `json:"where"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Compare returns what a configuration changes against the one in force, by the path of
// each value. Keys are not shown. Both must be valid JSON.
func Compare(inForce, next []byte) []Change {
	before, after := values(inForce), values(next)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		old, wasThere := before[path]
		changed, isThere := after[path]
		if wasThere == isThere && old == changed {
			continue
		}
		changes = append(changes, Change{Where: path, Before: valueText(path, old, wasThere), After: valueText(path, changed, isThere)})
	}
	return changes
}

// valueText returns a value as text, empty if it is absent.
func valueText(path string, value any, present bool) string {
	if !present {
		return ""
	}
	if strings.Contains(path, "."+keysField) {
		return "(key)"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value) // Not reached: the value was decoded from JSON.
	}
	return string(text)
}
