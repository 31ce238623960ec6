package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"flamingospar.org/core/strict"
)

// JSONFile is the file name in the problems of JSON documents.
const JSONFile = "catalogue.json"

// Parse decodes a TOML document strictly and checks it. file is the name for error
// messages. An error is of type strict.Problems and holds all problems.
func Parse(file string, data []byte) (*Document, error) {
	document, index, problems := strict.Decode(file, data, func() *Document { return new(Document) }, valueRemedy)
	if index == nil {
		return nil, problems
	}
	problems = append(problems, Check(file, document, index)...)
	if len(problems) > 0 {
		return nil, problems.Ordered()
	}
	return document, nil
}

// ParseJSON decodes a JSON document strictly and checks it.
func ParseJSON(data []byte) (*Document, error) {
	document := new(Document)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, strict.Problems{{File: JSONFile, Key: "(document)", Message: err.Error(), Remedy: "send the format that GET /v1/catalogue returns"}}
	}
	problems := append(zeroLimitProblems(data), Check(JSONFile, document, nil)...)
	if len(problems) > 0 {
		return nil, problems.Ordered()
	}
	return document, nil
}

// limitedEntry is the part of an entry that may hold an explicit zero limit.
type limitedEntry struct {
	Limits map[string]float64 `json:"limits"`
}

// zeroLimitProblems finds explicit limits of zero, which the decoded Document
// cannot distinguish from absent ones.
func zeroLimitProblems(data []byte) strict.Problems {
	var sections map[string][]limitedEntry
	if json.Unmarshal(data, &sections) != nil {
		return nil
	}
	var problems strict.Problems
	for section, entries := range sections {
		for i, entry := range entries {
			for name, limit := range entry.Limits {
				if limit == 0 {
					key := fmt.Sprintf("%s[%d].limits.%s", section, i, name)
					problems = append(problems, &strict.Problem{File: JSONFile, Key: key, Message: "the limit is zero", Remedy: "write a number above 0, or remove the key for no limit"})
				}
			}
		}
	}
	return problems
}

// valueRemedy describes the type and unit of a key's value.
func valueRemedy(key string) string {
	name := key[strings.LastIndexByte(key, '.')+1:]
	switch name {
	case "deadline":
		return `write a time with its unit, such as "20s"`
	case "requests_per_second", "tokens_per_second", "weight":
		return "write a plain number without a unit, such as 10.0"
	case "concurrent":
		return "write a whole number without a unit, such as 10"
	case "repeatable", "open", "checks_fencing":
		return "write true or false"
	default:
		return "write one value of the key's type, once"
	}
}
