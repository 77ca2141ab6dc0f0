package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/operatorclient"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// operatorClient returns a client of the controllers in the platform's settings.
func operatorClient(platform *config.Platform) *operatorclient.Client {
	seeds := map[ids.ControllerName]string{}
	for _, seed := range platform.Seeds {
		seeds[seed.Name] = seed.Address
	}
	return operatorclient.New(platform.HostName, platform.PeerAddr, seeds)
}

// zonesCommand returns the command that shows the conditions of all zones.
func zonesCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "zones",
		Short: "Show each zone's condition, why, and what is held back until when",
	}
	return withZonesQuery(cmd, files, printZoneTable)
}

// withZonesQuery makes a command query the leader for all zones and print the response.
func withZonesQuery(cmd *cobra.Command, files *settingsFiles, table tablePrinter) *cobra.Command {
	output := zonesOutput{table: table}
	output.addFlag(cmd)
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		platform, _, err := files.load()
		if err != nil {
			return err
		}
		zones, err := operatorClient(platform).Zones(cmd.Context())
		if err != nil {
			return err
		}
		return output.print(cmd.OutOrStdout(), zones)
	}
	return cmd
}

// printZoneTable writes the conditions of all zones as a table.
func printZoneTable(out io.Writer, zones peerapi.ZonesResponse) error {
	if !zones.Enabled {
		_, err := fmt.Fprintln(out, "zones are not watched: zone_return.enabled is false in the operators' settings")
		return err
	}
	table := newTable(out)
	fmt.Fprintln(table, "ZONE\tCONDITION\tSINCE\tHEARD\tSTEP\tSTARTS\tFETCHES\tSTART P90\tFLAPS\tDISPLACED\tHELD BACK\tUNTIL\tREASON")
	for _, z := range zones.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d/%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", z.Zone, z.Condition, formatTime(z.SinceMS), z.Reachable, z.Machines,
			formatRampStep(&z), formatWithLimit(z.StartsInFlight, z.StartLimit), formatWithLimit(z.FetchesInFlight, z.FetchLimit), formatStartP90(&z), z.Outages, z.DisplacedJobs,
			orDash(z.Restriction), formatTime(z.RestrictedUntilMS), orDash(z.Reason))
	}
	return table.Flush()
}

// formatRampStep formats the current and the last step of a recovery. A zone that is not
// recovering has no step.
func formatRampStep(z *zonerecovery.Status) string {
	if z.Condition != zonerecovery.Recovering {
		return "-"
	}
	return fmt.Sprintf("%d/%d", z.Step, z.Steps)
}

// formatStartP90 formats the 90th percentile of the start times in the current step, and the
// baseline of other zones.
func formatStartP90(z *zonerecovery.Status) string {
	if z.StartP90MS == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (usual %s)", time.Duration(z.StartP90MS)*time.Millisecond, time.Duration(z.BaselineP90MS)*time.Millisecond)
}

// formatWithLimit formats a count and its limit. Limit 0 means that there is none.
func formatWithLimit(count, limit int) string {
	if limit == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d/%d", count, limit)
}
