package catalogue

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxProblems bounds how many wrong values are looked for in one document.
const maxProblems = 100

// JSONFile is the file name in problems of documents that came as JSON.
const JSONFile = "catalogue.json"

// Parse reads a TOML document strictly and checks it; file is the name used in
// errors. An error is of type Problems and holds all faults that were found.
func Parse(file string, data []byte) (*Document, error) {
	index, line, err := locate(data)
	if err != nil {
		return nil, Problems{{File: file, Line: line, Key: "(document)", What: err.Error(), Remedy: "correct the TOML syntax on this line"}}
	}
	document, found := decode(file, data)
	found = append(found, Check(file, document, index)...)
	if len(found) > 0 {
		return nil, ordered(found)
	}
	return document, nil
}

// ParseJSON reads a JSON document strictly and checks it.
func ParseJSON(data []byte) (*Document, error) {
	document := new(Document)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, Problems{{File: JSONFile, Key: "(document)", What: err.Error(), Remedy: "send the shape that GET /v1/catalogue answers"}}
	}
	found := append(writtenZeros(data), Check(JSONFile, document, nil)...)
	if len(found) > 0 {
		return nil, ordered(found)
	}
	return document, nil
}

// limitedEntry is the part of an entry that may hold a written limit of zero.
type limitedEntry struct {
	Limits map[string]float64 `json:"limits"`
}

// writtenZeros finds limits of zero, which the document itself cannot tell
// from absent ones.
func writtenZeros(data []byte) Problems {
	var sections map[string][]limitedEntry
	if json.Unmarshal(data, &sections) != nil {
		return nil
	}
	var found Problems
	for section, entries := range sections {
		for i, entry := range entries {
			for name, limit := range entry.Limits {
				if limit == 0 {
					key := fmt.Sprintf("%s[%d].limits.%s", section, i, name)
					found = append(found, &Problem{File: JSONFile, Key: key, What: "the limit is zero", Remedy: "write a number above 0, or remove the key for no limit"})
				}
			}
		}
	}
	return found
}

// decode reads the document and collects unknown keys and values of a wrong
// type. A line with a wrong value is blanked, so that the rest can be read.
func decode(file string, data []byte) (*Document, Problems) {
	var found Problems
	lines := bytes.Split(data, []byte("\n"))
	for {
		document := new(Document)
		decoder := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n"))))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(document)
		if err == nil {
			return document, found
		}
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return document, append(found, unknownKeys(file, strict)...)
		}
		problem := wrongValue(file, err)
		found = append(found, problem)
		if problem.Line < 1 || problem.Line > len(lines) || len(lines[problem.Line-1]) == 0 || len(found) >= maxProblems {
			return document, found
		}
		lines[problem.Line-1] = nil
	}
}

func unknownKeys(file string, strict *toml.StrictMissingError) Problems {
	var found Problems
	for _, missing := range strict.Errors {
		row, _ := missing.Position()
		found = append(found, &Problem{File: file, Line: row, Key: strings.Join(missing.Key(), "."), What: "unknown key", Remedy: "remove it or correct its spelling"})
	}
	return found
}

func wrongValue(file string, err error) *Problem {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return &Problem{File: file, Key: "(document)", What: err.Error(), Remedy: "correct the TOML syntax"}
	}
	row, _ := decode.Position()
	key := strings.Join(decode.Key(), ".")
	return &Problem{File: file, Line: row, Key: key, What: strings.TrimPrefix(decode.Error(), "toml: "), Remedy: valueRemedy(key)}
}

// valueRemedy tells the type and unit of a key's value.
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

// ordered sorts problems by line and drops what follows from another one.
func ordered(found Problems) Problems {
	sort.SliceStable(found, func(i, j int) bool { return found[i].Line < found[j].Line })
	kept := found[:0]
	seen := make(map[string]bool)
	for _, problem := range found {
		place := fmt.Sprintf("%d/%s", problem.Line, problem.Key[strings.LastIndexByte(problem.Key, '.')+1:])
		if seen[place] && problem.Line > 0 {
			continue
		}
		seen[place] = true
		kept = append(kept, problem)
	}
	return kept
}
