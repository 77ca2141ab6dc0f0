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
	"ospreystile.example/ospreystile/node"
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

func command() *cobra.Command {
	var platform, operator string
	load := func() (*config.Platform, *config.Operator, error) {
		if platform == "" {
			return nil, nil, fmt.Errorf("--config: missing")
		}
		p, err := config.LoadPlatform(platform)
		if err != nil {
			return nil, nil, err
		}
		o, err := config.LoadOperator(operator)
		return p, o, err
	}
	root := &cobra.Command{
		Use:           "ospreystile --config FILE",
		Short:         "A cluster scheduler with guaranteed, lent and reclaimed team quotas",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, o, err := load()
			if err != nil {
				return err
			}
			log, err := logger(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return node.New(p, o, log).Run(ctx)
		},
	}
	root.PersistentFlags().StringVar(&platform, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&operator, "operator", "", "the operators' settings file (JSON)")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings without serving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, _, err := load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		},
	}, &cobra.Command{
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
	})
	root.SetContext(context.Background())
	return root
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
