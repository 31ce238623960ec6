package strict

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxProblems bounds how many wrong values are looked for in one document.
const maxProblems = 100

// Decode reads a TOML document into a value from fresh and collects unknown
// keys and values of a wrong type. The index is nil when the document is no
// TOML. remedy tells the type and unit of a key's value.
func Decode[T any](file string, data []byte, fresh func() *T, remedy func(key string) string) (*T, *Index, Problems) {
	index, line, err := locate(data)
	if err != nil {
		return nil, nil, Problems{{File: file, Line: line, Key: "(document)", What: err.Error(), Remedy: "correct the TOML syntax on this line"}}
	}
	value, found := decode(file, data, fresh, remedy)
	return value, index, found
}

// decode blanks each line with a wrong value, so that the rest can be read.
func decode[T any](file string, data []byte, fresh func() *T, remedy func(string) string) (*T, Problems) {
	var found Problems
	lines := bytes.Split(data, []byte("\n"))
	for {
		value := fresh()
		decoder := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n"))))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(value)
		if err == nil {
			return value, found
		}
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return value, append(found, unknownKeys(file, strict)...)
		}
		problem := wrongValue(file, err, remedy)
		found = append(found, problem)
		if problem.Line < 1 || problem.Line > len(lines) || len(lines[problem.Line-1]) == 0 || len(found) >= maxProblems {
			return value, found
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

func wrongValue(file string, err error, remedy func(string) string) *Problem {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return &Problem{File: file, Key: "(document)", What: err.Error(), Remedy: "correct the TOML syntax"}
	}
	row, _ := decode.Position()
	key := strings.Join(decode.Key(), ".")
	return &Problem{File: file, Line: row, Key: key, What: strings.TrimPrefix(decode.Error(), "toml: "), Remedy: remedy(key)}
}
