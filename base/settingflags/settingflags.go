// Package settingflags gives each setting a flag: the key usage_window becomes
// --usage-window, the key file of the table tls becomes --tls-file.
package settingflags

import (
	"strings"

	"github.com/integrii/flaggy"
)

// Flags holds what was given on the command line.
type Flags struct {
	names  []string
	values []string
}

// Attach adds a flag for each named setting to a command.
func Attach(command *flaggy.Subcommand, names []string) *Flags {
	flags := &Flags{names: names, values: make([]string, len(names))}
	for i, name := range names {
		command.String(&flags.values[i], "", FlagName(name), "overrides the setting "+name)
	}
	return flags
}

// FlagName returns the flag of a setting, without dashes in front.
func FlagName(setting string) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(setting)
}

// Given returns the values that were given, by the setting's name.
func (f *Flags) Given() map[string]string {
	given := make(map[string]string)
	for i, value := range f.values {
		if value != "" {
			given[f.names[i]] = value
		}
	}
	return given
}
