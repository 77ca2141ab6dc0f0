// Package server serves the HTTP interface of a controller for users, workers and health
// checks. It owns the connections and their limits, decodes and validates requests, and
// encodes responses. A Service, which the controller implements, makes all decisions.
package server

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/wire"
)

// Limits holds the limits of the connections of users and workers.
type Limits struct {
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// IdleTimeout is how long a connection stays open without a request. It limits how long
	// the connections of a machine that lost power or the network take up sockets, since such
	// a machine never closes them.
	IdleTimeout time.Duration
}

const (
	// readTimeout bounds the time to receive a request.
	readTimeout = 20 * time.Second
	// writeTimeout bounds the time to send a response.
	writeTimeout = 10 * time.Second
	// shutdownTimeout bounds how long requests in flight delay the end of Serve.
	shutdownTimeout = time.Second
)

// New returns the HTTP application for a service.
func New(service Service, limits Limits, log *slog.Logger) *fiber.App {
	h := &handlers{service: service, limits: limits, log: log}
	app := fiber.New(fiber.Config{
		BodyLimit:         wire.MaxBodyBytes,
		Concurrency:       limits.MaxConnections,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ReduceMemoryUsage: true,
		CaseSensitive:     true,
		StrictRouting:     true,
		ErrorHandler:      h.handleError,
	})
	app.Use(h.recoverPanic)
	app.Get("/up", h.health)
	app.Post("/api/jobs", h.submit)
	app.Get("/api/jobs/:id", h.jobHandler(service.Status))
	app.Post("/api/jobs/:id/withdraw", h.jobHandler(service.Cancel))
	app.Post(heartbeatPath, h.heartbeat)
	return app
}

// Serve accepts connections on a listener until the context ends, and closes the listener.
// It returns the context's error, or the listener's error if the listener fails first.
func Serve(ctx context.Context, app *fiber.App, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		// An error means that requests were aborted; clients retry them.
		_ = app.ShutdownWithTimeout(shutdownTimeout)
	})
	defer stop()
	err := app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
