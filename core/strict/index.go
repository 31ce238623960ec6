package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index knows the line on which each key of a TOML document was written. Keys
// are written like "route[2].limits.concurrent". A nil Index knows none.
type Index struct {
	lines  map[string]int
	arrays map[string]int // Number of elements seen, by array key.
	// numbers holds the keys whose value is a number.
	numbers map[string]bool
}

// locate indexes a document, or returns its syntax error with the line.
func locate(data []byte) (*Index, int, error) {
	index := &Index{lines: make(map[string]int), arrays: make(map[string]int), numbers: make(map[string]bool)}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.ArrayTable:
			table = index.nextElement(keyParts(node))
			index.note(&parser, node, table)
		case unstable.Table:
			table = index.resolve(keyParts(node))
			index.note(&parser, node, table)
		case unstable.KeyValue:
			index.noteValue(&parser, node, table)
		}
	}
	if err := parser.Error(); err != nil {
		return nil, errorLine(&parser, err), err
	}
	return index, 0, nil
}

// Line returns the line of a key, or of the closest table around it.
func (p *Index) Line(key string) int {
	if p == nil {
		return 0
	}
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}

// Has reports whether a key was written.
func (p *Index) Has(key string) bool {
	if p == nil {
		return false
	}
	_, ok := p.lines[key]
	return ok
}

// HasNumber reports whether a key was written with a number as its value.
func (p *Index) HasNumber(key string) bool { return p != nil && p.numbers[key] }

func (p *Index) note(parser *unstable.Parser, node *unstable.Node, key string) {
	iterator := node.Key()
	if iterator.Next() {
		p.lines[key] = parser.Shape(iterator.Node().Raw).Start.Line
	}
}

func (p *Index) noteValue(parser *unstable.Parser, node *unstable.Node, table string) {
	key := joinKey(table, strings.Join(keyParts(node), "."))
	p.note(parser, node, key)
	kind := node.Value().Kind
	if kind == unstable.Integer || kind == unstable.Float {
		p.numbers[key] = true
	}
	if kind != unstable.InlineTable {
		return
	}
	children := node.Value().Children()
	for children.Next() {
		p.noteValue(parser, children.Node(), key)
	}
}

// nextElement starts the next element of an array of tables.
func (p *Index) nextElement(parts []string) string {
	array := p.resolve(parts[:len(parts)-1])
	array = joinKey(array, parts[len(parts)-1])
	element := fmt.Sprintf("%s[%d]", array, p.arrays[array])
	p.arrays[array]++
	return element
}

// resolve names the current element of each array on the way.
func (p *Index) resolve(parts []string) string {
	key := ""
	for _, part := range parts {
		key = joinKey(key, part)
		if count := p.arrays[key]; count > 0 {
			key = fmt.Sprintf("%s[%d]", key, count-1)
		}
	}
	return key
}

func keyParts(node *unstable.Node) []string {
	var parts []string
	iterator := node.Key()
	for iterator.Next() {
		parts = append(parts, string(iterator.Node().Data))
	}
	return parts
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// errorLine finds the line of the parser's error by its highlighted bytes.
func errorLine(parser *unstable.Parser, err error) int {
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) && len(parserError.Highlight) > 0 {
		return parser.Shape(parser.Range(parserError.Highlight)).Start.Line
	}
	return 1 + bytes.Count(parser.Data(), []byte("\n"))
}
