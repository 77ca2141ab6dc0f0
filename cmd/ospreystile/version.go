package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the command that prints the version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "ospreystile", buildVersion())
		},
	}
}

// buildVersion returns the version of the main module that the build recorded.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
