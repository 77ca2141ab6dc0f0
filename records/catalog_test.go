package records

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// goldenTypes returns machine types with every field set.
func goldenTypes(names ...ids.MachineType) []wire.MachineType {
	var types []wire.MachineType
	for _, name := range names {
		types = append(types, wire.MachineType{Name: name, CPUs: 8.5, GPUs: 1.5, MemoryGB: 64.5, CacheGB: 200.5, FetchGBps: 0.75, Price: 2.25,
			SpotPrice: 0.5, BootS: 45.5, Zones: []ids.Zone{"zone-a", "zone-b"}})
	}
	return types
}

// storeCatalog returns the catalog as it is read from a store after a change was applied at a revision.
func storeCatalog(t *testing.T, change Change, revision ids.Revision) *Catalog {
	t.Helper()
	stored := new(Catalog)
	for _, operation := range change.Operations {
		if operation.PutKey == "" {
			continue
		}
		if err := stored.Add(kv.Entry{Key: operation.PutKey, Value: wire.Encode(operation.Value), Revision: revision}); err != nil {
			t.Fatal(err)
		}
	}
	return stored
}

// A catalog that is larger than one value is stored in several parts. A shorter one must remove the parts
// that it does not need, or a controller would read machine types that the cloud no longer offers.
func TestCatalogIsStoredInParts(t *testing.T) {
	types := goldenTypes("m0", "m1", "m2", "m3", "m4")
	const maxBytes = 500
	change := new(Catalog).ReplaceChange(types, maxBytes)
	if len(change.Operations) < 2 {
		t.Fatalf("%d parts, want several", len(change.Operations))
	}
	for _, operation := range change.Operations {
		if wire.ExceedsJSONSize(operation.Value, maxBytes) {
			t.Errorf("%s is larger than %d bytes", operation.PutKey, maxBytes)
		}
	}
	stored := storeCatalog(t, change, 7)
	if !stored.Describes(types) {
		t.Errorf("the parts hold %+v", stored.Types)
	}
	shorter := stored.ReplaceChange(types[:1], maxBytes)
	if got := storeCatalog(t, shorter, 8); !got.Describes(types[:1]) {
		t.Errorf("the shorter catalog holds %+v", got.Types)
	}
	deleted := 0
	for i, operation := range shorter.Operations {
		if operation.DeleteKey != "" {
			deleted++
		}
		if precondition := shorter.Preconditions[i]; precondition.Key != operation.PutKey+operation.DeleteKey || precondition.Revision != 7 {
			t.Errorf("operation %+v has the precondition %+v, want its own key at revision 7", operation, precondition)
		}
	}
	if deleted != len(change.Operations)-1 {
		t.Errorf("%d parts deleted, want %d", deleted, len(change.Operations)-1)
	}
}

// Prices move all the time. If each move counted as a change, the catalog would be written again and again.
// Any other difference, and no difference in order, must count.
func TestCatalogComparisonIgnoresPrices(t *testing.T) {
	stored := storeCatalog(t, new(Catalog).ReplaceChange(goldenTypes("m0", "m1"), 0), 7)
	for _, c := range []struct {
		name   string
		change func(t *wire.MachineType)
		want   bool
	}{
		{"no difference", func(*wire.MachineType) {}, true},
		{"prices", func(t *wire.MachineType) { t.Price, t.SpotPrice = 9, 8 }, true},
		{"name", func(t *wire.MachineType) { t.Name = "m2" }, false},
		{"CPUs", func(t *wire.MachineType) { t.CPUs++ }, false},
		{"GPUs", func(t *wire.MachineType) { t.GPUs++ }, false},
		{"memory", func(t *wire.MachineType) { t.MemoryGB++ }, false},
		{"cache", func(t *wire.MachineType) { t.CacheGB++ }, false},
		{"fetch rate", func(t *wire.MachineType) { t.FetchGBps++ }, false},
		{"boot time", func(t *wire.MachineType) { t.BootS++ }, false},
		{"zones", func(t *wire.MachineType) { t.Zones = t.Zones[:1] }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			types := goldenTypes("m1", "m0")
			c.change(&types[0])
			if got := stored.Describes(types); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
