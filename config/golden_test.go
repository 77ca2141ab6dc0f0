package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/zonerecovery"
)

// goldenPlatform returns platform settings that have a different value in every field.
func goldenPlatform() Platform {
	p := Platform{HostName: "c-0", Location: "zone-a", APIAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2",
		Seeds: []Peer{{Name: "c-1", Zone: "zone-b", Address: "127.0.0.1:5"}}}
	p.External.Cloud, p.External.KV = "127.0.0.1:3", "127.0.0.1:4"
	s := &p.Settings
	s.InitialSize, s.Zones, s.SkewMS = 11, []ids.Zone{"zone-a", "zone-b"}, 12.5
	s.Teams = []Team{{Name: "vision", CPUs: 13.5, CPUsMax: 14.5, GPUs: 15.5, GPUsMax: 16.5}}
	s.Objectives = []ServiceLevelObjective{{Kind: "start", Class: "train", WithinS: 17.5, Times: 18.5, Share: 0.95}}
	s.Workers.HeartbeatIntervalS, s.Workers.LeaseS, s.Workers.CancelDeadlineS = 19.5, 20.5, 21.5
	s.KV.RPS, s.KV.WriteRPS, s.KV.ValueKB, s.KV.TxnOps = 22.5, 23.5, 24.5, 25
	s.KV.Next.RPS, s.KV.Next.WriteRPS, s.KV.Next.ValueKB, s.KV.Next.TxnOps = new(26.5), new(27.5), new(28.5), new(29)
	s.Cloud.RPS, s.Cloud.ListLagS = 30.5, 31.5
	s.Resources.CPUShare, s.Resources.RAMMB, s.Resources.Sockets = 0.5, 32.5, 33
	return p
}

// goldenOperator returns operators' settings that have a different value in every field.
func goldenOperator() Operator {
	var o Operator
	o.Leadership.LeaseMS, o.Leadership.GraceS = 3001, 91
	o.Quota.LendingLimits, o.Quota.ReclaimHoldS, o.Quota.SliceTasks = map[ids.Team]float64{"vision": 4.5}, 5.5, 65
	o.Quota.MaxSkippedJobs, o.Quota.ReserveAfterS, o.Quota.ReserveForS = 2001, 61.5, 92.5
	o.Fleet.IdleTimeoutS, o.Fleet.SpotIdleFactor, o.Fleet.HeadroomIdleTimeoutS, o.Fleet.Headroom = 31.5, 1.75, 901.5, 0.35
	o.Fleet.BootFactor, o.Fleet.CapacityBackoffS, o.Fleet.MaxMachines = 4.5, 10.5, 7
	o.ZoneRecovery = zonerecovery.Settings{Enabled: true, SuspectFraction: 0.51, OutageFraction: 0.81, OutageAfterS: 6.5, ClearSuspicionAfterS: 2.5, MinMachines: 5,
		ReachableFraction: 0.26, RetryAfterS: 181.5, HoldDownS: 4.25, HoldDownFactor: 3.5, MaxHoldDownS: 30.5, QuietPeriodS: 601.5, ProbeTasks: 4,
		MaxProbeRunS: 182.5, Steps: []float64{0.15, 0.35}, MinStepTimeS: 4.75, MinStepSuccesses: 6, FailureTolerance: 0.27, SlowStartFactor: 4.5,
		StartsPerMachine: 1.5, FetchesPerMachine: 0.55, MaxRecoveryS: 45.5, MaxWaitS: 81.5, FailbackBudget: 2, ForceFailbackAfterS: 60.5,
		RestorePerMinute: 1.25, RestoreAfterS: 62.5, RestoreBudget: 3, Windows: []zonerecovery.WindowSettings{{Name: "bulletins",
			TimeZone: "Europe/Warsaw", From: "05:00", To: "07:00", Days: []string{"mon"}, Calendar: "pl", DayKind: "workdays", Zones: []ids.Zone{"zone-a"}}}}
	return o
}

// A setting whose name changes is ignored or rejected in existing files. A renamed Go field must
// therefore keep the name of its setting.
func TestSettingNamesMatchGoldenFiles(t *testing.T) {
	parse := func(raw []byte, v any) error {
		p, err := ParsePlatform(raw)
		if err == nil {
			*v.(*Platform) = *p
		}
		return err
	}
	golden.Check(t, "platform.json", golden.Codec{Encode: toml.Marshal, Decode: parse}, []golden.Case{
		{Name: "platform settings", Value: goldenPlatform()},
	})
	raw, err := toml.Marshal(goldenPlatform())
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckText(t, "platform.toml", string(raw))
	want := goldenOperator()
	for name, section := range map[string]any{"leadership": want.Leadership, "quota": want.Quota, "fleet": want.Fleet, "zone_return": want.ZoneRecovery} {
		golden.CheckFieldsSet(t, name, section)
	}
	if raw, err = json.MarshalIndent(want, "", "  "); err != nil {
		t.Fatal(err)
	}
	golden.CheckText(t, "operator.json", string(raw)+"\n")
	got, err := ParseOperator(raw)
	if err != nil {
		t.Fatal(err)
	}
	got.ZoneRecoveryPolicy = nil // derived from the settings, and not in the file
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("read %+v, want %+v", *got, want)
	}
}

// A setting without a property in the schema cannot be set, and a property or default without a
// setting has no effect. The schema, the settings, the defaults and the current names of renamed
// settings must therefore use the same names.
func TestSchemaNamesMatchSettings(t *testing.T) {
	var schema, settings, defaults any
	written, err := json.Marshal(goldenOperator())
	if err != nil {
		t.Fatal(err)
	}
	for i, raw := range [][]byte{operatorSchema, written, operatorDefault} {
		if err := json.Unmarshal(raw, []any{&schema, &settings, &defaults}[i]); err != nil {
			t.Fatal(err)
		}
	}
	inSchema := schemaNames("", schema)
	slices.Sort(inSchema)
	golden.CheckText(t, "schema.txt", strings.Join(inSchema, "\n")+"\n")
	inSettings := settingNames("", settings)
	slices.Sort(inSettings)
	if !slices.Equal(inSchema, inSettings) {
		t.Errorf("the schema names %v, the settings are %v", inSchema, inSettings)
	}
	for _, name := range settingNames("", defaults) {
		if !slices.Contains(inSettings, name) {
			t.Errorf("default of %s, which is not a setting", name)
		}
	}
	for _, renamed := range renamedSettings {
		if !slices.Contains(inSettings, renamed.section+"."+renamed.name) {
			t.Errorf("the current name in %v is not a setting", renamed)
		}
	}
}

// schemaNames returns the paths of all properties in a schema.
func schemaNames(path string, schema any) (names []string) {
	object, _ := schema.(map[string]any)
	if object == nil {
		return nil
	}
	properties, _ := object["properties"].(map[string]any)
	for name, below := range properties {
		names = append(names, path+name)
		names = append(names, schemaNames(path+name+".", below)...)
	}
	return append(names, schemaNames(path, object["items"])...)
}

// settingNames returns the paths of all settings in a file. It skips the names below
// lending_limits, which are names of teams.
func settingNames(path string, file any) (names []string) {
	switch v := file.(type) {
	case map[string]any:
		for name, below := range v {
			names = append(names, path+name)
			if name != "lending_limits" {
				names = append(names, settingNames(path+name+".", below)...)
			}
		}
	case []any:
		for _, below := range v {
			names = append(names, settingNames(path, below)...)
		}
	}
	return names
}
