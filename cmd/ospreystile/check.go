package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// checkCommand returns the command that checks both settings files. It prints warnings to standard
// error.
func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings without serving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, operator, err := files.load()
			if err != nil {
				return err
			}
			for _, warning := range operator.Warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "warning:", warning)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		},
	}
}
