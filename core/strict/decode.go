package strict

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxValueProblems bounds how many wrong values are reported for one document.
const maxValueProblems = 100

// Decode reads a TOML document into a value from newValue and collects unknown
// keys and values of the wrong type. The index is nil if the document is not valid
// TOML. remedy describes the type and unit of a key's value.
func Decode[T any](file string, data []byte, newValue func() *T, remedy func(key string) string) (*T, *Index, Problems) {
	index, line, err := buildIndex(data)
	if err != nil {
		return nil, nil, Problems{{File: file, Line: line, Key: "(document)", Message: err.Error(), Remedy: "correct the TOML syntax on this line"}}
	}
	value, problems := decode(file, data, newValue, remedy)
	return value, index, problems
}

// decode blanks each line with a wrong value and decodes again, so that it also
// finds the problems in the other lines. Blank lines keep the line numbers correct.
func decode[T any](file string, data []byte, newValue func() *T, remedy func(string) string) (*T, Problems) {
	var problems Problems
	lines := bytes.Split(data, []byte("\n"))
	for {
		value := newValue()
		decoder := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n"))))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(value)
		if err == nil {
			return value, problems
		}
		var strictErr *toml.StrictMissingError
		if errors.As(err, &strictErr) {
			return value, append(problems, unknownKeyProblems(file, strictErr)...)
		}
		problem := valueProblem(file, err, remedy)
		problems = append(problems, problem)
		if problem.Line < 1 || problem.Line > len(lines) || len(lines[problem.Line-1]) == 0 || len(problems) >= maxValueProblems {
			return value, problems
		}
		lines[problem.Line-1] = nil
	}
}

func unknownKeyProblems(file string, strictErr *toml.StrictMissingError) Problems {
	var problems Problems
	for _, missing := range strictErr.Errors {
		row, _ := missing.Position()
		problems = append(problems, &Problem{File: file, Line: row, Key: strings.Join(missing.Key(), "."), Message: "unknown key", Remedy: "remove it or correct its spelling"})
	}
	return problems
}

func valueProblem(file string, err error, remedy func(string) string) *Problem {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return &Problem{File: file, Key: "(document)", Message: err.Error(), Remedy: "correct the TOML syntax"}
	}
	row, _ := decodeErr.Position()
	key := strings.Join(decodeErr.Key(), ".")
	return &Problem{File: file, Line: row, Key: key, Message: strings.TrimPrefix(decodeErr.Error(), "toml: "), Remedy: remedy(key)}
}
