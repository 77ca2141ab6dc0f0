package main

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// pistePlan returns a small deployment with the settings of the piste maps' site file: machines of 32 CPUs and
// 64 GB in three zones.
func pistePlan(capacity int) plan {
	zones := []ids.Zone{"ostersund", "falun", "are-rack"}
	settings := config.Settings{
		InitialSize: 3,
		Zones:       zones,
		SkewMS:      5,
		Workers:     config.WorkerSettings{HeartbeatIntervalS: 3, LeaseS: 27, CancelDeadlineS: 52},
		KV:          config.KVLimits{Limits: config.Limits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 24}},
		Cloud:       config.CloudSettings{RPS: 5, ListLagS: 3},
		Resources:   config.Resources{CPUShare: 0.3, RAMMB: 234, Sockets: 3000},
		Teams: []config.Team{
			{Name: "karta-jamtland", CPUs: 208, CPUsMax: 616},
			{Name: "karta-dalarna", CPUs: 616, CPUsMax: 1432},
			{Name: "appdrift", CPUs: 248, CPUsMax: 1024},
			{Name: "sakerhet", CPUs: 248, CPUsMax: 736},
		},
	}
	return plan{
		controllerZones: zones,
		settings:        settings,
		types: []wire.MachineType{{Name: "fjallnod", CPUs: 32, MemoryGB: 64, CacheGB: 80, FetchGBps: 0.25, Price: 2.02,
			SpotPrice: 0.49, BootS: 25, Zones: zones}},
		capacity:   capacity,
		boot:       2 * time.Second,
		pullGBPerS: 0.25,
	}
}

// archivePlan returns a small deployment with the settings of the archive's site file: in each of four zones at
// most one ordinary machine of each type. The controllers are in one zone.
func archivePlan() plan {
	zones := []ids.Zone{"gdansk-dc", "krakow-dc", "lodz-a", "lodz-b"}
	settings := config.Settings{
		InitialSize: 3,
		Zones:       zones,
		SkewMS:      25,
		Workers:     config.WorkerSettings{HeartbeatIntervalS: 3, LeaseS: 30, CancelDeadlineS: 60},
		KV:          config.KVLimits{Limits: config.Limits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 32}},
		Cloud:       config.CloudSettings{RPS: 4, ListLagS: 5},
		Resources:   config.Resources{CPUShare: 0.12, RAMMB: 125, Sockets: 1500},
		Teams: []config.Team{
			{Name: "archiwum-gdansk", CPUs: 64, CPUsMax: 160},
			{Name: "archiwum-krakow", CPUs: 56, CPUsMax: 176},
			{Name: "archiwum-wroclaw", CPUs: 64, CPUsMax: 176},
			{Name: "uslugi-klienta", CPUs: 56, CPUsMax: 136},
		},
	}
	return plan{
		controllerZones: []ids.Zone{"lodz-a", "lodz-a", "lodz-a"},
		settings:        settings,
		types: []wire.MachineType{
			{Name: "wezel-maly", CPUs: 4, MemoryGB: 32, CacheGB: 70, FetchGBps: 0.2, Price: 0.36, SpotPrice: 0.13, BootS: 35, Zones: zones},
			{Name: "wezel-duzy", CPUs: 32, MemoryGB: 256, CacheGB: 30, FetchGBps: 0.4, Price: 2.67, SpotPrice: 0.92, BootS: 30, Zones: zones},
		},
		capacity:   1,
		boot:       2 * time.Second,
		pullGBPerS: 0.4,
	}
}
