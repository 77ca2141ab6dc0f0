package election

import (
	"context"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// service is a stand-in for the state service: one key under leases, an
// outage for all, and a refusal of single nodes.
type service struct {
	mu       sync.Mutex
	epoch    ids.Revision
	value    []byte
	revision ids.Revision
	lease    ids.LeaseID
	leases   map[ids.LeaseID]time.Time
	ttl      time.Duration
	next     ids.LeaseID
	down     bool
	change   chan struct{}
	// oldest is the revision before which changes are not kept; calls counts the
	// requests of all nodes.
	oldest ids.Revision
	calls  int
}

func newService() *service {
	return &service{leases: map[ids.LeaseID]time.Time{}, change: make(chan struct{})}
}

func (s *service) touched() { close(s.change); s.change = make(chan struct{}) }

// sweep ends leases that ran out; it is called under the lock.
func (s *service) sweep() {
	if s.down {
		return
	}
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.end(id)
		}
	}
}

func (s *service) end(id ids.LeaseID) {
	delete(s.leases, id)
	if s.lease == id && s.revision != 0 {
		s.epoch++
		s.revision, s.value, s.lease = 0, nil, 0
		s.touched()
	}
}

func (s *service) outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	s.down = down
	for id := range s.leases { // after an outage every lease has its full time
		s.leases[id] = time.Now().Add(s.ttl)
	}
}

// client is one node's way to the service.
type client struct {
	s       *service
	mu      sync.Mutex
	refused bool
	held    time.Time // requests wait until then
}

// hold keeps requests from their answers for a time.
func (c *client) hold(d time.Duration) { c.mu.Lock(); c.held = time.Now().Add(d); c.mu.Unlock() }

func (c *client) refuse(v bool) { c.mu.Lock(); c.refused = v; c.mu.Unlock() }

func (c *client) enter() error {
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	held := time.Until(c.held)
	c.mu.Unlock()
	time.Sleep(held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.mu.Lock()
	c.s.sweep()
	c.s.calls++
	if c.s.down || c.refused {
		c.s.mu.Unlock()
		return kv.ErrUnavailable
	}
	return nil
}

func (c *client) Get(context.Context, string) (kv.Entry, bool, error) {
	if err := c.enter(); err != nil {
		return kv.Entry{}, false, err
	}
	defer c.s.mu.Unlock()
	return kv.Entry{Key: records.LeaderKey, Value: c.s.value, Revision: c.s.revision}, c.s.revision != 0, nil
}

func (c *client) Commit(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	if err := c.enter(); err != nil {
		return kv.TxnResult{}, err
	}
	defer c.s.mu.Unlock()
	s := c.s
	if t.Preconditions[0].Revision != s.revision {
		return kv.TxnResult{FailedKeys: []string{records.LeaderKey}}, nil
	}
	if len(t.Operations) == 0 {
		return kv.TxnResult{Applied: true, Revision: s.epoch}, nil
	}
	if _, ok := s.leases[t.Operations[0].Lease]; !ok {
		return kv.TxnResult{}, kv.ErrLeaseExpired
	}
	s.epoch++
	s.revision, s.value, s.lease = s.epoch, wire.Encode(t.Operations[0].Value), t.Operations[0].Lease
	s.touched()
	return kv.TxnResult{Applied: true, Revision: s.epoch}, nil
}

func (c *client) GrantLease(_ context.Context, ttl time.Duration) (ids.LeaseID, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	defer c.s.mu.Unlock()
	c.s.next++
	c.s.ttl = ttl
	c.s.leases[c.s.next] = time.Now().Add(ttl)
	return c.s.next, nil
}

func (c *client) RenewLease(_ context.Context, id ids.LeaseID) error {
	if err := c.enter(); err != nil {
		return err
	}
	defer c.s.mu.Unlock()
	if _, ok := c.s.leases[id]; !ok {
		return kv.ErrLeaseExpired
	}
	c.s.leases[id] = time.Now().Add(c.s.ttl)
	return nil
}

func (c *client) RevokeLease(_ context.Context, id ids.LeaseID) error {
	if err := c.enter(); err != nil {
		return err
	}
	defer c.s.mu.Unlock()
	c.s.end(id)
	return nil
}

func (c *client) Watch(ctx context.Context, _ string, since ids.Revision, hold time.Duration) (ids.Revision, []kv.Event, error) {
	if err := c.enter(); err != nil {
		return 0, nil, err
	}
	defer c.s.mu.Unlock()
	if since < c.s.oldest {
		return 0, nil, kv.ErrCompacted
	}
	end := time.Now().Add(hold)
	for time.Now().Before(end) && ctx.Err() == nil {
		c.s.sweep()
		if c.s.epoch > since {
			if c.s.revision == 0 {
				return c.s.epoch, []kv.Event{{DeletedKey: records.LeaderKey, Revision: c.s.epoch}}, nil
			}
			return c.s.epoch, []kv.Event{{PutKey: records.LeaderKey, Revision: c.s.revision}}, nil
		}
		c.s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		c.s.mu.Lock()
	}
	return c.s.epoch, nil, nil
}
