package command

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	agentsettings "flamingospar.org/agent/settings"
	"flamingospar.org/base/settingflags"
	"flamingospar.org/core/strict"
	entrysettings "flamingospar.org/entry/settings"
)

var update = flag.Bool("update", false, "rewrite docs/operators/settings.md")

const (
	repoRoot     = "../.."
	settingsPage = repoRoot + "/docs/operators/settings.md"
)

// settingsSources lists the directories whose structs define settings.
var settingsSources = []string{"entry/settings", "agent/settings", "base/tlsfiles"}

// TestSettingsPage checks that the page lists each setting with the flag, default
// and meaning that the code defines.
func TestSettingsPage(t *testing.T) {
	comments := fieldComments(t)
	page := "# Settings\n\nTOML, read strictly: an unknown key, a value of another type and a time without a\nunit are errors that name file, line, key and remedy. Each setting can be\noverridden by its flag. This page is written by\n`go test ./flamingospar/command -run TestSettingsPage -update`.\n"
	page += settingsSection(t, "Entry: `flamingospar serve --settings entry.toml`", strict.Keys(entrysettings.Defaults()), comments)
	page += settingsSection(t, "Agent: `flamingospar-agent --settings agent.toml`", strict.Keys(agentsettings.Defaults()), comments)
	if *update {
		require.NoError(t, os.WriteFile(settingsPage, []byte(page), 0o644))
	}
	written, err := os.ReadFile(settingsPage)
	require.NoError(t, err)
	require.Equal(t, page, string(written), "remedy: run go test ./flamingospar/command -run TestSettingsPage -update")
}

func settingsSection(t *testing.T, title string, keys []strict.Key, comments map[string]string) string {
	t.Helper()
	var out strings.Builder
	fmt.Fprintf(&out, "\n## %s\n\n| key | flag | default | meaning |\n| --- | --- | --- | --- |\n", title)
	for _, key := range keys {
		fieldName := key.Owner.PkgPath() + "." + key.Owner.Name() + "." + key.Field
		meaning := comments[fieldName]
		require.NotEmpty(t, meaning, "remedy: write a comment at %s", fieldName)
		fmt.Fprintf(&out, "| `%s` | `--%s` | %s | %s |\n", key.Name, settingflags.FlagName(key.Name), formatDefault(key), meaning)
	}
	return out.String()
}

func formatDefault(key strict.Key) string {
	if key.Default.IsZero() {
		return ""
	}
	if marshaler, ok := key.Default.Interface().(interface{ MarshalText() ([]byte, error) }); ok {
		text, _ := marshaler.MarshalText()
		return "`" + string(text) + "`"
	}
	return fmt.Sprintf("`%v`", key.Default.Interface())
}

// fieldComments returns the comments of struct fields, keyed by
// "package.Type.Field".
func fieldComments(t *testing.T) map[string]string {
	t.Helper()
	comments := make(map[string]string)
	for _, source := range settingsSources {
		files, err := filepath.Glob(filepath.Join(repoRoot, source, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
			require.NoError(t, err)
			ast.Inspect(parsed, func(node ast.Node) bool {
				if spec, ok := node.(*ast.TypeSpec); ok {
					addFieldComments(comments, "flamingospar.org/"+source+"."+spec.Name.Name, spec)
				}
				return true
			})
		}
	}
	return comments
}

func addFieldComments(comments map[string]string, typeName string, spec *ast.TypeSpec) {
	structType, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range structType.Fields.List {
		text := field.Comment.Text()
		if text == "" {
			text = field.Doc.Text()
		}
		for _, name := range field.Names {
			comments[typeName+"."+name.Name] = strings.Join(strings.Fields(text), " ")
		}
	}
}

// TestExampleSettingsAreValid checks the example settings files and the errors
// for invalid settings.
func TestExampleSettingsAreValid(t *testing.T) {
	entry, err := os.ReadFile(repoRoot + "/examples/entry.toml")
	require.NoError(t, err)
	parsed, err := entrysettings.Parse("entry.toml", entry, map[string]string{"listen": "127.0.0.1:1", "policy.early_refusal": "false", "deadline": "3s"})
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1", parsed.Listen)
	require.Equal(t, "3s", marshalText(t, parsed.Deadline))
	require.False(t, parsed.Policy.EarlyRefusal)
	agent, err := os.ReadFile(repoRoot + "/examples/agent.toml")
	require.NoError(t, err)
	_, err = agentsettings.Parse("agent.toml", agent, nil)
	require.NoError(t, err)

	for _, c := range []struct{ text, want string }{
		{"listenn = \"x\"", "entry.toml:1: listenn: unknown key"},
		{"\ndeadline = 30", "entry.toml:2: deadline: the value has no unit"},
		{"deadline = \"30\"", "entry.toml:1: deadline"},
		{"max_body_bytes = \"8MB\"", "entry.toml:1: max_body_bytes"},
		{"[policy]\nfirst_token = 440", "entry.toml:2: policy.first_token: the value has no unit"},
	} {
		_, err := entrysettings.Parse("entry.toml", []byte(c.text), nil)
		require.ErrorContains(t, err, c.want)
		require.ErrorContains(t, err, "remedy")
	}
	_, err = entrysettings.Parse("entry.toml", entry, map[string]string{"deadline": "soon"})
	require.ErrorContains(t, err, "(flags)")
}

func marshalText(t *testing.T, value interface{ MarshalText() ([]byte, error) }) string {
	t.Helper()
	text, err := value.MarshalText()
	require.NoError(t, err)
	return string(text)
}
