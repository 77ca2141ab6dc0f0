package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/controller/peerapi"
)

// incidentsCommand returns the command that shows the newest incidents of each zone.
func incidentsCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "incidents",
		Short: "Show the newest incidents of each zone: how long it was dark, what moved and came back",
	}
	return withZonesQuery(cmd, files, printIncidents)
}

// printIncidents writes the incidents of all zones as a table.
func printIncidents(out io.Writer, zones peerapi.ZonesResponse) error {
	table := newTable(out)
	fmt.Fprintln(table, "ZONE\tBEGAN\tSERVES SINCE\tSPELLS\tDARK\tRETURN\tSETBACKS\tMACHINES\tTASKS\tJOBS\tBOUNCED\tFORCED\tRESTORED")
	for _, z := range zones.Zones {
		for _, i := range z.Incidents {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", z.Zone, formatTime(i.BeganMS), formatTime(i.ServingSinceMS),
				i.Outages, formatDuration(i.OutageMS), formatDuration(i.RecoveryMS), i.Setbacks, i.Machines, i.DisplacedTasks, i.DisplacedJobs, i.Failbacks, i.ForcedFailbacks, i.RestoredReplicas)
		}
	}
	return table.Flush()
}
