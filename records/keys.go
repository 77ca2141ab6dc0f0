package records

import (
	"fmt"
	"strings"

	"ospreystile.example/ospreystile/ids"
)

// Keys of single records, and prefixes of the keys of records of one kind.
const (
	// JobPrefix is the prefix of the keys of jobs.
	JobPrefix = "jobs/"
	// AdmissionPrefix is the prefix of the keys of admission slices.
	AdmissionPrefix = "admissions/"
	// ZonePrefix is the prefix of the keys of zones. These records exist only if the
	// operators' settings enabled zone recovery. Versions without zone recovery do not read them.
	ZonePrefix = "zones/"
	// CatalogPrefix is the prefix of the keys of the parts of the cloud's catalog. Versions that
	// read the catalog from the cloud alone do not read them.
	CatalogPrefix = "catalog/"
	// TerminationPrefix is the prefix of the keys of terminations. These records exist only once every
	// controller reads them.
	TerminationPrefix = "terminations/"
	// LeaderTermPrefix is the prefix of the keys of the last terms of controllers. Versions without them
	// neither read nor write them.
	LeaderTermPrefix = "terms/"
	// LeaderKey is the key that names the leader and is attached to its lease. The revision of
	// the key fences the leader's commits.
	LeaderKey = "leader"
	// FleetKey is a key that exists once any controller has led.
	FleetKey = "fleet"
	// FormatKey is a key that exists once every controller is known to support job dependencies
	// and split admission slices.
	FormatKey = "format"
)

// JobKey returns the key of a job's record.
func JobKey(id ids.JobID) string { return JobPrefix + string(id) }

// ZoneKey returns the key of the record of a zone's condition.
func ZoneKey(zone ids.Zone) string { return ZonePrefix + string(zone) }

// CatalogKey returns the key of a part of the cloud's catalog. Numbers begin at 0 and are zero-padded
// so that the parts are listed in order.
func CatalogKey(number int) string { return fmt.Sprintf("%s%05d", CatalogPrefix, number) }

// TerminationKey returns the key of the record of a termination. The nonce is zero-padded so that
// terminations are listed in the order of their decision.
func TerminationKey(nonce uint64) string { return fmt.Sprintf("%s%020d", TerminationPrefix, nonce) }

// LeaderTermKey returns the key of the record of a controller's last term.
func LeaderTermKey(controller ids.ControllerName) string {
	return LeaderTermPrefix + string(controller)
}

// AdmissionKey returns the key of one admission slice of a job. Numbers are zero-padded so that
// the slices of a job are listed in order.
func AdmissionKey(id ids.JobID, number int) string {
	return fmt.Sprintf("%s%s/%05d", AdmissionPrefix, id, number)
}

// ParseAdmissionKey returns the job and the slice number from the key of an admission slice. ok
// reports whether the key has that form. Job IDs may contain slashes.
func ParseAdmissionKey(key string) (id ids.JobID, number int, ok bool) {
	rest, ok := strings.CutPrefix(key, AdmissionPrefix)
	slash := strings.LastIndexByte(rest, '/')
	if !ok || slash <= 0 {
		return "", 0, false
	}
	if _, err := fmt.Sscanf(rest[slash+1:], "%d", &number); err != nil || number < 0 {
		return "", 0, false
	}
	return ids.JobID(rest[:slash]), number, true
}
