package refusal

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
)

const (
	reasonsPage  = "../../docs/REASONS.md"
	beginReasons = "<!-- codes: begin -->\n"
	endReasons   = "<!-- codes: end -->\n"
)

var update = flag.Bool("update", false, "rewrite the table in docs/REASONS.md")

func reasonsTable() string {
	codes := make([]string, 0, len(Reasons))
	for code := range Reasons {
		codes = append(codes, string(code))
	}
	sort.Strings(codes)
	var table strings.Builder
	table.WriteString("\n| code | HTTP status | error type | remedy |\n| --- | --- | --- | --- |\n")
	for _, code := range codes {
		reason := Reasons[Code(code)]
		fmt.Fprintf(&table, "| `%s` | %d | `%s` | %s |\n", code, reason.Status, reason.Type, reason.Remedy)
	}
	table.WriteString("\n")
	return table.String()
}

// TestReasonsPageIsComplete checks that docs/REASONS.md matches the code.
func TestReasonsPageIsComplete(t *testing.T) {
	data, err := os.ReadFile(reasonsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	before, rest, found := strings.Cut(page, beginReasons)
	_, after, ended := strings.Cut(rest, endReasons)
	if !found || !ended {
		t.Fatal("the markers of the table are missing from " + reasonsPage)
	}
	want := before + beginReasons + reasonsTable() + endReasons + after
	if page == want {
		return
	}
	if !*update {
		t.Fatal("docs/REASONS.md differs from the code; remedy: go test ./core/refusal -run Reasons -update")
	}
	if err := os.WriteFile(reasonsPage, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestReasonsAreUsable checks that every code has a status, a type and a remedy.
func TestReasonsAreUsable(t *testing.T) {
	for code, reason := range Reasons {
		if reason.Status < 400 || reason.Status > 599 || reason.Type == "" || reason.Remedy == "" {
			t.Errorf("code %s: status, type or remedy is missing", code)
		}
	}
}
