package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index holds the line on which each key of a TOML document is written. Keys have
// the form "route[2].limits.concurrent". A nil Index holds no keys.
type Index struct {
	lines  map[string]int
	arrays map[string]int // Number of elements so far, by array key.
	// numbers holds the keys whose value is a number.
	numbers map[string]bool
}

// buildIndex indexes a document, or returns its syntax error and the line of it.
func buildIndex(data []byte) (*Index, int, error) {
	index := &Index{lines: make(map[string]int), arrays: make(map[string]int), numbers: make(map[string]bool)}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.ArrayTable:
			table = index.nextElement(keyParts(node))
			index.addLine(&parser, node, table)
		case unstable.Table:
			table = index.resolve(keyParts(node))
			index.addLine(&parser, node, table)
		case unstable.KeyValue:
			index.addValue(&parser, node, table)
		}
	}
	if err := parser.Error(); err != nil {
		return nil, errorLine(&parser, err), err
	}
	return index, 0, nil
}

// Line returns the line of a key, or of the closest enclosing table if the key is
// not in the document.
func (x *Index) Line(key string) int {
	if x == nil {
		return 0
	}
	for key != "" {
		if line, ok := x.lines[key]; ok {
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

// Has reports whether the document contains a key.
func (x *Index) Has(key string) bool {
	if x == nil {
		return false
	}
	_, ok := x.lines[key]
	return ok
}

// HasNumber reports whether the document contains a key with a number as its
// value.
func (x *Index) HasNumber(key string) bool { return x != nil && x.numbers[key] }

func (x *Index) addLine(parser *unstable.Parser, node *unstable.Node, key string) {
	iterator := node.Key()
	if iterator.Next() {
		x.lines[key] = parser.Shape(iterator.Node().Raw).Start.Line
	}
}

func (x *Index) addValue(parser *unstable.Parser, node *unstable.Node, table string) {
	key := joinKey(table, strings.Join(keyParts(node), "."))
	x.addLine(parser, node, key)
	kind := node.Value().Kind
	if kind == unstable.Integer || kind == unstable.Float {
		x.numbers[key] = true
	}
	if kind != unstable.InlineTable {
		return
	}
	children := node.Value().Children()
	for children.Next() {
		x.addValue(parser, children.Node(), key)
	}
}

// nextElement starts the next element of an array of tables and returns its key.
func (x *Index) nextElement(parts []string) string {
	array := x.resolve(parts[:len(parts)-1])
	array = joinKey(array, parts[len(parts)-1])
	element := fmt.Sprintf("%s[%d]", array, x.arrays[array])
	x.arrays[array]++
	return element
}

// resolve returns the key for parts, with the index of the current element for
// each array of tables in it.
func (x *Index) resolve(parts []string) string {
	key := ""
	for _, part := range parts {
		key = joinKey(key, part)
		if count := x.arrays[key]; count > 0 {
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

// errorLine returns the line of a parser error, taken from the bytes that the
// error highlights.
func errorLine(parser *unstable.Parser, err error) int {
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) && len(parserError.Highlight) > 0 {
		return parser.Shape(parser.Range(parserError.Highlight)).Start.Line
	}
	return 1 + bytes.Count(parser.Data(), []byte("\n"))
}
