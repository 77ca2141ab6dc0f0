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
	"ospreystile.example/ospreystile/controller/operatorclient"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// operatorClient makes a client of the controllers that the platform's file names.
func operatorClient(platform *config.Platform) *operatorclient.Client {
	seeds := map[ids.ControllerName]string{}
	for _, seed := range platform.Seeds {
		seeds[seed.Name] = seed.Address
	}
	return operatorclient.New(platform.HostName, platform.MeshAddr, seeds)
}

// zonesCommand shows the conditions of all zones.
func zonesCommand(files *settingsFiles) *cobra.Command {
	return queryCommand(files, "zones", "Show each zone's condition, why, and what is held back until when", printZoneTable)
}

// queryCommand asks the leader about all zones, and prints its answer as a table or as JSON.
func queryCommand(files *settingsFiles, use, short string, printTable func(io.Writer, peerapi.ZonesResponse) error) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
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
			return printAnswer(cmd.OutOrStdout(), answer, asJSON, printTable)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// zoneCommand groups the decisions about one zone.
func zoneCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Hold a zone back, let it return at once, or leave it to itself"}
	cmd.AddCommand(
		overrideCommand(files, zonerecovery.OverrideHold, "hold ZONE", "Start nothing new in a zone until this is lifted or over"),
		overrideCommand(files, zonerecovery.OverrideRelease, "release ZONE", "Lift a hold and end the return: the zone serves at once"),
		overrideCommand(files, zonerecovery.OverrideNone, "auto ZONE", "Lift a hold and leave the zone to its state machine"),
		incidentsCommand(files),
		windowsCommand(files),
	)
	return cmd
}

// overrideCommand sends one decision to the leader.
func overrideCommand(files *settingsFiles, kind zonerecovery.OverrideKind, use, short string) *cobra.Command {
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
			o := peerapi.ZoneOverride{Zone: ids.Zone(args[0]), Kind: kind, Reason: reason}
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
			return printAnswer(cmd.OutOrStdout(), answer, asJSON, printZoneTable)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	cmd.Flags().StringVar(&reason, "reason", "", "why, for the record and the log")
	if kind == zonerecovery.OverrideHold {
		cmd.Flags().DurationVar(&holdFor, "for", 0, "how long, such as 30m; 0: until it is lifted")
	}
	return cmd
}

// incidentsCommand shows what happened to zones.
func incidentsCommand(files *settingsFiles) *cobra.Command {
	return queryCommand(files, "incidents", "Show the newest incidents of each zone: how long it was dark, what moved and came back", printIncidents)
}

// printIncidents writes the incidents of all zones as a table.
func printIncidents(out io.Writer, answer peerapi.ZonesResponse) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tBEGAN\tSERVES SINCE\tSPELLS\tDARK\tRETURN\tSETBACKS\tMACHINES\tTASKS\tJOBS\tBOUNCED\tFORCED\tRESTORED")
	for _, z := range answer.Zones {
		for _, i := range z.Incidents {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", z.Zone, timeOfDay(i.BeganMS), timeOfDay(i.ServedMS),
				i.Spells, seconds(i.DarkMS), seconds(i.ReturnMS), i.Setbacks, i.Machines, i.Tasks, i.Jobs, i.Bounces, i.Forced, i.Restored)
		}
	}
	return table.Flush()
}

// seconds shows a time in milliseconds to the second.
func seconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

// openingsShown is how many openings of each window are shown.
const openingsShown = 3

// windowsCommand shows when windows open next, so that operators see what their settings mean
// around holidays and changes of clock.
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
			from := time.Now()
			if at != "" {
				if from, err = time.Parse(time.RFC3339, at); err != nil {
					return fmt.Errorf("--at: %w", err)
				}
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

// printWindows writes the next openings of all windows as a table.
func printWindows(out io.Writer, policy *zonerecovery.Policy, from time.Time) error {
	const layout = "Mon 2006-01-02 15:04 MST"
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WINDOW\tZONES\tBEGINS\tENDS\tLASTS")
	for _, w := range policy.Windows {
		zones := "all"
		if len(w.Zones()) > 0 {
			zones = fmt.Sprint(w.Zones())
		}
		for _, o := range w.Openings(from, openingsShown) {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", w.Name, zones, o.Begin.Format(layout), o.End.Format(layout), o.End.Sub(o.Begin))
		}
	}
	return table.Flush()
}

// printAnswer writes the leader's answer as a table or as JSON.
func printAnswer(out io.Writer, answer peerapi.ZonesResponse, asJSON bool, printTable func(io.Writer, peerapi.ZonesResponse) error) error {
	if !asJSON {
		return printTable(out, answer)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(answer)
}

// printZoneTable writes the conditions of all zones as a table.
func printZoneTable(out io.Writer, answer peerapi.ZonesResponse) error {
	if !answer.Enabled {
		_, err := fmt.Fprintln(out, "zones are not watched: zone_return.enabled is false in the operators' settings")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tCONDITION\tSINCE\tHEARD\tSTEP\tSTARTS\tFETCHES\tSTART P90\tFLAPS\tDISPLACED\tHELD BACK\tUNTIL\tREASON")
	for _, z := range answer.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d/%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", z.Zone, z.Condition, timeOfDay(z.SinceMS), z.Heard, z.Known,
			stepOf(&z), limited(z.Starts, z.StartLimit), limited(z.Fetches, z.FetchLimit), startTimes(&z), z.Flaps, z.DisplacedIDs,
			orDash(z.Holding), timeOfDay(z.UntilMS), orDash(z.Reason))
	}
	return table.Flush()
}

// stepOf is the progress of a return.
func stepOf(z *zonerecovery.Status) string {
	if z.Condition != zonerecovery.Recovering {
		return "-"
	}
	return fmt.Sprintf("%d/%d", z.Step, z.Steps)
}

// startTimes compares start times of the present step with those elsewhere.
func startTimes(z *zonerecovery.Status) string {
	if z.StartP90MS == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (usual %s)", time.Duration(z.StartP90MS)*time.Millisecond, time.Duration(z.UsualP90MS)*time.Millisecond)
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
