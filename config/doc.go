// Package config reads and checks the two settings files of a controller: the platform's
// (TOML, see Platform) and the operators' (JSON with a schema, see Operator). The files are
// read when the program starts, and the settings do not change afterwards.
//
// LoadPlatform and LoadOperator read files and name them in every error. ParsePlatform and
// ParseOperator read bytes. The error of an invalid setting is a *SettingError, which names the
// setting by its path in the file.
//
// Some settings have names that differ from the terms of the code. Struct tags map the names, so
// that no other package needs to know them:
//
//	setting                code
//
//	host_name              HostName, the name of the controller
//	location               Location, the zone of the controller
//	mesh_addr              PeerAddr, where other controllers reach this one
//	seeds                  Seeds, the other controllers
//	external.state         External.KV, the address of the key-value store
//	settings.state         Settings.KV, the limits of the key-value store
//	settings.objectives    service-level objectives
//	teams: cpus, gpus      nominal quota
//	teams: *_max           nominal quota and borrowing limit together
//	workers.report_s       HeartbeatIntervalS
//	workers.cancel_s       CancelDeadlineS
//	fleet.idle_s           IdleTimeoutS
//	fleet.spot_idle        SpotIdleFactor
//	fleet.headroom_idle_s  HeadroomIdleTimeoutS
//	zone_return            ZoneRecovery
//
// Names that end in S are in seconds, MS in milliseconds, KB in 1024 bytes, MB in 1024 KB,
// RPS in requests per second.
package config
