package config

import "fmt"

// SettingError reports a setting that is missing or invalid.
type SettingError struct {
	Key     string // path in the file, such as settings.teams[0].name
	Problem string // what is wrong with it
}

// Error returns one line that names the setting and the problem.
func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

// invalidSetting returns the error of the setting with the given key.
func invalidSetting(key, format string, args ...any) error {
	return &SettingError{Key: key, Problem: fmt.Sprintf(format, args...)}
}
