package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/zonerecovery"
)

// openingsPerWindow is the number of openings that are shown for each window.
const openingsPerWindow = 3

// windowsCommand returns the command that shows when windows open next, so that operators see the
// effect of their settings around holidays and daylight saving changes. It contacts no controller.
func windowsCommand(files *settingsFiles) *cobra.Command {
	var at string
	cmd := &cobra.Command{
		Use:   "windows",
		Short: "Show the next openings of each window for critical work",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, operator, err := files.load()
			if err != nil {
				return err
			}
			from, err := parseStart(at)
			if err != nil {
				return err
			}
			policy, err := operator.ZoneRecovery.Policy()
			if err != nil {
				return err
			}
			return printWindows(cmd.OutOrStdout(), policy, from)
		},
	}
	cmd.Flags().StringVar(&at, "at", "", "from this time on, such as 2026-10-24T00:00:00Z; default: now")
	return cmd
}

// parseStart parses the value of the flag --at. An empty value means now.
func parseStart(at string) (time.Time, error) {
	if at == "" {
		return time.Now(), nil
	}
	from, err := time.Parse(time.RFC3339, at)
	if err != nil {
		return time.Time{}, fmt.Errorf("--at: must be a time such as 2026-10-24T00:00:00Z: %w", err)
	}
	return from, nil
}

// printWindows writes the next openings of all windows as a table.
func printWindows(out io.Writer, policy *zonerecovery.Policy, from time.Time) error {
	const layout = "Mon 2006-01-02 15:04 MST"
	table := newTable(out)
	fmt.Fprintln(table, "WINDOW\tZONES\tBEGINS\tENDS\tLASTS")
	for _, w := range policy.Windows {
		zones := "all"
		if len(w.Zones()) > 0 {
			zones = fmt.Sprint(w.Zones())
		}
		for _, o := range w.Openings(from, openingsPerWindow) {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", w.Name, zones, o.Begin.Format(layout), o.End.Format(layout), o.End.Sub(o.Begin))
		}
	}
	return table.Flush()
}
