package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// validPlatform is a platform settings file with every required setting and an unknown one.
const validPlatform = `
host_name = "n-0"
location = "z"
api_addr = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
future = "ignored"
[[seeds]]
host_name = "n-1"
location = "z"
address = "127.0.0.1:8082"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
zones = ["z"]
[[settings.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
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

// parseChanged parses validPlatform with the first occurrence of from replaced by to.
func parseChanged(t *testing.T, from, to string) (*Platform, error) {
	t.Helper()
	if !strings.Contains(validPlatform, from) {
		t.Fatalf("the valid settings do not contain %q", from)
	}
	return ParsePlatform([]byte(strings.Replace(validPlatform, from, to, 1)))
}

// wantSettingError checks that an error is a *SettingError of one line that names the key.
func wantSettingError(t *testing.T, err error, key string) {
	t.Helper()
	var settingErr *SettingError
	if !errors.As(err, &settingErr) || settingErr.Key != key {
		t.Errorf("error %v, want a *SettingError with key %s", err, key)
		return
	}
	if text := err.Error(); !strings.Contains(text, key) || strings.Contains(text, "\n") {
		t.Errorf("error %q, want one line that names %s", text, key)
	}
}

func TestPlatformSettings(t *testing.T) {
	p, err := ParsePlatform([]byte(validPlatform))
	if err != nil {
		t.Fatal(err)
	}
	if p.Settings.Teams[0].CPUsMax != 8 || p.Seeds[0].Name != "n-1" || p.Settings.KV.TxnOps != 32 {
		t.Errorf("read %+v", p)
	}
	if p.Settings.Resources.CPUShare != 1 {
		t.Errorf("default CPU share %v, want 1", p.Settings.Resources.CPUShare)
	}
}

func TestInvalidPlatformSettings(t *testing.T) {
	for _, c := range []struct{ name, from, to, key string }{
		{"no host name", `host_name = "n-0"`, ``, "host_name"},
		{"address without port", `"127.0.0.1:8080"`, `"nowhere"`, "api_addr"},
		{"no address of the cloud", `cloud = "127.0.0.1:1"`, ``, "external.cloud"},
		{"no address of a peer", `address = "127.0.0.1:8082"`, ``, "seeds[0].address"},
		{"limit below quota", `cpus_max = 8.0`, `cpus_max = 2.0`, "settings.teams[0]"},
		{"negative quota", `cpus = 4.0`, `cpus = -4.0`, "settings.teams[0]"},
		{"quota that is not a number", `cpus = 4.0`, `cpus = nan`, "settings.teams[0]"},
		{"no lease", `lease_s = 30.0`, ``, "settings.workers.lease_s"},
		{"infinite lease", `lease_s = 30.0`, `lease_s = inf`, "settings.workers.lease_s"},
		{"interval that is not a number", `report_s = 3.0`, `report_s = nan`, "settings.workers.report_s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseChanged(t, c.from, c.to)
			wantSettingError(t, err, c.key)
		})
	}
}

func TestMalformedPlatformSettings(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           []string
	}{
		{"text for a number", `txn_ops = 32`, `txn_ops = "many"`, []string{"line", "settings.state.txn_ops"}},
		{"bracket missing", `[settings.cloud]`, `[settings.cloud`, []string{"line"}},
	} {
		_, err := parseChanged(t, c.from, c.to)
		var decodeError *toml.DecodeError
		if !errors.As(err, &decodeError) {
			t.Errorf("%s: error %v, want a *toml.DecodeError", c.name, err)
			continue
		}
		for _, word := range c.want {
			if !strings.Contains(err.Error(), word) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: error %q, want one line with %q", c.name, err, word)
			}
		}
	}
}
