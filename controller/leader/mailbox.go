package leader

import (
	"context"

	"ospreystile.example/ospreystile/controller/peerapi"
)

// maxQueuedEvents is the capacity of the queue of events.
const maxQueuedEvents = 64

// event is an input of the event loop: an occurrence, or a request that needs an answer.
type event interface {
	// applyTo applies the event to the scheduler core. Only the event loop calls it. It must not
	// block.
	applyTo(loop *eventLoop)
}

// mailbox is the queue through which other goroutines pass events to the event loop.
type mailbox struct {
	events chan event
	closed chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{events: make(chan event, maxQueuedEvents), closed: make(chan struct{})}
}

// close unblocks all calls of post and request. It must be called only once.
func (m *mailbox) close() { close(m.closed) }

// post queues an event and reports whether it did. It blocks while the queue is full, as
// backpressure on the sender. It returns false if the context or the term ends first.
func (m *mailbox) post(ctx context.Context, e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.closed:
	case <-ctx.Done():
	}
	return false
}

// request queues an event and returns the answer that the event loop sends on the event's reply
// channel, which must have a buffer. It returns peerapi.ErrNotLeading if the context or the term
// ends first. The event may still be applied then.
func request[A any](ctx context.Context, m *mailbox, e event, reply <-chan A) (A, error) {
	if m.post(ctx, e) {
		select {
		case answer := <-reply:
			return answer, nil
		case <-m.closed:
		case <-ctx.Done():
		}
	}
	var zero A
	return zero, peerapi.ErrNotLeading
}
