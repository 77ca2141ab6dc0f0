package scheduler

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// decisionDigest is a hash over everything that the leaders of one simulated day
// decided, in order. Two plays of the same day must agree on it, and so must
// two versions of the code between which no decision was meant to change.
type decisionDigest struct {
	hash  hash.Hash64
	parts int
}

func newDecisionDigest() *decisionDigest { return &decisionDigest{hash: fnv.New64a()} }

func (d *decisionDigest) add(kind string, value any) {
	d.parts++
	fmt.Fprintf(d.hash, "%s %v\n", kind, value) // without names of fields, which may change
}

// addDecisions adds the decisions of one step.
func (d *decisionDigest) addDecisions(e Decisions) {
	for _, ch := range e.RecordChanges {
		d.add("change", ch.ID)
		for _, g := range ch.Preconditions {
			d.add("guard", g)
		}
		for _, op := range ch.Operations {
			d.add("write "+op.PutKey, wire.Encode(op.Value))
			d.add("drop", op.DeleteKey)
		}
	}
	for _, r := range e.Provision {
		d.add("rent", r)
	}
	d.addMachines("direct", e.SendCommands)
	d.addMachines("show", e.RequestHeartbeats)
	d.addMachines("return", e.Terminate)
	for _, id := range e.RereadJobs {
		d.add("refresh", id)
	}
	for _, address := range e.ForgetAddresses {
		d.add("forget", address)
	}
}

func (d *decisionDigest) addMachines(kind string, hosts []ids.MachineID) {
	for _, h := range hosts {
		d.add(kind, h)
	}
}

func (d *decisionDigest) String() string { return fmt.Sprintf("%016x of %d", d.hash.Sum64(), d.parts) }

// impatientDay is a random day with a class that cannot wait for a machine to
// boot, so that headroom and scale-in depend on what is known of a class.
func impatientDay(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.opt.LatencySensitive = map[string]time.Duration{"c": 5 * time.Second}
	s.opt.Headroom, s.opt.SpotIdleFactor = 0.3, 1.5
	s.failOver()
	return s
}

// The same events at the same times give the same decisions. Walks through
// maps made some days go differently each time they were played: the order in
// which the next leader stops cancelled jobs, and the job that stands for its class when
// headroom is computed.
func TestSameEventsGiveTheSameDecisions(t *testing.T) {
	const days, plays = 6, 4
	for seed := range uint64(days) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var first string
			for play := range plays {
				s := impatientDay(t, seed)
				s.playRandomDay(25)
				switch got := s.digest.String(); {
				case play == 0:
					first = got
				case got != first:
					t.Errorf("play %d decided %s, the first one %s", play, got, first)
				}
			}
		})
	}
}

// otherDigest is the digest that another version of the code gave for the same days.
var otherDigest = flag.String("digest", "", "digest of the random days to compare with, or \"print\"")

// TestDigestOfRandomDays compares two versions of the code between which no decision
// was meant to change: the digest that one prints is handed to the other. There is no
// expected value to be kept up to date, so without the flag it is skipped: the version
// before prints its value, and the version after fails if its own is another.
//
//	go test ./scheduler -run TestDigestOfRandomDays -v -args -digest print
//	go test ./scheduler -run TestDigestOfRandomDays -args -digest VALUE
func TestDigestOfRandomDays(t *testing.T) {
	if *otherDigest == "" {
		t.Skip("compares two versions; see -digest")
	}
	all := newDecisionDigest()
	for seed := range uint64(60) {
		s := newSim(t, seed)
		if seed%2 == 1 {
			s = impatientDay(t, seed)
		}
		s.playRandomDay(40)
		all.add("day", s.digest)
	}
	got := fmt.Sprintf("%016x", all.hash.Sum64())
	t.Logf("digest of %d days: %s", all.parts, got)
	if *otherDigest != "print" && got != *otherDigest {
		t.Errorf("decisions differ from those of %s", *otherDigest)
	}
}
