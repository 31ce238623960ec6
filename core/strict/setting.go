package strict

import "fmt"

// SettingProblem is a fault in checked settings. It names key and remedy.
type SettingProblem struct {
	Key    string
	What   string
	Remedy string
}

// Error implements error.
func (p *SettingProblem) Error() string {
	return fmt.Sprintf("settings: %s: %s; remedy: %s", p.Key, p.What, p.Remedy)
}

// Required is a setting that must not be empty.
type Required struct {
	Key   string
	Value string
}

// FirstEmpty returns the problem of the first setting that is empty, nil when
// none is.
func FirstEmpty(required ...Required) error {
	for _, setting := range required {
		if setting.Value == "" {
			return &SettingProblem{Key: setting.Key, What: "is empty", Remedy: "set it in the settings file"}
		}
	}
	return nil
}
