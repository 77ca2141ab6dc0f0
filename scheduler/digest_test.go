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

// decisionDigest is a hash of all decisions of the leaders in one simulation run, in order. It must be
// the same for two runs with the same seed, and for two versions of the code between which no decision
// is meant to change.
type decisionDigest struct {
	hash    hash.Hash64
	entries int
}

func newDecisionDigest() *decisionDigest { return &decisionDigest{hash: fnv.New64a()} }

// add adds a value. The kinds are hashed too, so renaming one changes the digest.
func (d *decisionDigest) add(kind string, value any) {
	d.entries++
	fmt.Fprintf(d.hash, "%s %v\n", kind, value) // without field names, because they may be renamed
}

// addDecisions adds the decisions of a step.
func (d *decisionDigest) addDecisions(decisions Decisions) {
	for _, change := range decisions.RecordChanges {
		d.add("change", change.ID)
		for _, precondition := range change.Preconditions {
			d.add("guard", precondition)
		}
		for _, op := range change.Operations {
			d.add("write "+op.PutKey, wire.Encode(op.Value))
			d.add("drop", op.DeleteKey)
		}
	}
	for _, request := range decisions.Provision {
		d.add("rent", request)
	}
	d.addMachines("direct", decisions.SendCommands)
	d.addMachines("show", decisions.RequestHeartbeats)
	d.addMachines("return", decisions.Terminate)
	d.addMachines("return for a cancellation", decisions.TerminateCancelled)
	for _, id := range decisions.RereadJobs {
		d.add("refresh", id)
	}
	for _, address := range decisions.ForgetAddresses {
		d.add("forget", address)
	}
}

func (d *decisionDigest) addMachines(kind string, machines []ids.MachineID) {
	for _, machine := range machines {
		d.add(kind, machine)
	}
}

func (d *decisionDigest) String() string {
	return fmt.Sprintf("%016x of %d", d.hash.Sum64(), d.entries)
}

// newLatencySensitiveSim returns a simulation in which a class cannot wait for a machine to boot, so
// headroom and scale in depend on the state of the class.
func newLatencySensitiveSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.opt.LatencySensitive = map[string]time.Duration{"c": 5 * time.Second}
	s.opt.Headroom, s.opt.SpotIdleFactor = 0.3, 1.5
	s.failOver()
	return s
}

// The same events at the same times must give the same decisions. They do not if the iteration order
// of a map determines the order in which the next leader stops cancelled jobs, or which job represents
// its class when headroom is computed.
func TestSameEventsGiveTheSameDecisions(t *testing.T) {
	const seeds, runs = 6, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var first string
			for run := range runs {
				s := newLatencySensitiveSim(t, seed)
				s.simulateRandomFaults(25)
				switch got := s.digest.String(); {
				case run == 0:
					first = got
				case got != first:
					t.Errorf("run %d: digest %s, the first run had %s", run, got, first)
				}
			}
		})
	}
}

// otherDigest is the digest of the same simulations with another version of the code.
var otherDigest = flag.String("digest", "", "digest of the random simulations to compare with, or \"print\"")

// TestDigestOfRandomSimulations compares two versions of the code between which no decision is meant to
// change. The version before the change prints its digest. The version after it gets that digest and
// fails if its own differs. The test has no expected value that would need updates, so it is skipped
// without the flag.
//
//	go test ./scheduler -run TestDigestOfRandomSimulations -v -args -digest print
//	go test ./scheduler -run TestDigestOfRandomSimulations -args -digest VALUE
func TestDigestOfRandomSimulations(t *testing.T) {
	if *otherDigest == "" {
		t.Skip("compares two versions; see -digest")
	}
	total := newDecisionDigest()
	for seed := range uint64(60) {
		s := newSim(t, seed)
		if seed%2 == 1 {
			s = newLatencySensitiveSim(t, seed)
		}
		s.simulateRandomFaults(40)
		total.add("day", s.digest)
	}
	got := fmt.Sprintf("%016x", total.hash.Sum64())
	t.Logf("digest of %d simulations: %s", total.entries, got)
	if *otherDigest != "print" && got != *otherDigest {
		t.Errorf("decisions differ from those of %s", *otherDigest)
	}
}
