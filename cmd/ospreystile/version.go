package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand prints the version that the build recorded.
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

// buildVersion returns the version of the main module.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
