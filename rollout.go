package sapphiredrum

// Version names a version of a target's program.
type Version string

// RolloutOrder is an operator's order to move a pool's traffic to the targets of a version.
type RolloutOrder struct {
	Pool GroupName
	To   Version
	// Duration is the time limit.
	Duration Millis
	// Row is the version of the order's row. Each write of the row is a new order.
	Row uint64
}

// RolloutState is the state of a rollout that operators and the platform see.
type RolloutState string

// The states of a rollout.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)
