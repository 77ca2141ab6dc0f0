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

// useUTC has times shown in UTC, so that a test does not depend on the machine's zone.
func useUTC(t *testing.T) {
	t.Helper()
	local := time.Local
	time.Local = time.UTC
	t.Cleanup(func() { time.Local = local })
}

// Operators' scripts read the tables.
func TestTablesOfZonesStay(t *testing.T) {
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
	fmt.Fprintln(&text, "# zones")
	if err := printZoneTable(&text, zones); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&text, "# zones that are not watched")
	if err := printZoneTable(&text, disabled); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&text, "# incidents")
	if err := printIncidents(&text, zones); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&text, "# JSON")
	if err := printJSON(&text, zones); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "zones.txt", text.String())
}
