package strict

import "fmt"

// SettingProblem is an invalid value found by a check of decoded settings.
type SettingProblem struct {
	Key     string
	Message string
	Remedy  string
}

func (p *SettingProblem) Error() string {
	return fmt.Sprintf("settings: %s: %s; remedy: %s", p.Key, p.Message, p.Remedy)
}

// RequiredSetting is a setting that must not be empty.
type RequiredSetting struct {
	Key   string
	Value string
}

// CheckRequired returns the problem of the first empty setting, or nil if none is
// empty.
func CheckRequired(required ...RequiredSetting) error {
	for _, setting := range required {
		if setting.Value == "" {
			return &SettingProblem{Key: setting.Key, Message: "is empty", Remedy: "set it in the settings file"}
		}
	}
	return nil
}
