// Package config reads and checks the two settings files of a controller: the platform's
// (TOML, see Platform) and the operators' (JSON with a schema, see Operator). It is used
// once, when the program starts; nothing changes the settings afterwards.
//
// LoadPlatform and LoadOperator read files and name them in every error; ParsePlatform and
// ParseOperator read bytes. An invalid setting is a *SettingError, which names the setting by
// its path in the file.
//
// Some settings have names that differ from the terms of the code. Struct tags map them, so no
// other package needs them:
//
//	setting                code
//
//	host_name              HostName, the name of the controller
//	location               Location, the zone of the controller
//	mesh_addr              PeerAddr, where other controllers reach this one
//	seeds                  Seeds, the other controllers
//	external.state         External.KV, the key-value store
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
