package election

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

// watcher notes who leads, and that no two nodes ever hold the key at once.
type watcher struct {
	mu      sync.Mutex
	holding map[ids.ControllerName]*Term
	stamps  map[ids.Revision]string // whose term it was, if asked for
	clashes []string
}

type member struct {
	e      *Election
	c      *kvtest.Client
	cancel context.CancelFunc
	gone   chan struct{}
}

func (w *watcher) start(t *testing.T, s *kvtest.Store, name ids.ControllerName, inc ids.ControllerIncarnation) *member {
	c := newClient(s)
	return w.startOver(t, c, c, name, inc)
}

// kill ends a process without giving it the time to say so.
func (w *watcher) kill(name ids.ControllerName, m *member) {
	m.c.Refuse()
	w.mu.Lock()
	delete(w.holding, name)
	w.mu.Unlock()
	m.cancel()
	<-m.gone
}

func (w *watcher) startOver(t *testing.T, c *kvtest.Client, over Store, name ids.ControllerName, inc ids.ControllerIncarnation) *member {
	m := &member{c: c, gone: make(chan struct{})}
	m.e = New(over, Identity{Name: name, Incarnation: inc}, LeaseBounds{TTL: 3 * time.Second, OutageGrace: 20 * time.Second}, monotonic.SystemClock(), slog.New(slog.DiscardHandler),
		func(ctx context.Context, term *Term) error {
			w.mu.Lock()
			w.holding[name] = term
			if w.stamps != nil {
				who := fmt.Sprintf("%s#%d", name, inc)
				if had := w.stamps[term.Revision]; had != "" {
					w.clashes = append(w.clashes, fmt.Sprintf("stamp %d served %s and %s", term.Revision, had, who))
				}
				w.stamps[term.Revision] = who
			}
			w.mu.Unlock()
			for ctx.Err() == nil {
				w.check()
				monotonic.Sleep(ctx, 20*time.Millisecond)
			}
			return context.Cause(ctx)
		})
	ctx, cancel := context.WithCancel(t.Context())
	m.cancel = cancel
	go func() { _ = m.e.Run(ctx); close(m.gone) }()
	return m
}

func (w *watcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var held []string
	for n, term := range w.holding {
		if term.HoldsLease() {
			held = append(held, fmt.Sprintf("%s@%d", n, term.Revision))
		}
	}
	if len(held) > 1 {
		w.clashes = append(w.clashes, fmt.Sprint(held))
	}
}

func (w *watcher) leader() (ids.ControllerName, *Term) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, term := range w.holding {
		if term.HoldsLease() {
			return n, term
		}
	}
	return "", nil
}

func TestSuccessionAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
		nodes := map[ids.ControllerName]*member{}
		for _, n := range []ids.ControllerName{"n0", "n1", "n2"} {
			nodes[n] = w.start(t, s, n, 1)
		}
		time.Sleep(2 * time.Second)
		first, term := w.leader()
		if first == "" {
			t.Fatal("nobody leads")
		}
		for n, m := range nodes {
			if l, ok := m.e.Leader(); !ok || l.Name != first {
				t.Errorf("%s takes %q for the leader, it is %s", n, l.Name, first)
			}
		}

		// In an outage for all nobody else can lead; afterwards the leader goes on.
		s.StartOutage()
		time.Sleep(10 * time.Second)
		if term.HoldsLease() {
			t.Error("the key counts as held without the state service")
		}
		if !term.MayAnswerHeartbeats() {
			t.Error("workers are left alone within the grace")
		}
		s.EndOutage()
		time.Sleep(time.Second)
		if l, again := w.leader(); l != first || again != term {
			t.Errorf("after the outage %q leads, before it was %s", l, first)
		}

		// Refused alone, it must not hold the place for ever.
		nodes[first].c.Refuse()
		time.Sleep(5 * time.Second)
		second, next := w.leader()
		if second == "" || second == first || next.Revision <= term.Revision {
			t.Fatalf("%q leads after %s was refused alone", second, first)
		}
		nodes[first].c.Accept()

		// A killed leader's next process need not wait for its own lease.
		nodes[second].cancel()
		<-nodes[second].gone
		w.mu.Lock()
		delete(w.holding, second)
		w.mu.Unlock()
		time.Sleep(6 * time.Second)
		if third, _ := w.leader(); third == "" || third == second {
			t.Fatalf("%q leads after %s was killed", third, second)
		}
		for _, m := range nodes {
			m.cancel()
			<-m.gone
		}
		if len(w.clashes) > 0 {
			t.Errorf("two held the key: %v", w.clashes)
		}
	})
}

