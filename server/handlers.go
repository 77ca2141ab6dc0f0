package server

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

const (
	// heartbeatPath is the path of workers' heartbeats.
	heartbeatPath = "/hello"
	// workerConnectionFraction is the fraction of MaxConnections up to which connections of
	// workers are kept open. Above it they are closed after the response: there may be more
	// workers than sockets, each must send a heartbeat within its lease, and users and health
	// checks need sockets too.
	workerConnectionFraction = 0.7
	// healthRetryDelay is the delay after which a failed health check should be repeated.
	healthRetryDelay = time.Second
)

// handlers holds the request handlers, which decode requests and call the service.
type handlers struct {
	service Service
	limits  Limits
	log     *slog.Logger
}

// handleError responds to requests that ended with an error instead of a response.
func (h *handlers) handleError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		status = fiberError.Code
	}
	switch status {
	case fiber.StatusRequestEntityTooLarge:
		status = fiber.StatusBadRequest // the protocol's status for a body above the limit
		if c.Path() == heartbeatPath {
			h.log.Warn("heartbeat rejected", "address", c.IP(), "err", err)
		}
	case fiber.StatusMethodNotAllowed:
		status = fiber.StatusNotFound
	case fiber.StatusInternalServerError:
		h.log.Error("request failed", "path", c.Path(), "err", err)
	}
	return send(c, Response{Status: status})
}

// recoverPanic logs the panic of a handler and responds to its request.
func (h *handlers) recoverPanic(c fiber.Ctx) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("handler panicked", "path", c.Path(), "panic", p)
			err = send(c, Response{Status: fiber.StatusInternalServerError})
		}
	}()
	return c.Next()
}

// health responds to health checks.
func (h *handlers) health(c fiber.Ctx) error {
	if h.service.Healthy() {
		return send(c, Response{Status: fiber.StatusOK})
	}
	return send(c, RetryLater(healthRetryDelay))
}

// submit handles the submission of a job.
func (h *handlers) submit(c fiber.Ctx) error {
	id, spec, err := wire.ParseSubmission(c.Body())
	if err != nil {
		h.log.Debug("submission rejected", "err", err)
		return send(c, Response{Status: fiber.StatusBadRequest})
	}
	return h.sendToUser(c, h.service.Submit(c.Context(), id, spec))
}

// sendToUser sends the response to a user's request. While the controller drains its connections, a request that
// it cannot serve ends its connection.
func (h *handlers) sendToUser(c fiber.Ctx, response Response) error {
	if response.Status == fiber.StatusServiceUnavailable && h.service.Draining() {
		response.Close = true
	}
	return send(c, response)
}

// jobHandler returns a handler for requests about the job in their path. Jobs with an invalid ID
// are never accepted, so the response for such an ID is 404.
func (h *handlers) jobHandler(call func(context.Context, ids.JobID) Response) fiber.Handler {
	return func(c fiber.Ctx) error {
		id := ids.JobID(strings.Clone(c.Params("id"))) // the framework reuses the parameter's memory
		if !wire.ValidJobID(id) {
			return send(c, Response{Status: fiber.StatusNotFound})
		}
		return h.sendToUser(c, call(c.Context(), id))
	}
}

// heartbeat handles a worker's heartbeat.
func (h *handlers) heartbeat(c fiber.Ctx) error {
	raw := bytes.Clone(c.Body()) // the framework reuses the body's memory
	heartbeat, err := wire.ParseHeartbeat(raw)
	if err != nil {
		h.log.Warn("heartbeat rejected", "address", c.IP(), "err", err)
		return send(c, Response{Status: fiber.StatusBadRequest})
	}
	open := float64(c.App().Server().GetOpenConnectionsCount())
	if open > workerConnectionFraction*float64(h.limits.MaxConnections) {
		c.RequestCtx().SetConnectionClose()
	}
	return send(c, h.service.Heartbeat(c.Context(), raw, heartbeat))
}
