package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/wire"
)

// maxKeptChanges is the number of changes that the state service keeps for watches.
const maxKeptChanges = 10_000

// State is a stand-in for the state service. It is safe for concurrent use.
type State struct {
	limits           StateLimits
	requests, writes *rate.Limiter

	mu        sync.Mutex
	epoch     uint64
	entries   map[string]stateEntry
	keys      []string // sorted
	changes   []stateChange
	dropped   uint64 // epoch of the newest change that is no longer kept
	grants    map[uint64]*stateGrant
	lastGrant uint64
	changed   chan struct{} // closed and replaced at each change
}

// stateEntry is a key's entry, in the form of the protocol.
type stateEntry struct {
	Key   string             `msgpack:"key"`
	Value msgpack.RawMessage `msgpack:"v"`
	Stamp uint64             `msgpack:"stamp"`
	Hold  uint64             `msgpack:"hold"`
	size  int                // of the entry as JSON
	at    time.Time          // of the write
}

// stateChange is one change, in the form of the protocol.
type stateChange struct {
	Write string             `msgpack:"write,omitempty"`
	Drop  string             `msgpack:"drop,omitempty"`
	Value msgpack.RawMessage `msgpack:"v,omitempty"`
	Stamp uint64             `msgpack:"stamp"`
}

// stateGrant is a lease.
type stateGrant struct {
	ttl  time.Duration
	ends time.Time
}

// stateGuard and stateOperation are parts of a transaction, in the form of the protocol.
type stateGuard struct {
	Key   string `msgpack:"key"`
	Stamp uint64 `msgpack:"stamp"`
}

type stateOperation struct {
	Write string             `msgpack:"write"`
	Value msgpack.RawMessage `msgpack:"v"`
	Hold  uint64             `msgpack:"hold"`
	Drop  string             `msgpack:"drop"`
	size  int                // of the value as JSON
}

// newState returns an empty state service.
func newState(limits StateLimits) *State {
	return &State{limits: limits, requests: budget(limits.RPS), writes: budget(limits.WriteRPS),
		entries: map[string]stateEntry{}, grants: map[uint64]*stateGrant{}, changed: make(chan struct{})}
}

// Leader returns the name in the key that the controllers keep for their leader, or "", and since when
// the key has named that one.
func (s *State) Leader() (name string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry := s.entries[leaderKey]
	var value struct {
		Name string `msgpack:"n"`
	}
	if wire.Decode(entry.Value, &value) != nil {
		return "", time.Time{}
	}
	return value.Name, entry.at
}

// AwaitLeader waits until a node other than the given one leads, and returns its name, or "" if the
// context ends first.
func (s *State) AwaitLeader(ctx context.Context, other string) string {
	for {
		if name, _ := s.Leader(); name != "" && name != other {
			return name
		}
		if !sleep(ctx, leaderPoll) {
			return ""
		}
	}
}

const (
	// leaderKey is the key that the controllers keep for their leader.
	leaderKey = "leader"
	// leaderPoll is how often AwaitLeader looks at it.
	leaderPoll = 20 * time.Millisecond
)

// Count returns the number of keys with a prefix.
func (s *State) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// expire ends the leases whose time is over. The caller holds the lock, as for all methods below.
func (s *State) expire() {
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.grants)) {
		if now.After(s.grants[id].ends) {
			s.endGrant(id)
		}
	}
}

// endGrant ends a lease and removes its keys.
func (s *State) endGrant(id uint64) {
	if s.grants[id] == nil {
		return
	}
	delete(s.grants, id)
	for _, key := range slices.Clone(s.keys) {
		if s.entries[key].Hold == id {
			s.epoch++
			s.drop(key)
		}
	}
}

// failedGuards returns the keys whose guards do not hold.
func (s *State) failedGuards(guards []stateGuard) []string {
	failed := []string{}
	for _, guard := range guards {
		if s.entries[guard.Key].Stamp != guard.Stamp {
			failed = append(failed, guard.Key)
		}
	}
	return failed
}

// apply applies operations at a new epoch.
func (s *State) apply(operations []stateOperation) {
	if len(operations) > 0 {
		s.epoch++
	}
	for _, operation := range operations {
		if operation.Write != "" {
			s.write(operation)
		} else {
			s.drop(operation.Drop)
		}
	}
}

// entryOverhead is the size of an entry as JSON without its key and value.
const entryOverhead = 50

func (s *State) write(operation stateOperation) {
	if _, found := s.entries[operation.Write]; !found {
		i, _ := slices.BinarySearch(s.keys, operation.Write)
		s.keys = slices.Insert(s.keys, i, operation.Write)
	}
	s.entries[operation.Write] = stateEntry{Key: operation.Write, Value: operation.Value, Stamp: s.epoch,
		Hold: operation.Hold, size: operation.size + len(operation.Write) + entryOverhead, at: time.Now()}
	s.note(stateChange{Write: operation.Write, Value: operation.Value, Stamp: s.epoch})
}

func (s *State) drop(key string) {
	if i, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	delete(s.entries, key)
	s.note(stateChange{Drop: key, Stamp: s.epoch})
}

// note keeps a change and wakes the watches.
func (s *State) note(change stateChange) {
	s.changes = append(s.changes, change)
	if extra := len(s.changes) - maxKeptChanges; extra > 0 {
		s.dropped = s.changes[extra-1].Stamp
		s.changes = slices.Delete(s.changes, 0, extra)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the changes of keys with a prefix after an epoch.
func (s *State) changesSince(prefix string, since uint64) []stateChange {
	first, _ := slices.BinarySearchFunc(s.changes, since+1, func(c stateChange, epoch uint64) int {
		if c.Stamp < epoch {
			return -1
		}
		return 1
	})
	found := []stateChange{}
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Write+change.Drop, prefix) {
			found = append(found, change)
		}
	}
	return found
}
