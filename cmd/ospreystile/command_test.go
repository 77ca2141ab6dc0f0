package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformFile returns valid platform settings with the zones gdansk and wroclaw.
func platformFile(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/platform.toml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("zone-a", "gdansk", "zone-b", "wroclaw").Replace(string(raw))
}

// runCommand runs the program in this process with platformFile and the given operators'
// settings. It returns the program's output.
func runCommand(t *testing.T, operator string, args ...string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	platform, settings := filepath.Join(dir, "platform.toml"), filepath.Join(dir, "operator.json")
	for path, text := range map[string]string{platform: platformFile(t), settings: operator} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append(args, "--config", platform, "--operator", settings))
	err := root.Execute()
	return out.String(), err
}
