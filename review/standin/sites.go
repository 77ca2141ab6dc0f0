package standin

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Options describes a deployment.
type Options struct {
	Nodes     int
	NodeZones []ids.Zone // node I is in zone I modulo their number
	Zones     []ids.Zone // of the machines
	SkewMS    float64
	Types     []wire.MachineType
	Capacity  int           // machines of each type in each zone
	Initial   int           // machines of the first type that are up in each zone at the start
	Boot      time.Duration // of the other machines

	Teams      []config.Team
	Objectives []config.ServiceLevelObjective
	State      StateLimits
	Report     time.Duration
	Lease      time.Duration
	Cancel     time.Duration
	CloudRPS   float64
	ListLag    time.Duration
	Resources  config.Resources

	// FirstLeader is the node that is started first, and leads first. Workers report to the node FirstNode
	// first, or to any one if it is negative.
	FirstLeader, FirstNode int
}

// quickBoot is the boot time of machines. At times machines are up within a second or two.
const quickBoot = 2 * time.Second

// Fjallkartan returns the options of the site of that name, with fewer machines. Each of its zones has a
// node, and machines that are up at the start.
func Fjallkartan() Options {
	zones := []ids.Zone{"ostersund", "falun", "are-rack"}
	return Options{
		Nodes: 3, NodeZones: zones, Zones: zones, SkewMS: 5, Capacity: 4, Initial: 2, Boot: quickBoot,
		Types: []wire.MachineType{{Name: "fjallnod", CPUs: 32, MemoryGB: 64, CacheGB: 80, FetchGBps: 0.25, Price: 2.02,
			SpotPrice: 0.49, BootS: 25, Zones: zones}},
		Teams: []config.Team{{Name: "karta-jamtland", CPUs: 208, CPUsMax: 616}, {Name: "karta-dalarna", CPUs: 616, CPUsMax: 1432},
			{Name: "appdrift", CPUs: 248, CPUsMax: 1024}, {Name: "sakerhet", CPUs: 248, CPUsMax: 736}},
		Objectives: []config.ServiceLevelObjective{{Kind: "wait", Class: "tile-server", WithinS: 1, Share: 0.96},
			{Kind: "wait", Class: "closure-push", WithinS: 1, Share: 0.9}},
		State:  StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 24},
		Report: 3 * time.Second, Lease: 27 * time.Second, Cancel: 52 * time.Second, CloudRPS: 5, ListLag: 3 * time.Second,
		Resources: config.Resources{CPUShare: 0.3, RAMMB: 234, Sockets: 3000}, FirstNode: -1,
	}
}

// FjallkartanHunt returns the options of the site fjallkartan-hunt, with fewer machines.
func FjallkartanHunt() Options {
	o := Fjallkartan()
	o.Teams = []config.Team{{Name: "karta-jamtland", CPUs: 6000, CPUsMax: 18000}, {Name: "karta-dalarna", CPUs: 18000, CPUsMax: 40000},
		{Name: "appdrift", CPUs: 7000, CPUsMax: 30000}, {Name: "sakerhet", CPUs: 7000, CPUsMax: 25000}}
	o.Objectives = []config.ServiceLevelObjective{{Kind: "wait", Class: "tile-server", WithinS: 1, Share: 0.9},
		{Kind: "wait", Class: "closure-push", WithinS: 5, Share: 0.88}}
	o.State = StateLimits{RPS: 250, WriteRPS: 90, ValueKB: 16, TxnOps: 24}
	o.Report, o.CloudRPS = 5*time.Second, 6
	o.Resources = config.Resources{CPUShare: 0.336, RAMMB: 271, Sockets: 3353}
	return o
}