// A node that finds its own earlier process in the key replaces it at once.
func TestOwnEarlierProcessIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
		s.Advance(3)
		s.PutWithLease(records.LeaderKey, Identity{Name: "n0", Incarnation: 1}, time.Hour) // at revision 4
		m := w.start(t, s, "n0", 2)
		time.Sleep(time.Second)
		if l, term := w.leader(); l != "n0" || term.Revision <= 4 {
			t.Errorf("%q leads", l)
		}
		m.cancel()
		<-m.gone
	})
}

// A leader holds its key for longer than the state service keeps changes. A node that
// comes then cannot watch from the key's revision: it asked for the key again without a
// pause, hundreds of times a second. It must watch, and still notice at once when the
// key goes.
func TestNodeThatComesLongAfterTheElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
		first := w.start(t, s, "n0", 1)
		time.Sleep(time.Second)
		s.SetRetention(10_000)
		s.Advance(20_000)
		before := s.Requests()
		second := w.start(t, s, "n1", 1)
		time.Sleep(30 * time.Second)
		if calls := s.Requests() - before; calls > 100 {
			t.Errorf("%d requests in 30 s", calls)
		}
		w.kill("n0", first)
		time.Sleep(4 * time.Second)
		if l, _ := w.leader(); l != "n1" {
			t.Errorf("%q leads", l)
		}
		second.cancel()
		<-second.gone
	})
}

// A later leader heard of from a peer ends the term.
func TestLaterLeaderEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
		m := w.start(t, s, "n0", 1)
		time.Sleep(time.Second)
		term := m.e.Term()
		if term == nil {
			t.Fatal("nobody leads")
		}
		m.c.Refuse()
		m.e.Observe(Leader{Revision: term.Revision + 5}) // its name is not known any more
		time.Sleep(time.Second)
		if m.e.Term() != nil {
			t.Error("the term goes on")
		}
		m.e.Observe(Leader{Identity{Name: "n1"}, term.Revision + 5})
		if l, _ := m.e.Leader(); l.Name != "n1" {
			t.Errorf("takes %q for the leader", l.Name)
		}
		m.cancel()
		<-m.gone
	})
}

// A leader that was paused for longer than its lease finds its clocks moved on
// and its key expired. Within the grace it would answer workers and act on what
// it had decided, as in an outage. It must not, before it has asked whether
// this is one; nor may work that has not noticed the end of its term.
func TestNoAnswersAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
		m := w.start(t, s, "n0", 1)
		time.Sleep(time.Second)
		_, term := w.leader()
		m.c.Hold(12 * time.Second)
		time.Sleep(11 * time.Second)
		if term.MayAnswerHeartbeats() {
			t.Error("answers workers, though nothing tells that there is an outage")
		}
		time.Sleep(5 * time.Second)
		if term.MayAnswerHeartbeats() || m.e.Term() == term {
			t.Error("the term that was lost goes on")
		}
		_, term = w.leader()
		term.End(ErrSuperseded)
		if term.MayAnswerHeartbeats() {
			t.Error("answers workers in the name of a term that was ended")
		}
		m.cancel()
		<-m.gone
	})
}

// A claim whose answer comes after a later leader was heard of begins no term:
// peers may have been told already that this node follows that leader.
func TestLateClaimBeginsNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := kvtest.NewStore(), &watcher{holding: map[ids.ControllerName]*Term{}}
		c := newClient(s)
		c.Hold(time.Second)
		m := w.startOver(t, c, c, "n0", 1)
		m.e.Observe(Leader{Identity{Name: "n1"}, 50})
		time.Sleep(5 * time.Second)
		if m.e.Term() != nil {
			t.Error("it leads all the same")
		}
		m.cancel()
		<-m.gone
	})
}

