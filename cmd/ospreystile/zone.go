package main

import "github.com/spf13/cobra"

// zoneCommand returns the parent of the commands about zones.
func zoneCommand(files *settingsFiles) *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Hold a zone back, let it return at once, or leave it to itself"}
	cmd.AddCommand(
		holdCommand(files),
		releaseCommand(files),
		autoCommand(files),
		incidentsCommand(files),
		windowsCommand(files),
	)
	return cmd
}
