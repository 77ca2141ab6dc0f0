package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"ospreystile.example/ospreystile/controller"
)

// logLevelVariable is the environment variable that sets the log level.
const logLevelVariable = "LOG_LEVEL"

// serve runs a controller until the context ends or the process receives SIGINT or SIGTERM.
func serve(ctx context.Context, files *settingsFiles) error {
	platform, operator, err := files.load()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Getenv(logLevelVariable))
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

// newLogger returns a logger that writes to standard error. An empty level means info.
func newLogger(levelName string) (*slog.Logger, error) {
	level := slog.LevelInfo
	if levelName != "" {
		if err := level.UnmarshalText([]byte(levelName)); err != nil {
			return nil, fmt.Errorf("environment variable %s must be debug, info, warn or error: %w", logLevelVariable, err)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
