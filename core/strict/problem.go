// Package strict reads TOML documents so that every fault is found and named
// with its file, line, key and remedy.
package strict

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a document. It names file, line, key and remedy.
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

// Problems are all faults that were found in one document, by line.
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

// Ordered sorts problems by line and drops what follows from another one on
// the same line and key.
func (p Problems) Ordered() Problems {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
	kept := p[:0]
	seen := make(map[string]bool)
	for _, problem := range p {
		place := fmt.Sprintf("%d/%s", problem.Line, problem.Key[strings.LastIndexByte(problem.Key, '.')+1:])
		if seen[place] && problem.Line > 0 {
			continue
		}
		seen[place] = true
		kept = append(kept, problem)
	}
	return kept
}
