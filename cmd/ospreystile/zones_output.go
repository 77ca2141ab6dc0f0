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

// zonesOutput prints a response about zones in the form that the user chose.
type zonesOutput struct {
	table  tablePrinter
	asJSON bool
}

// addFlag adds the flag that chooses the form.
func (o *zonesOutput) addFlag(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "as JSON")
}

// print writes a response.
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

// newTable returns a writer that aligns columns, which tabs separate. The caller flushes
// it.
func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}

// timeOfDay shows a Unix time in milliseconds in the operator's own time zone; 0: unknown.
func timeOfDay(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).Format("2006-01-02 15:04:05")
}

// seconds shows a number of milliseconds, rounded to seconds.
func seconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

// orDash shows an empty text as a dash.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
