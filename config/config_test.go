package config

import (
	"strings"
	"testing"
)

const good = `
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

func TestPlatformSettings(t *testing.T) {
	p, err := ParsePlatform([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if p.Settings.Teams[0].CPUsMax != 8 || p.Seeds[0].Name != "n-1" || p.Settings.KV.TxnOps != 32 {
		t.Errorf("read %+v", p)
	}
	for _, c := range []struct{ from, to, field string }{
		{`host_name = "n-0"`, ``, "host_name"},
		{`"127.0.0.1:8080"`, `"nowhere"`, "api_addr"},
		{`cloud = "127.0.0.1:1"`, ``, "external.cloud"},
		{`address = "127.0.0.1:8082"`, ``, "seeds[0].address"},
		{`cpus_max = 8.0`, `cpus_max = 2.0`, "settings.teams[0]"},
		{`cpus = 4.0`, `cpus = -4.0`, "settings.teams[0]"},
		{`lease_s = 30.0`, ``, "settings.workers.lease_s"},
		{`txn_ops = 32`, `txn_ops = "many"`, "line"},
		{`txn_ops = 32`, `txn_ops = "many"`, "settings.state.txn_ops"},
		{`report_s = 3.0`, `report_s = nan`, "settings.workers.report_s"},
		{`lease_s = 30.0`, `lease_s = inf`, "settings.workers.lease_s"},
		{`cpus = 4.0`, `cpus = nan`, "settings.teams[0]"},
		{`[settings.cloud]`, `[settings.cloud`, "line"},
	} {
		_, err := ParsePlatform([]byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: error %v, want one line that names %s", c.to, c.from, err, c.field)
		}
	}
}

// A team without a guarantee team comes with zeroes for its guarantee and its limits: it has neither. Its
// jobs used to get 422, every one.
func TestTeamWithoutGuaranteeHasNoLimit(t *testing.T) {
	for text, limited := range map[string]bool{
		"cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0": false,
		"cpus = 4.0\ncpus_max = 0.0":                             false,
		"cpus = 0.0\ncpus_max = 8.0":                             true,
		"gpus = 0.0\ngpus_max = 1.0":                             true,
	} {
		p, err := ParsePlatform([]byte(strings.Replace(good, "cpus = 4.0\ncpus_max = 8.0", text, 1)))
		if err != nil || p.Settings.Teams[0].Limited() != limited {
			t.Errorf("%s: %+v, %v", text, p, err)
		}
	}
}

func TestLimitsToCome(t *testing.T) {
	read := func(next string) (*Platform, error) {
		return ParsePlatform([]byte(strings.Replace(good, "[settings.cloud]", next+"\n[settings.cloud]", 1)))
	}
	now := Limits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 32}
	for next, want := range map[string]Limits{
		"":                      now,
		"[settings.state.next]": now,
		"[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 10":              {RPS: 200, WriteRPS: 80, ValueKB: 2, TxnOps: 10},
		"[settings.state.next]\nwrite_rps = 90.0\nrps = 150.0\nfuture = 1": {RPS: 150, WriteRPS: 80, ValueKB: 8, TxnOps: 32},
	} {
		if p, err := read(next); err != nil || p.Settings.KV.Planned() != want {
			t.Errorf("%q: planned %+v, %v", next, p.Settings.KV.Planned(), err)
		}
	}
	for field, line := range map[string]string{
		"settings.state.next.value_kb":  "value_kb = 0.0",
		"settings.state.next.txn_ops":   "txn_ops = 1",
		"settings.state.next.write_rps": "write_rps = -1.0",
		"settings.state.next.rps":       "rps = nan",
		"line":                          `txn_ops = "few"`,
	} {
		if _, err := read("[settings.state.next]\n" + line); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v, want one that names %s", line, err, field)
		}
	}
}

func TestOperatorSettings(t *testing.T) {
	base, err := ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseOperator(operatorDefault); err != nil {
		t.Errorf("the defaults break their own schema: %v", err)
	}
	op, err := ParseOperator([]byte(`{"quota":{"lending_limits":{"red":2}}}`))
	if err != nil || op.Quota.LendingLimits["red"] != 2 || op.Leadership != base.Leadership || op.Quota.SliceTasks != base.Quota.SliceTasks {
		t.Errorf("read %+v, %v", op, err)
	}
	op, err = ParseOperator([]byte(`{"quota":{"keep_after_s":7,"keep_for_s":8,"pass_over":9}}`))
	if err != nil || op.Quota.ReserveAfterS != 7 || op.Quota.ReserveForS != 8 || op.Quota.MaxSkippedJobs != 9 || len(op.Warnings) != 3 {
		t.Errorf("by former names: %+v, %v", op, err)
	}
	if len(base.Warnings) > 0 {
		t.Errorf("the defaults warn: %v", base.Warnings)
	}
	for doc, field := range map[string]string{
		`{"quota":{"keep_for_s":8,"reserve_for_s":8}}`: "quota.keep_for_s",
		`{"quota":{"keep_for_s":"long"}}`:              "quota.reserve_for_s",
		`{"leadership":{"lease_ms":5}}`:                "leadership.lease_ms",
		`{"leadership":{"lease_ms":"x"}}`:              "leadership.lease_ms",
		`{"quota":{"lending_limits":{"red":-1}}}`:      "quota.lending_limits.red",
		`{"surprise":1}`:                               "surprise",
		`{"fleet":{"idle_s":30,"max_machines":-1}}`:    "fleet.max_machines",
		`{`: "JSON",
	} {
		if _, err := ParseOperator([]byte(doc)); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names %s", doc, err, field)
		}
	}
}
