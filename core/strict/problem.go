// Package strict decodes TOML documents and reports every problem in them with
// its file, line, key and remedy.
package strict

import (
	"fmt"
	"sort"
	"strings"
)

// Problem describes an error in a document and how to correct it. Line is 0 if
// the document was not read from a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"what"`
	Remedy  string `json:"remedy"`
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; remedy: %s", p.File, p.Line, p.Key, p.Message, p.Remedy)
}

// Problems are the problems of one document.
type Problems []*Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the individual problems available to errors.Is and errors.As.
func (p Problems) Unwrap() []error {
	wrapped := make([]error, 0, len(p))
	for _, problem := range p {
		wrapped = append(wrapped, problem)
	}
	return wrapped
}

// Ordered sorts the problems by line, in place. Of the problems with the same line
// and last key segment it keeps only the first, which causes the others.
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
