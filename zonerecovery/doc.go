// Package zonerecovery detects zone outages and limits how work returns to a zone once its
// machines are reachable again.
//
// It performs no I/O. The scheduler's core creates one Manager for each term of a leader, and
// is its only caller. The core passes in the time and the health of the machines, requests
// admission before it starts a task in a zone, and writes the records that the Manager
// returns. A Manager never reads a clock, starts a goroutine, or changes a job or a
// machine. No type in the package is safe for concurrent use.
//
// Settings is the section of the operators' settings (package config) that concerns zone recovery.
// Settings.Policy validates it and converts it to the Policy that a Manager applies. Status is what
// operators are shown.
//
// Manager is the type to read first. It has one state machine for each zone:
//
//	serving -> suspect -> outage -> recovering -> serving
//
// docs/zone-return.md gives the reasons for the rules.
package zonerecovery
