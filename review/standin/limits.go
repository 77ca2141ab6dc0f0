package standin

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// StateLimits holds the limits of the state service, as the settings give them.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// budget returns a limiter that allows bursts of one second's worth.
func budget(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// The delays of the state service's answers. Most take a few milliseconds, and now and then one takes a
// few hundred.
const (
	usualDelay   = 4 * time.Millisecond
	usualSpread  = 5 * time.Millisecond
	longDelay    = 200 * time.Millisecond
	longSpread   = 100 * time.Millisecond
	oneLongDelay = 200 // of how many answers one is late
	bytesPerKB   = 1024
)

// answerDelay returns how long an answer of the state service takes.
func answerDelay() time.Duration {
	if rand.N(oneLongDelay) == 0 {
		return longDelay + rand.N(longSpread)
	}
	return usualDelay + rand.N(usualSpread)
}
