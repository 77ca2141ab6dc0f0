// Package wire defines the MessagePack bodies that controllers exchange with users,
// workers and the cloud, and checks the jobs that users submit. PROTOCOL-ospreystile.md
// specifies the bodies.
//
// The types are grouped by the partner that exchanges them: users.go, workers.go and
// cloud.go. Every other package uses these types; none builds or parses a body itself.
// The package holds no state, does no I/O, and all of its functions may be called from
// any goroutine.
//
// The protocol has words of its own. They appear in the tags and string constants of
// this package only. Everywhere else the code uses the standard terms:
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
//	tick                       Sequence of an agent's messages
//	baton                      FencingToken
//	warningS                   SpotNoticeS
//	orders                     Commands
//	leewayS                    GraceS
//	steward                    Leader
//	label                      Name of a machine type
//	localGb                    CacheGB
//	hourly, marketPrice        Price, SpotPrice
//	readyS                     BootS
//	booking                    RequestID of a provision request
//	number                     Count
//	hasNext                    More
//
// Names that end in S are in seconds, names that end in GB in gigabytes.
package wire
