package main

import (
	"encoding/json"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/controller/peerapi"
)

// tablePrinter writes a response about zones as a table.
type tablePrinter func(io.Writer, peerapi.ZonesResponse) error

// zonesOutput prints a response about zones as a table or as JSON.
type zonesOutput struct {
	table  tablePrinter
	asJSON bool
}

// addFlag adds the flag that selects JSON.
func (o *zonesOutput) addFlag(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "as JSON")
}

// print writes a response in the selected format.
func (o *zonesOutput) print(out io.Writer, zones peerapi.ZonesResponse) error {
	if o.asJSON {
		return printJSON(out, zones)
	}
	return o.table(out, zones)
}

// printJSON writes a response as indented JSON.
func printJSON(out io.Writer, zones peerapi.ZonesResponse) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(zones)
}

// newTable returns a writer that aligns columns, which are separated by tabs. The caller must
// flush it.
func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}

// formatTime formats a Unix time in milliseconds in the local time zone. 0 means that the time is
// unknown.
func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).Format("2006-01-02 15:04:05")
}

// formatDuration formats a number of milliseconds, rounded to seconds.
func formatDuration(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

// orDash returns a text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
