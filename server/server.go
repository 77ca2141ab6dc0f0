// Package server is the HTTP face of a controller towards users and workers.
package server

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Response is a status, a body (nil: none), and how long to wait before asking
// again (0: not said). Close ends the connection, so that the load balancer may
// choose another node for the next request.
type Response struct {
	Status     int
	Body       any
	RetryAfter time.Duration
	Close      bool
}

// RetryLater is the answer when a request can't be served now: at once, with the
// time after which asking again makes sense.
func RetryLater(after time.Duration) Response { return Response{Status: 503, RetryAfter: after} }

// Service is what stands behind the endpoints.
type Service interface {
	Submit(ctx context.Context, id ids.JobID, spec *wire.JobSpec) Response
	Status(ctx context.Context, id ids.JobID) Response
	Cancel(ctx context.Context, id ids.JobID) Response
	Heartbeat(ctx context.Context, raw []byte, rep *wire.Heartbeat) Response
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
	h := &handlers{svc: svc, limits: limits, log: log}
	app := fiber.New(fiber.Config{
		BodyLimit:         wire.MaxBody,
		Concurrency:       limits.MaxConnections,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ReduceMemoryUsage: true,
		CaseSensitive:     true,
		StrictRouting:     true,
		ErrorHandler:      h.failed,
	})
	app.Use(h.recoverPanic)
	app.Get("/up", h.health)
	app.Post("/api/jobs", h.submit)
	app.Get("/api/jobs/:id", h.aboutJob(svc.Status))
	app.Post("/api/jobs/:id/withdraw", h.aboutJob(svc.Cancel))
	app.Post("/hello", h.report)
	return app
}

const (
	// readTimeout bounds the time in which a request must have come, and writeTimeout
	// that in which its answer must have gone.
	readTimeout  = 20 * time.Second
	writeTimeout = 10 * time.Second
	// healthRetryDelay is after what time an unhealthy node should be asked again.
	healthRetryDelay = time.Second
)

// handlers turn requests into calls of the service.
type handlers struct {
	svc    Service
	limits Limits
	log    *slog.Logger
}

// failed answers requests that no handler answered.
func (h *handlers) failed(c fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var refusal *fiber.Error
	if errors.As(err, &refusal) {
		code = refusal.Code
	}
	switch code {
	case fiber.StatusRequestEntityTooLarge:
		code = fiber.StatusBadRequest // the protocol's word for a body above the limit
	case fiber.StatusMethodNotAllowed:
		code = fiber.StatusNotFound
	case fiber.StatusInternalServerError:
		h.log.Error("request failed", "path", c.Path(), "err", err)
	}
	return send(c, Response{Status: code})
}

// recoverPanic answers requests whose handler panicked.
func (h *handlers) recoverPanic(c fiber.Ctx) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("handler panicked", "path", c.Path(), "panic", p)
			err = send(c, Response{Status: fiber.StatusInternalServerError})
		}
	}()
	return c.Next()
}

func (h *handlers) health(c fiber.Ctx) error {
	if h.svc.Healthy() {
		return send(c, Response{Status: fiber.StatusOK})
	}
	return send(c, RetryLater(healthRetryDelay))
}

func (h *handlers) submit(c fiber.Ctx) error {
	id, spec, err := wire.ParseSubmission(c.Body())
	if err != nil {
		h.log.Debug("submission rejected", "err", err)
		return send(c, Response{Status: fiber.StatusBadRequest})
	}
	return send(c, h.svc.Submit(c.Context(), id, spec))
}

// aboutJob handles requests about the job that their path names. An id that no job can
// have was never accepted.
func (h *handlers) aboutJob(call func(context.Context, ids.JobID) Response) fiber.Handler {
	return func(c fiber.Ctx) error {
		id := ids.JobID(strings.Clone(c.Params("id")))
		if !wire.ValidID(id) {
			return send(c, Response{Status: fiber.StatusNotFound})
		}
		return send(c, call(c.Context(), id))
	}
}

func (h *handlers) report(c fiber.Ctx) error {
	raw := bytes.Clone(c.Body())
	report := new(wire.Heartbeat)
	if err := wire.Decode(raw, report); err != nil || report.Machine == "" || report.Incarnation == 0 {
		return send(c, Response{Status: fiber.StatusBadRequest})
	}
	open := c.App().Server().GetOpenConnectionsCount()
	if float64(open) > workerConnectionShare*float64(h.limits.MaxConnections) {
		c.RequestCtx().SetConnectionClose()
	}
	return send(c, h.svc.Heartbeat(c.Context(), raw, report))
}

// send writes an answer.
func send(c fiber.Ctx, a Response) error {
	c.Status(a.Status)
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
