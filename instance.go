package track

import "context"

// InstanceID identifies one instance of the system or of a backend server. It is
// unique within the deployment and never reused for another instance.
type InstanceID string

// Incarnation is a number that increases each time a process starts under the same
// InstanceID.
type Incarnation uint64

// AvailabilityZone is the name of an availability zone, for example "rivera".
type AvailabilityZone string

// Region is the name of a region, for example "norte".
type Region string

// Role is the part that an instance plays in a deployment.
type Role string

// The roles of instances.
const (
	RoleEntry         Role = "Entry"
	RoleAgent         Role = "Agent"
	RoleBackendServer Role = "BackendServer"
)

// InstanceState is the state of an instance according to the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "Live"
	InstanceLeaving InstanceState = "Leaving"
)

// Instance is an instance as the platform's list describes it.
type Instance struct {
	ID     InstanceID
	Role   Role
	Region Region
	Zone   AvailabilityZone
	// Address is the host and port at which the instance accepts calls from other
	// instances.
	Address string
	State   InstanceState
	// Serves is the name of the model or plain service behind an agent; empty for an
	// entry.
	Serves string
	// Group is the name of the rank group behind an agent; empty if there is none.
	Group string
	// Ranks is the number of ranks in the group behind an agent.
	Ranks int
}

// InstanceList is the platform's list of instances. It lags behind the actual state.
type InstanceList interface {
	// Instances returns all instances that the platform knows.
	Instances(ctx context.Context) ([]Instance, error)
}
