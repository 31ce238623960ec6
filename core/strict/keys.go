package strict

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Key is one key that a settings type knows.
type Key struct {
	Name    string // Dotted, for example "tls.certificate_file".
	Type    reflect.Type
	Default reflect.Value
	// Quoted is set for texts and for types that are read from a text.
	Quoted bool
	// Owner and Field say where in the Go source the key is declared.
	Owner reflect.Type
	Field string
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// Keys returns the single-valued keys of a settings struct in the order of its
// fields, with the values that it holds as defaults.
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

// Override returns a TOML document that sets keys to values, which are written
// without quotes.
func Override(keys []Key, values map[string]string) []byte {
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

// NumbersForTexts finds keys whose value is a number where a text with a unit
// is wanted, such as 20 in place of "20s".
func NumbersForTexts(file string, keys []Key, index *Index) Problems {
	var found Problems
	for _, key := range keys {
		if key.Quoted && index.HasNumber(key.Name) {
			found = append(found, &Problem{File: file, Line: index.Line(key.Name), Key: key.Name, What: "the value has no unit", Remedy: `write it in quotes with its unit, such as "20s"`})
		}
	}
	return found
}

// DecodeSettings reads a TOML document over defaults, then overrides given as
// key names and values. It returns all faults.
func DecodeSettings[T any](file string, data []byte, defaults T, overrides map[string]string) (T, Problems) {
	keys := Keys(defaults)
	settings, found := decodeOver(file, data, keys, defaults)
	if len(overrides) == 0 {
		return settings, found
	}
	settings, wrong := decodeOver("(flags)", Override(keys, overrides), keys, settings)
	return settings, append(found, wrong...)
}

func decodeOver[T any](file string, data []byte, keys []Key, defaults T) (T, Problems) {
	fresh := func() *T {
		value := defaults
		return &value
	}
	settings, index, found := Decode(file, data, fresh, settingRemedy)
	if index == nil {
		return defaults, found
	}
	found = append(found, NumbersForTexts(file, keys, index)...)
	return *settings, found.Ordered()
}

func settingRemedy(string) string {
	return `write one value of the key's type, with its unit in quotes if it is a time, such as "20s"`
}
