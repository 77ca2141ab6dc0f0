package records

import (
	"fmt"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// CatalogPart is the durable record of some of the cloud's machine types, as a leader read them last. The
// parts together hold the catalog, and are always changed in one transaction. Prices are those of the time
// of the change.
type CatalogPart struct {
	Types []wire.MachineType `msgpack:"t"`
}

// Catalog holds the machine types that are stored, and the revisions of their parts in the order of the
// parts' numbers.
type Catalog struct {
	Types     []wire.MachineType
	revisions []ids.Revision
}

// Add adds the next part, in the order of keys. An error means that the record is unreadable. The types
// must not be used then, but the catalog can still be replaced.
func (c *Catalog) Add(entry kv.Entry) error {
	c.revisions = append(c.revisions, entry.Revision)
	var part CatalogPart
	if err := wire.Decode(entry.Value, &part); err != nil {
		return fmt.Errorf("decode record %s: %w", entry.Key, err)
	}
	c.Types = append(c.Types, part.Types...)
	return nil
}

// Describes reports whether the stored types are equal to the given ones, apart from prices. Prices change
// all the time, and matter only for the choice between types.
func (c *Catalog) Describes(types []wire.MachineType) bool {
	return slices.EqualFunc(sortedTypes(c.Types), sortedTypes(types), equalApartFromPrices)
}

// sortedTypes returns the types sorted by name.
func sortedTypes(types []wire.MachineType) []wire.MachineType {
	return slices.SortedFunc(slices.Values(types), func(a, b wire.MachineType) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// equalApartFromPrices reports whether two types differ in their prices at most.
func equalApartFromPrices(a, b wire.MachineType) bool {
	return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.CacheGB == b.CacheGB &&
		a.FetchGBps == b.FetchGBps && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
}

// ReplaceChange returns a change that replaces the stored types. Each part is at most maxBytes large if a
// single type fits into that; if maxBytes is zero, there is no limit.
func (c *Catalog) ReplaceChange(types []wire.MachineType, maxBytes int) Change {
	var change Change
	parts := catalogParts(types, maxBytes)
	for number, part := range parts {
		change.put(CatalogKey(number), c.revision(number), part)
	}
	for number := len(parts); number < len(c.revisions); number++ {
		change.delete(CatalogKey(number), c.revisions[number])
	}
	return change
}

// revision returns the revision of a part, or 0 if it does not exist.
func (c *Catalog) revision(number int) ids.Revision {
	if number < len(c.revisions) {
		return c.revisions[number]
	}
	return 0
}

// catalogParts distributes types over as few parts as their size allows, in their order.
func catalogParts(types []wire.MachineType, maxBytes int) []CatalogPart {
	parts := []CatalogPart{{}}
	for _, t := range types {
		last := &parts[len(parts)-1]
		extended := CatalogPart{Types: append(slices.Clone(last.Types), t)}
		if len(last.Types) > 0 && wire.ExceedsJSONSize(extended, maxBytes) {
			parts = append(parts, CatalogPart{Types: []wire.MachineType{t}})
			continue
		}
		*last = extended
	}
	return parts
}
