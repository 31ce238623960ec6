package check

import (
	"encoding/json"
	"fmt"
)

// values returns the single values of a configuration by path. Entries of a list are named
// by their name, or by the position if they have none.
func values(raw []byte) map[string]any {
	var root any
	flat := make(map[string]any)
	if json.Unmarshal(raw, &root) == nil {
		flatten("", root, flat)
	}
	return flat
}

func flatten(path string, value any, flat map[string]any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			flatten(join(path, name), field, flat)
		}
	case []any:
		seen := make(map[string]int)
		for i, entry := range value {
			at := entryPath(path, entry, i)
			if seen[at]++; seen[at] > 1 {
				at = fmt.Sprintf("%s[%d]", path, i)
			}
			flatten(at, entry, flat)
		}
	default:
		flat[path] = value
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func entryPath(path string, entry any, position int) string {
	fields, _ := entry.(map[string]any)
	for _, field := range []string{"name", "service"} { // Targets of a route are named by their service.
		if name, ok := fields[field].(string); ok && name != "" {
			return path + "." + name
		}
	}
	return fmt.Sprintf("%s[%d]", path, position)
}
