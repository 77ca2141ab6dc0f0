package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/internal/golden"
)

// useUTC makes the program show times in UTC, so that a test does not depend on the time zone of
// the machine.
func useUTC(t *testing.T) {
	t.Helper()
	local := time.Local
	time.Local = time.UTC
	t.Cleanup(func() { time.Local = local })
}

// Operators' scripts parse the tables and the JSON, and a change of either breaks them.
func TestZoneOutputMatchesGoldenFile(t *testing.T) {
	useUTC(t)
	raw, err := os.ReadFile("testdata/zones.json")
	if err != nil {
		t.Fatal(err)
	}
	var zones, disabled peerapi.ZonesResponse
	if err := json.Unmarshal(raw, &zones); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, c := range []struct {
		name  string
		zones peerapi.ZonesResponse
		print tablePrinter
	}{
		{"zones", zones, printZoneTable},
		{"zones that are not watched", disabled, printZoneTable},
		{"incidents", zones, printIncidents},
		{"JSON", zones, printJSON},
	} {
		fmt.Fprintf(&text, "# %s\n", c.name)
		if err := c.print(&text, c.zones); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	golden.CheckText(t, "zones.txt", text.String())
}
