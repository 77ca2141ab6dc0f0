package main

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/config"
)

// settingsFiles holds the paths of the two settings files, which flags set.
type settingsFiles struct{ platform, operator string }

// errNoPlatformFile means that the flag --config is not set.
var errNoPlatformFile = errors.New("--config: missing")

// load reads and checks both files.
func (f *settingsFiles) load() (*config.Platform, *config.Operator, error) {
	if f.platform == "" {
		return nil, nil, errNoPlatformFile
	}
	platform, err := config.LoadPlatform(f.platform)
	if err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperator(f.operator)
	if err != nil {
		return nil, nil, err
	}
	if err := operator.CheckAgainst(platform); err != nil {
		return nil, nil, fmt.Errorf("operator settings %s: %w", f.operator, err)
	}
	return platform, operator, nil
}
