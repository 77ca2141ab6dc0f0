// Package wire defines the MessagePack bodies that controllers exchange with users,
// workers and the cloud, and validates the jobs that users submit.
// PROTOCOL-ospreystile.md specifies the bodies.
//
// The types are grouped by the party that controllers exchange them with: users.go,
// workers.go and cloud.go. Every other package uses these types; none builds or parses a
// body itself. The package holds no state and does no I/O. All of its functions are safe
// for concurrent use.
//
// Unless a type says otherwise, a field that is missing from a body has its zero value,
// and an unknown field is ignored.
//
// The protocol has its own vocabulary, which appears in the struct tags and string
// constants of this package only. Everywhere else the code uses the standard terms:
//
//	protocol                   code
//
//	nameId                     ID of a job or machine
//	workclass                  Class of a job
//	crew                       Team
//	shape: batch               job array (neither Service nor Gang)
//	shape: standing            Service, runs until it is cancelled
//	shape: ensemble            Gang, all tasks start together
//	urgency                    Priority
//	leg, legs                  task, Tasks (their count or their list)
//	try                        Attempt
//	accelerators               GPUs
//	bundle                     Image
//	pullGb, pullGbPerS         ImageGB, FetchGBps
//	pulling, flushing          TaskFetching, TaskCheckpointing
//	frame, frames              machine Type, Types
//	hall, halls                Zone, Zones
//	loaner                     Spot (preemptible)
//	expectS                    EstimateS
//	snapshotEveryS, snapshotS  CheckpointEveryS, CheckpointS
//	stored                     Checkpointed
//	dueS                       DeadlineS
//	waitsOn                    DependsOn
//	withdraw, withdrawn        cancel, JobCancelled
//	host, hosts                machine
//	tenure                     Incarnation of a worker's agent
//	tick                       Sequence number of an agent's message
//	baton                      FencingToken
//	warningS                   SpotNoticeS
//	orders                     Commands
//	leewayS                    GraceS
//	steward                    Target of a redirect
//	label                      Name of a machine type
//	localGb                    CacheGB
//	hourly, marketPrice        Price, SpotPrice
//	readyS                     BootS
//	booking                    RequestID of a provision request
//	number                     Count
//	hasNext                    More
//
// Fields whose names end in S are in seconds, and those whose names end in GB in gigabytes.
package wire