// A leader that finds the state service away cannot tell an outage from a successor
// that it does not hear of. It may go on for the whole grace only while every other
// controller, running since before the key was in doubt, says that it knows of none;
// otherwise for no longer than what a successor may have told its users allows.
func TestIsolatedLeaderStopsSooner(t *testing.T) {
	const isolated = 8 * time.Second
	for _, c := range []struct {
		name  string
		vouch func(t *Term, now, began monotonic.Instant)
		until time.Duration // after the key was surely held last, give or take
	}{
		{"nobody heard", func(*Term, monotonic.Instant, monotonic.Instant) {}, isolated},
		{"one is heard", func(t *Term, now, began monotonic.Instant) { t.RecordPeerAck("n1", now, began) }, isolated},
		{"one was started since", func(t *Term, now, began monotonic.Instant) {
			t.RecordPeerAck("n1", now, began)
			t.RecordPeerAck("n2", now, monotonic.Instant(t.heldUntil.Load()))
		}, isolated},
		{"both are heard", func(t *Term, now, began monotonic.Instant) {
			t.RecordPeerAck("n1", now, began)
			t.RecordPeerAck("n2", now, began)
		}, 20 * time.Second},
		{"one is heard for 5 s", func(t *Term, now, began monotonic.Instant) {
			t.RecordPeerAck("n1", now, began)
			if now < monotonic.Instant(t.heldUntil.Load()).Add(5*time.Second) {
				t.RecordPeerAck("n2", now, began)
			}
		}, 5*time.Second + isolated},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := kvtest.NewStore()
				terms := make(chan *Term, 9)
				bounds := LeaseBounds{TTL: 3 * time.Second, OutageGrace: 20 * time.Second, IsolatedGrace: isolated - 3*time.Second, IsolatedReplicaGrace: isolated,
					Peers: []ids.ControllerName{"n1", "n2"}}
				e := New(newClient(s), Identity{Name: "n0"}, bounds, monotonic.SystemClock(), slog.New(slog.DiscardHandler), func(ctx context.Context, term *Term) error {
					terms <- term
					<-ctx.Done()
					return context.Cause(ctx)
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- e.Run(ctx) }()
				term := <-terms
				time.Sleep(5 * time.Second)
				began := term.clock.Now().Add(-time.Minute)
				s.StartOutage()
				time.Sleep(time.Second)
				valid := monotonic.Instant(term.heldUntil.Load())
				var last, lastForAll monotonic.Instant
				for range 300 {
					now := term.clock.Now()
					if now >= valid && now < valid.Add(25*time.Second) {
						c.vouch(term, now, began)
					}
					if term.MayAnswerHeartbeats() {
						last = now
						if !term.MayAnswerReplicasOnly() {
							lastForAll = now
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				if got := last.Sub(valid); got < c.until-300*time.Millisecond || got > c.until+300*time.Millisecond {
					t.Errorf("answers for %v after its key, want %v", got, c.until)
				}
				want := c.until
				if want != bounds.OutageGrace {
					want -= bounds.IsolatedReplicaGrace - bounds.IsolatedGrace
				}
				if got := lastForAll.Sub(valid); got < want-300*time.Millisecond || got > want+300*time.Millisecond {
					t.Errorf("answers workers without replicas for %v after its key, want %v", got, want)
				}
				cancel()
				<-done
			})
		})
	}
}

// A leader's key that cannot be read is reported once, and taken for held until its lease
// ends: never for absent.
func TestUnreadableKeyIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvtest.NewStore()
		s.Advance(4)
		s.PutWithLease(records.LeaderKey, "nonsense", 2*time.Second) // at revision 5
		var logged bytes.Buffer
		led := make(chan ids.Revision, 9)
		e := New(newClient(s), Identity{Name: "n0"}, LeaseBounds{TTL: 3 * time.Second, OutageGrace: 20 * time.Second}, monotonic.SystemClock(),
			slog.New(slog.NewTextHandler(&logged, nil)), func(ctx context.Context, term *Term) error {
				led <- term.Revision
				<-ctx.Done()
				return context.Cause(ctx)
			})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(1900 * time.Millisecond)
		if _, known := e.Leader(); known || len(led) > 0 {
			t.Error("the key was taken for absent, or for somebody's")
		}
		time.Sleep(3 * time.Second)
		if len(led) != 1 {
			t.Errorf("led %d times once its lease was over", len(led))
		}
		cancel()
		<-done
		if n := strings.Count(logged.String(), "key=leader"); n != 1 {
			t.Errorf("reported %d times: %s", n, logged.String())
		}
	})
}
