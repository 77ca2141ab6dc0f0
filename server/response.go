package server

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/wire"
)

// contentType is the media type of all bodies.
const contentType = "application/msgpack"

// send writes a response.
func send(c fiber.Ctx, response Response) error {
	c.Status(response.Status)
	if response.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(wholeSeconds(response.RetryAfter)))
	}
	if response.Close {
		c.RequestCtx().SetConnectionClose()
	}
	if response.Body == nil {
		return nil
	}
	c.Set(fiber.HeaderContentType, contentType)
	if raw, encoded := response.Body.([]byte); encoded {
		return c.Send(raw)
	}
	return c.Send(wire.Encode(response.Body))
}

// wholeSeconds returns a duration in seconds, rounded up: the header Retry-After allows no fractions.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