// KawRecordsHunt returns the options of the site kaw-records-hunt, with fewer machines. It has five nodes
// in one zone, and no machine is up at the start.
func KawRecordsHunt() Options {
	zones := []ids.Zone{"gdansk-dc", "krakow-dc", "lodz-a", "lodz-b"}
	return Options{
		Nodes: 5, NodeZones: []ids.Zone{"lodz-a"}, Zones: zones, SkewMS: 25, Capacity: 4, Boot: quickBoot,
		Types: []wire.MachineType{
			{Name: "wezel-maly", CPUs: 4, MemoryGB: 32, CacheGB: 70, FetchGBps: 0.2, Price: 0.36, SpotPrice: 0.13, BootS: 35, Zones: zones},
			{Name: "wezel-duzy", CPUs: 32, MemoryGB: 256, CacheGB: 30, FetchGBps: 0.4, Price: 2.67, SpotPrice: 0.92, BootS: 30, Zones: zones}},
		Teams: []config.Team{{Name: "archiwum-gdansk", CPUs: 3000, CPUsMax: 7000}, {Name: "archiwum-krakow", CPUs: 2500, CPUsMax: 7000},
			{Name: "archiwum-wroclaw", CPUs: 3000, CPUsMax: 7000}, {Name: "uslugi-klienta", CPUs: 2500, CPUsMax: 6000}},
		Objectives: []config.ServiceLevelObjective{{Kind: "wait", Class: "query-gateway", WithinS: 2, Share: 0.93},
			{Kind: "wait", Class: "series-rebuild", WithinS: 250, Share: 0.96}},
		State:  StateLimits{RPS: 180, WriteRPS: 70, ValueKB: 8, TxnOps: 32},
		Report: 6 * time.Second, Lease: 30 * time.Second, Cancel: 60 * time.Second, CloudRPS: 4, ListLag: 5 * time.Second,
		Resources: config.Resources{CPUShare: 0.108, RAMMB: 118, Sockets: 1290}, FirstNode: -1,
	}
}

// Faulttest returns the options of the small deployment on loopback that internal/faulttest describes.
func Faulttest() Options {
	zones := []ids.Zone{"zone-a", "zone-b"}
	return Options{
		Nodes: 3, NodeZones: zones[:1], Zones: zones, SkewMS: 5, Capacity: 4, Initial: 1, Boot: time.Second,
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBps: 1, Price: 1, SpotPrice: 0.4, BootS: 1,
			Zones: zones}},
		Teams:  []config.Team{{Name: "archive", CPUs: 64, CPUsMax: 400}, {Name: "maps", CPUs: 64, CPUsMax: 400}},
		State:  StateLimits{RPS: 2000, WriteRPS: 800, ValueKB: 8, TxnOps: 32},
		Report: 400 * time.Millisecond, Lease: 6 * time.Second, Cancel: 24 * time.Second, CloudRPS: 50, ListLag: 500 * time.Millisecond,
		Resources: config.Resources{CPUShare: 1, RAMMB: 200, Sockets: 1500}, FirstNode: -1,
	}
}

// Small returns an array of one small task for the site Faulttest.
func Small(id string, run time.Duration) Job {
	return Job{ID: id, Class: "rebuild", Team: "maps", Urgency: "normal", Image: "img-3", ImageGB: 0.3, Tasks: 1, CPUs: 0.1,
		MemoryGB: 0.1, Run: run}
}

// TileServer returns a service of two tasks, as the Fjallkartan sites have them.
func TileServer(id string) Job {
	return Job{ID: id, Class: "tile-server", Team: "appdrift", Urgency: "critical", Image: "img-1", ImageGB: 0.5, Service: true,
		Tasks: 2, CPUs: 2, MemoryGB: 3.3}
}

// SeriesRebuild returns an array, as the Klimat sites have them.
func SeriesRebuild(id string, tasks int, run time.Duration) Job {
	return Job{ID: id, Class: "series-rebuild", Team: "archiwum-krakow", Urgency: "normal", Image: "img-2", ImageGB: 0.5,
		Tasks: tasks, CPUs: 8, MemoryGB: 30, Run: run}
}
