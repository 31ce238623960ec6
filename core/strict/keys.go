package strict

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Key is one key of a settings struct.
type Key struct {
	Name    string // Dotted, for example "tls.certificate_file".
	Type    reflect.Type
	Default reflect.Value
	// Quoted is set for strings and for types that are decoded from a string.
	Quoted bool
	// Owner and Field are the struct type and field that declare the key.
	Owner reflect.Type
	Field string
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// Keys returns the single-valued keys of a settings struct in field order. The
// values in the struct become the defaults.
func Keys(settings any) []Key {
	return keysOf("", reflect.ValueOf(settings))
}

func keysOf(prefix string, value reflect.Value) []Key {
	var keys []Key
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := field.Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		key := Key{Name: prefix + name, Type: field.Type, Default: value.Field(i), Owner: value.Type(), Field: field.Name}
		key.Quoted = field.Type.Kind() == reflect.String || reflect.PointerTo(field.Type).Implements(textUnmarshaler)
		switch {
		case key.Quoted:
			keys = append(keys, key)
		case field.Type.Kind() == reflect.Struct:
			keys = append(keys, keysOf(key.Name+".", value.Field(i))...)
		case field.Type.Kind() != reflect.Slice && field.Type.Kind() != reflect.Map && field.Type.Kind() != reflect.Pointer:
			keys = append(keys, key)
		}
	}
	return keys
}

// FormatOverrides returns a TOML document that sets keys to the given values,
// which are unquoted.
func FormatOverrides(keys []Key, values map[string]string) []byte {
	var document strings.Builder
	for _, key := range keys {
		value, ok := values[key.Name]
		if !ok {
			continue
		}
		if key.Quoted {
			value = strconv.Quote(value)
		}
		fmt.Fprintf(&document, "%s = %s\n", key.Name, value)
	}
	return []byte(document.String())
}

// MissingUnits returns a problem for each key whose value is a number where a
// quoted value with a unit is required, such as 20 instead of "20s".
func MissingUnits(file string, keys []Key, index *Index) Problems {
	var problems Problems
	for _, key := range keys {
		if key.Quoted && index.HasNumber(key.Name) {
			problems = append(problems, &Problem{File: file, Line: index.Line(key.Name), Key: key.Name, Message: "the value has no unit", Remedy: `write it in quotes with its unit, such as "20s"`})
		}
	}
	return problems
}

// DecodeSettings decodes a TOML document into a copy of defaults, then applies
// overrides, which are values by key name. It returns all problems.
func DecodeSettings[T any](file string, data []byte, defaults T, overrides map[string]string) (T, Problems) {
	keys := Keys(defaults)
	settings, problems := decodeWithDefaults(file, data, keys, defaults)
	if len(overrides) == 0 {
		return settings, problems
	}
	settings, overrideProblems := decodeWithDefaults("(flags)", FormatOverrides(keys, overrides), keys, settings)
	return settings, append(problems, overrideProblems...)
}

func decodeWithDefaults[T any](file string, data []byte, keys []Key, defaults T) (T, Problems) {
	newValue := func() *T {
		value := defaults
		return &value
	}
	settings, index, problems := Decode(file, data, newValue, settingRemedy)
	if index == nil {
		return defaults, problems
	}
	problems = append(problems, MissingUnits(file, keys, index)...)
	return *settings, problems.Ordered()
}

func settingRemedy(string) string {
	return `write one value of the key's type, with its unit in quotes if it is a time, such as "20s"`
}
