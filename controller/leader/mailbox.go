package leader

import (
	"context"

	"ospreystile.example/ospreystile/controller/peerapi"
)

// maxQueuedEvents bounds the events that wait for the event loop.
const maxQueuedEvents = 64

// event is an input of the event loop: something that happened, or a request that needs an answer.
type event interface {
	// applyTo is called by the event loop alone, so it may use the scheduler core. It must
	// not block.
	applyTo(loop *eventLoop)
}

// mailbox is the queue of events between other goroutines and the event loop.
type mailbox struct {
	events chan event
	closed chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{events: make(chan event, maxQueuedEvents), closed: make(chan struct{})}
}

// close ends all calls of post and request that wait. It must be called once.
func (m *mailbox) close() { close(m.closed) }

// post queues an event. It blocks while the queue is full, as backpressure on the sender. It
// returns false if the context or the term ended first.
func (m *mailbox) post(ctx context.Context, e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.closed:
	case <-ctx.Done():
	}
	return false
}

// request queues an event and waits for the answer that the event loop sends on its reply
// channel, which must have a buffer. It fails with peerapi.ErrNotLeading if the context or the
// term ends first; the event may still be applied.
func request[A any](ctx context.Context, m *mailbox, e event, reply <-chan A) (A, error) {
	if m.post(ctx, e) {
		select {
		case answer := <-reply:
			return answer, nil
		case <-m.closed:
		case <-ctx.Done():
		}
	}
	var none A
	return none, peerapi.ErrNotLeading
}
