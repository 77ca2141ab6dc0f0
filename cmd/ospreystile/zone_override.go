package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/zonerecovery"
)

// override holds an operator's override for one zone. The command determines the kind, and flags set the
// reason and the duration.
type override struct {
	kind    zonerecovery.OverrideKind
	reason  string
	holdFor time.Duration // 0: until the hold is lifted
}

// holdCommand returns the command that holds a zone, so that no new work starts there.
func holdCommand(files *settingsFiles) *cobra.Command {
	hold := &override{kind: zonerecovery.OverrideHold}
	cmd := &cobra.Command{Use: "hold ZONE", Short: "Start nothing new in a zone until this is lifted or over"}
	cmd.Flags().DurationVar(&hold.holdFor, "for", 0, "how long, such as 30m; 0: until it is lifted")
	return withOverride(cmd, files, hold)
}

// releaseCommand returns the command that ends a hold, an outage or a recovery of a zone
// immediately.
func releaseCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{Use: "release ZONE", Short: "Lift a hold and end the return: the zone serves at once"}
	return withOverride(cmd, files, &override{kind: zonerecovery.OverrideRelease})
}

// autoCommand returns the command that removes the override of a zone.
func autoCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{Use: "auto ZONE", Short: "Lift a hold and leave the zone to its state machine"}
	return withOverride(cmd, files, &override{kind: zonerecovery.OverrideNone})
}

// withOverride makes a command send an override of the zone in its argument to the leader, and
// print the zones in the response.
func withOverride(cmd *cobra.Command, files *settingsFiles, o *override) *cobra.Command {
	output := zonesOutput{table: printZoneTable}
	output.addFlag(cmd)
	cmd.Flags().StringVar(&o.reason, "reason", "", "why, for the record and the log")
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		platform, _, err := files.load()
		if err != nil {
			return err
		}
		zones, err := o.send(cmd.Context(), platform, ids.Zone(args[0]))
		if err != nil {
			return err
		}
		return output.print(cmd.OutOrStdout(), zones)
	}
	return cmd
}

// send validates the override and sends it to the leader.
func (o *override) send(ctx context.Context, platform *config.Platform, zone ids.Zone) (peerapi.ZonesResponse, error) {
	if !slices.Contains(platform.Settings.Zones, zone) {
		return peerapi.ZonesResponse{}, fmt.Errorf("unknown zone %q, the zones are %v", zone, platform.Settings.Zones)
	}
	if o.holdFor < 0 {
		return peerapi.ZonesResponse{}, fmt.Errorf("--for: must not be negative, is %v", o.holdFor)
	}
	request := peerapi.ZoneOverride{Zone: zone, Kind: o.kind, Reason: o.reason}
	if o.holdFor > 0 {
		request.UntilMS = time.Now().Add(o.holdFor).UnixMilli()
	}
	return operatorClient(platform).OverrideZone(ctx, request)
}
