package catalogue

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one fault in a catalogue file. It names file, line, key and remedy.
type Problem struct {
	File   string
	Line   int
	Key    string
	What   string
	Remedy string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; remedy: %s", p.File, p.Line, p.Key, p.What, p.Remedy)
}

// Parse reads a TOML document strictly; file is the name used in errors.
func Parse(file string, data []byte) (*Document, error) {
	document := new(Document)
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, decodeProblem(file, err)
	}
	return document, nil
}

func decodeProblem(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		first := strict.Errors[0]
		row, _ := first.Position()
		return &Problem{File: file, Line: row, Key: keyName(first.Key()), What: "unknown key", Remedy: "remove it or correct its spelling"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return &Problem{File: file, Line: row, Key: keyName(decode.Key()), What: decode.Error(), Remedy: "write a value of the key's type and unit"}
	}
	return err
}

func keyName(key toml.Key) string {
	name := ""
	for i, part := range key {
		if i > 0 {
			name += "."
		}
		name += part
	}
	return name
}
