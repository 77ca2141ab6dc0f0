package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// platformFile is a valid platform settings file with two zones.
const platformFile = `host_name = "c-0"
api_addr = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
zones = ["gdansk", "wroclaw"]
[settings.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 60.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 32
[settings.cloud]
rps = 4.0
[settings.resources]
ram_mb = 125.0
sockets = 1500
`

// runCommand runs the program in this process, with platformFile and the given operators'
// settings. It returns what the program prints.
func runCommand(t *testing.T, operator string, args ...string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	platform, settings := filepath.Join(dir, "platform.toml"), filepath.Join(dir, "operator.json")
	for path, text := range map[string]string{platform: platformFile, settings: operator} {
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
