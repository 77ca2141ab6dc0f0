package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/internal/golden"
)

// Operators' tools parse the output of check, and a change of it breaks them.
func TestCheckOutputMatchesGoldenFile(t *testing.T) {
	var text strings.Builder
	for _, c := range []struct {
		name string
		args []string
	}{
		{"in order", []string{"--config", "testdata/platform.toml", "--operator", "testdata/operator.json"}},
		{"defaults for operators", []string{"--config", "testdata/platform.toml"}},
		{"former names", []string{"--config", "testdata/platform.toml", "--operator", "testdata/former-names.json"}},
		{"unknown name", []string{"--config", "testdata/platform.toml", "--operator", "testdata/unknown-name.json"}},
		{"unknown zone", []string{"--config", "testdata/platform.toml", "--operator", "testdata/unknown-zone.json"}},
		{"malformed", []string{"--config", "testdata/malformed.toml"}},
		{"incomplete", []string{"--config", "testdata/incomplete.toml"}},
		{"no file", []string{"--config", "testdata/none.toml"}},
		{"no flag", nil},
	} {
		root := rootCommand()
		var out, errs bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&errs)
		root.SetArgs(append([]string{"check"}, c.args...))
		err := root.Execute()
		fmt.Fprintf(&text, "%s:\n  stdout %q\n  stderr %q\n  error  %v\n", c.name, out.String(), errs.String(), err)
	}
	golden.CheckText(t, "check.txt", text.String())
}
