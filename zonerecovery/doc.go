// Package zonerecovery decides when a zone is in outage, and how its work returns once its
// machines are reachable again.
//
// It is a state machine without I/O. The scheduler's core owns one Manager for each term of a
// leader, and is its only caller. The core passes in the time and what is known of the
// machines, asks before it starts a task in a zone, and writes the records that the Manager
// hands out. A Manager never reads a clock, starts a goroutine, or changes a job or a
// machine. No type in it is safe for use by several goroutines.
//
// Manager is the type to read first. It keeps one state machine for each zone:
//
//	serving -> suspect -> outage -> recovering -> serving
//
// docs/zone-return.md gives the reasons for the rules.
package zonerecovery
