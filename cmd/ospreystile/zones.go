package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/node"
	"ospreystile.example/ospreystile/zonereturn"
)

// operatorClient makes a client of the controllers that the platform's file names.
func operatorClient(platform *config.Platform) *node.OperatorClient {
	seeds := map[ids.NodeName]string{}
	for _, seed := range platform.Seeds {
		seeds[seed.Name] = seed.Address
	}
	return node.NewOperatorClient(platform.HostName, platform.MeshAddr, seeds)
}

// zonesCommand shows the conditions of all zones.
func zonesCommand(files *settingsFiles) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "zones",
		Short: "Show each zone's condition, why, and what is held back until when",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform, _, err := files.load()
			if err != nil {
				return err
			}
			answer, err := operatorClient(platform).Zones(cmd.Context())
			if err != nil {
				return err
			}
			return printZones(cmd.OutOrStdout(), answer, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// zoneCommand groups the decisions about one zone.
func zoneCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Hold a zone back, let it return at once, or leave it to itself"}
	cmd.AddCommand(
		overrideCommand(files, zonereturn.OverrideHold, "hold ZONE", "Start nothing new in a zone until this is lifted or over"),
		overrideCommand(files, zonereturn.OverrideRelease, "release ZONE", "Lift a hold and end the return: the zone serves at once"),
		overrideCommand(files, zonereturn.OverrideNone, "auto ZONE", "Lift a hold and leave the zone to its state machine"),
	)
	return cmd
}

// overrideCommand sends one decision to the leader.
func overrideCommand(files *settingsFiles, kind zonereturn.OverrideKind, use, short string) *cobra.Command {
	var asJSON bool
	var reason string
	var holdFor time.Duration
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			platform, _, err := files.load()
			if err != nil {
				return err
			}
			o := node.ZoneOverride{Zone: ids.Zone(args[0]), Kind: kind, Reason: reason}
			if !slices.Contains(platform.Settings.Zones, o.Zone) {
				return fmt.Errorf("unknown zone %q, the zones are %v", o.Zone, platform.Settings.Zones)
			}
			if holdFor < 0 {
				return fmt.Errorf("--for: must not be negative, is %v", holdFor)
			}
			if holdFor > 0 {
				o.UntilMS = time.Now().Add(holdFor).UnixMilli()
			}
			answer, err := operatorClient(platform).OverrideZone(cmd.Context(), o)
			if err != nil {
				return err
			}
			return printZones(cmd.OutOrStdout(), answer, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	cmd.Flags().StringVar(&reason, "reason", "", "why, for the record and the log")
	if kind == zonereturn.OverrideHold {
		cmd.Flags().DurationVar(&holdFor, "for", 0, "how long, such as 30m; 0: until it is lifted")
	}
	return cmd
}

// printZones writes the conditions as a table or as JSON.
func printZones(out io.Writer, answer node.ZonesAnswer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	if !answer.Enabled {
		_, err := fmt.Fprintln(out, "zones are not watched: zone_return.enabled is false in the operators' settings")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tCONDITION\tSINCE\tHEARD\tSTEP\tSTARTS\tFETCHES\tFLAPS\tDISPLACED\tHELD BACK\tUNTIL\tREASON")
	for _, z := range answer.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d/%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", z.Zone, z.Condition, timeOfDay(z.SinceMS), z.Heard, z.Known,
			stepOf(&z), limited(z.Starts, z.StartLimit), limited(z.Fetches, z.FetchLimit), z.Flaps, z.DisplacedIDs,
			orDash(z.Holding), timeOfDay(z.UntilMS), orDash(z.Reason))
	}
	return table.Flush()
}

// stepOf is the progress of a return.
func stepOf(z *zonereturn.Status) string {
	if z.Condition != zonereturn.Returning {
		return "-"
	}
	return fmt.Sprintf("%d/%d", z.Step, z.Steps)
}

// limited is a count beside its limit, if there is one.
func limited(count, limit int) string {
	if limit == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d/%d", count, limit)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// timeOfDay shows a time of day in the operator's own time zone.
func timeOfDay(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).Format("2006-01-02 15:04:05")
}
