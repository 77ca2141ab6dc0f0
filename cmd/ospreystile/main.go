// Command ospreystile runs one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller"
)

func main() {
	// A node has a fraction of one core; more running threads only add
	// switches.
	runtime.GOMAXPROCS(1)
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ospreystile:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}

// settingsFiles are the paths of the two settings files, as given by flags.
type settingsFiles struct{ platform, operator string }

// load reads and checks both files.
func (f *settingsFiles) load() (*config.Platform, *config.Operator, error) {
	if f.platform == "" {
		return nil, nil, fmt.Errorf("--config: missing")
	}
	platform, err := config.LoadPlatform(f.platform)
	if err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperator(f.operator)
	if err != nil {
		return nil, nil, err
	}
	if err := operator.CheckAgainst(platform); err != nil {
		return nil, nil, fmt.Errorf("operator settings %s: %w", f.operator, err)
	}
	return platform, operator, nil
}

func command() *cobra.Command {
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

// serve runs the controller until a signal ends it.
func serve(ctx context.Context, files *settingsFiles) error {
	platform, operator, err := files.load()
	if err != nil {
		return err
	}
	log, err := logger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	for _, warning := range operator.Warnings {
		log.Warn("operator settings", "warning", warning)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.New(platform, operator, log).Run(ctx)
}

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

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			v := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				v = info.Main.Version
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ospreystile", v)
		},
	}
}

// logger writes to standard error as much as LOG_LEVEL says.
func logger(level string) (*slog.Logger, error) {
	var l slog.Level
	switch strings.ToLower(level) {
	case "":
		l = slog.LevelInfo
	default:
		if err := l.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %w", err)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
