package main

import (
	"context"

	"github.com/spf13/cobra"
)

// rootCommand returns the command that runs a controller, with all subcommands.
func rootCommand() *cobra.Command {
	var files settingsFiles
	root := &cobra.Command{
		Use:           "ospreystile --config FILE",
		Short:         "A cluster scheduler with guaranteed, lent and reclaimed team quotas",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), &files) },
	}
	root.PersistentFlags().StringVar(&files.platform, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&files.operator, "operator", "", "the operators' settings file (JSON)")
	root.AddCommand(checkCommand(&files), versionCommand(), zonesCommand(&files), zoneCommand(&files))
	root.SetContext(context.Background())
	return root
}
