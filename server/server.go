// Package server is the HTTP face of a controller towards users and workers.
package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Answer is a status, a body (nil: none), and how long to wait before asking
// again (0: not said). Close ends the connection, so that the load balancer may
// choose another node for the next request.
type Answer struct {
	Code       int
	Body       any
	RetryAfter time.Duration
	Close      bool
}

// RetryLater is the answer when a request can't be served now: at once, with the
// time after which asking again makes sense.
func RetryLater(after time.Duration) Answer { return Answer{Code: 503, RetryAfter: after} }

// Service is what stands behind the endpoints.
type Service interface {
	Submit(ctx context.Context, id ids.JobID, spec *wire.Spec) Answer
	Status(ctx context.Context, id ids.JobID) Answer
	Cancel(ctx context.Context, id ids.JobID) Answer
	Report(ctx context.Context, raw []byte, rep *wire.Report) Answer
	Healthy() bool
}

// contentType is that of all bodies.
const contentType = "application/msgpack"

// Limits bound what the connections of users and workers may take.
type Limits struct {
	// Conns is the most open connections.
	MaxConnections int
	// Idle is how long a connection stays open without a request. A machine
	// that lost its power or the network never closes its own.
	IdleTimeout time.Duration
}

// workerConnectionShare is the part of the connections up to which those of workers stay
// open. Beyond it a worker's is closed after its answer: there may be more workers than
// sockets, and each must have its turn within its lease, without taking the sockets of
// users and health checks.
const workerConnectionShare = 0.7

// New makes the HTTP application.
func New(svc Service, limits Limits, log *slog.Logger) *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:         wire.MaxBody,
		Concurrency:       limits.MaxConnections,
		ReadTimeout:       20 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       limits.IdleTimeout,
		ReduceMemoryUsage: true,
		CaseSensitive:     true,
		StrictRouting:     true,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			code := 500
			var fe *fiber.Error
			if errors.As(err, &fe) {
				code = fe.Code
			}
			switch code {
			case fiber.StatusRequestEntityTooLarge:
				code = 400 // the protocol's word for a body above the limit
			case fiber.StatusMethodNotAllowed:
				code = 404
			case 500:
				log.Error("request failed", "path", c.Path(), "err", err)
			}
			return send(c, Answer{Code: code})
		},
	})
	app.Use(func(c fiber.Ctx) (err error) {
		defer func() {
			if p := recover(); p != nil {
				log.Error("handler panicked", "path", c.Path(), "panic", p)
				err = send(c, Answer{Code: 500})
			}
		}()
		return c.Next()
	})
	app.Get("/up", func(c fiber.Ctx) error {
		if svc.Healthy() {
			return send(c, Answer{Code: 200})
		}
		return send(c, RetryLater(time.Second))
	})
	app.Post("/api/jobs", func(c fiber.Ctx) error {
		id, spec, err := wire.ParseSubmission(c.Body())
		if err != nil {
			log.Debug("submission refused", "err", err)
			return send(c, Answer{Code: 400})
		}
		return send(c, svc.Submit(c.Context(), id, spec))
	})
	app.Get("/api/jobs/:id", func(c fiber.Ctx) error {
		id := ids.JobID(string([]byte(c.Params("id"))))
		if !wire.ValidID(id) {
			return send(c, Answer{Code: 404})
		}
		return send(c, svc.Status(c.Context(), id))
	})
	app.Post("/api/jobs/:id/withdraw", func(c fiber.Ctx) error {
		id := ids.JobID(string([]byte(c.Params("id"))))
		if !wire.ValidID(id) {
			return send(c, Answer{Code: 404})
		}
		return send(c, svc.Cancel(c.Context(), id))
	})
	app.Post("/hello", func(c fiber.Ctx) error {
		raw := append([]byte(nil), c.Body()...)
		rep := new(wire.Report)
		if err := wire.Decode(raw, rep); err != nil || rep.Host == "" || rep.Session == 0 {
			return send(c, Answer{Code: 400})
		}
		if float64(app.Server().GetOpenConnectionsCount()) > workerConnectionShare*float64(limits.MaxConnections) {
			c.RequestCtx().SetConnectionClose()
		}
		return send(c, svc.Report(c.Context(), raw, rep))
	})
	return app
}

// send writes an answer.
func send(c fiber.Ctx, a Answer) error {
	c.Status(a.Code)
	if a.RetryAfter > 0 {
		secs := int((a.RetryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(secs))
	}
	if a.Close {
		c.RequestCtx().SetConnectionClose()
	}
	if a.Body == nil {
		return nil
	}
	c.Set(fiber.HeaderContentType, contentType)
	if raw, ok := a.Body.([]byte); ok {
		return c.Send(raw)
	}
	return c.Send(wire.Encode(a.Body))
}

// Serve answers on a listener until the context ends.
func Serve(ctx context.Context, app *fiber.App, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = app.ShutdownWithTimeout(time.Second) })
	defer stop()
	err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
