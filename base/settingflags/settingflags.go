// Package settingflags provides a command-line flag for each setting. The key
// usage_window becomes --usage-window, and the key file of the table tls becomes
// --tls-file.
package settingflags

import (
	"strings"

	"github.com/integrii/flaggy"
)

// Flags holds the flag values of a command, in the order of the setting names.
type Flags struct {
	names  []string
	values []string
}

// Register adds a flag for each of the named settings to a command.
func Register(command *flaggy.Subcommand, names []string) *Flags {
	flags := &Flags{names: names, values: make([]string, len(names))}
	for i, name := range names {
		command.String(&flags.values[i], "", FlagName(name), "overrides the setting "+name)
	}
	return flags
}

// FlagName returns the name of a setting's flag, without the leading dashes.
func FlagName(setting string) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(setting)
}

// Overrides returns the non-empty values from the command line, keyed by setting name.
func (f *Flags) Overrides() map[string]string {
	overrides := make(map[string]string)
	for i, value := range f.values {
		if value != "" {
			overrides[f.names[i]] = value
		}
	}
	return overrides
}
