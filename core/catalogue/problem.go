package catalogue

import (
	"fmt"
	"strings"
)

// Problem is one fault in a catalogue. It names file, line, key and remedy.
// Line is 0 for a document that did not come from a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Key    string `json:"key"`
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; remedy: %s", p.File, p.Line, p.Key, p.What, p.Remedy)
}

// Problems are all faults that were found in one catalogue, by line.
type Problems []*Problem

// Error implements error: one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find a single problem.
func (p Problems) Unwrap() []error {
	wrapped := make([]error, 0, len(p))
	for _, problem := range p {
		wrapped = append(wrapped, problem)
	}
	return wrapped
}
