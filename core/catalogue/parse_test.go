package catalogue

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/strict"
)

// validDocument is a document without problems. The tests refer to its line
// numbers.
const validDocument = `[[team]]
name = "claims"
weight = 2.0
[team.limits]
requests_per_second = 50.0

[[model]]
name = "notice"
owner = "claims"
class = "standard"
version = "1"

[[service]]
name = "refunds"
owner = "claims"
class = "batch"

[[route]]
name = "refund"
owner = "claims"
class = "interactive"
path = "/refunds"
methods = ["POST"]
service = "refunds"
repeatable = false
open = false
deadline = "20s"

[[endpoint]]
kind = "model"
owner = "claims"
class = "standard"
checks_fencing = true
`

func TestValidDocumentRoundTripsThroughJSON(t *testing.T) {
	document, err := Parse("a.toml", []byte(validDocument))
	require.NoError(t, err)
	data, err := json.Marshal(document)
	require.NoError(t, err)
	again, err := ParseJSON(data)
	require.NoError(t, err)
	require.Equal(t, document, again)
}

func TestEachProblemNamesLineKeyAndRemedy(t *testing.T) {
	cases := []struct {
		old, new string
		line     int
		key      string
	}{
		{`version = "1"`, "version = \"1\"\nverison = \"1\"", 12, "model.verison"},
		{`weight = 2.0`, `weight = "2 shares"`, 3, "team.weight"},
		{`weight = 2.0`, `weight = 0.0`, 3, "team[0].weight"},
		{`weight = 2.0`, `weight = nan`, 3, "team[0].weight"},
		{`weight = 2.0`, "weight = 2.0\nweight = 3.0", 4, "weight"},
		{`50.0`, `0`, 5, "team[0].limits.requests_per_second"},
		{`50.0`, `-1`, 5, "team[0].limits.requests_per_second"},
		{`50.0`, `"50/s"`, 5, "team.limits.requests_per_second"},
		{`requests_per_second = 50.0`, ``, 4, "team[0].limits"},
		{`"20s"`, `20`, 27, "route[0].deadline"},
		{`"20s"`, `"20"`, 27, "route.deadline"},
		{`"20s"`, `"0s"`, 27, "route[0].deadline"},
		{`"20s"`, `"20h"`, 27, "route[0].deadline"},
		{`service = "refunds"`, `service = "returns"`, 24, "route[0].service"},
		{`path = "/refunds"`, `path = "/v1/chat"`, 22, "route[0].path"},
		{`path = "/refunds"`, `path = "/"`, 22, "route[0].path"},
		{`path = "/refunds"`, `path = "/a/../v1"`, 22, "route[0].path"},
		{`path = "/refunds"`, `path = "/refunds?x=1"`, 22, "route[0].path"},
		{`["POST"]`, `["post"]`, 23, "route[0].methods"},
		{`class = "batch"`, `class = "urgent"`, 16, "service[0].class"},
		{`name = "refunds"`, `name = "model"`, 14, "service[0].name"},
		{`kind = "model"`, `kind = "engine"`, 30, "endpoint[0].kind"},
		{`name = "notice"`, `name = "Notice!"`, 8, "model[0].name"},
		{`[[model]]`, `[[model]`, 7, "(document)"},
		{`name = "notice"`, `name = `, 8, "(document)"},
	}
	for _, c := range cases {
		require.Contains(t, validDocument, c.old)
		_, err := Parse("a.toml", []byte(strings.Replace(validDocument, c.old, c.new, 1)))
		var problem *strict.Problem
		require.ErrorAs(t, err, &problem, c.new)
		require.Equal(t, "a.toml", problem.File)
		require.Equal(t, c.line, problem.Line, "%s: %v", c.new, err)
		require.Equal(t, c.key, problem.Key, c.new)
		require.NotEmpty(t, problem.Remedy)
	}
}

func TestAllProblemsAreCollected(t *testing.T) {
	twice := validDocument[strings.Index(validDocument, "[[route]]"):strings.Index(validDocument, "[[endpoint]]")]
	faulty := strings.NewReplacer(`weight = 2.0`, `weight = "x"`, `50.0`, `0`, `owner = "claims"`, `owner = "nobody"`, `open = false`, "open = false\nopne = 1").Replace(validDocument + twice)
	_, err := Parse("a.toml", []byte(faulty))
	var problems strict.Problems
	require.True(t, errors.As(err, &problems))
	keys := make([]string, 0, len(problems))
	for _, problem := range problems {
		keys = append(keys, problem.Key)
	}
	for _, want := range []string{
		"team.weight", "team[0].limits.requests_per_second", "model[0].owner", "service[0].owner", "route[0].owner",
		"endpoint[0].owner", "route[1].owner", "route[1].name", "route[1].path", "route.opne",
	} {
		require.Contains(t, keys, want, err.Error())
	}
}

func TestJSONZeroLimitIsRefused(t *testing.T) {
	document, err := Parse("a.toml", []byte(validDocument))
	require.NoError(t, err)
	data, err := json.Marshal(document)
	require.NoError(t, err)
	_, err = ParseJSON([]byte(strings.Replace(string(data), `"requests_per_second":50`, `"requests_per_second":0`, 1)))
	require.ErrorContains(t, err, "limits.requests_per_second")
	_, err = ParseJSON([]byte(`{"teems":[]}`))
	require.ErrorContains(t, err, "teems")
}

// TestMutatedDocuments replaces the values of random lines and checks that Parse
// does not panic, that an error always lists problems with a remedy, and that an
// accepted document passes Check again.
func TestMutatedDocuments(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	lines := strings.Split(validDocument, "\n")
	values := []string{"0", "-1", `""`, `"1s"`, "[]", "{}", "true", "inf", "[[", "1979-05-27"}
	accepted := 0
	for range 3000 {
		mutated := append([]string(nil), lines...)
		for range 1 + random.IntN(3) {
			at := random.IntN(len(mutated))
			name, _, _ := strings.Cut(mutated[at], " = ")
			mutated[at] = fmt.Sprintf("%s = %s", name, values[random.IntN(len(values))])
		}
		accepted += requireValidOrProblems(t, []byte(strings.Join(mutated, "\n")))
	}
	require.Positive(t, accepted)
}

func requireValidOrProblems(t *testing.T, data []byte) int {
	t.Helper()
	document, err := Parse("a.toml", data)
	if err == nil {
		require.Empty(t, Check("a.toml", document, nil))
		return 1
	}
	var problems strict.Problems
	require.True(t, errors.As(err, &problems))
	require.NotEmpty(t, problems)
	for _, problem := range problems {
		require.NotEmpty(t, problem.Remedy)
	}
	return 0
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("a = { b = { c = 1 } }\n[[team]]\nlimits = { concurrent = 0 }"))
	f.Add([]byte("[[route]]\n[route.limits]\n[[route.x]]\n\"a.b\".c = 1"))
	f.Add([]byte("team = 1\n[[team]]"))
	f.Add([]byte("[[team]]\nname = \"\"\"a\nb\"\"\"\nweight = \"\"\"\nx\"\"\""))
	f.Fuzz(func(t *testing.T, data []byte) { requireValidOrProblems(t, data) })
}
