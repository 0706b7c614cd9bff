package track

import "context"

// InstanceID names one instance of the system or of a backend server. It is
// unique within the deployment and is never used again for another instance.
type InstanceID string

// Incarnation rises each time a process starts under the same InstanceID.
type Incarnation uint64

// AvailabilityZone names an availability zone, for example "rivera".
type AvailabilityZone string

// Region names a region, for example "norte".
type Region string

// Role says what an instance does.
type Role string

// The roles of instances.
const (
	RoleEntry         Role = "Entry"
	RoleAgent         Role = "Agent"
	RoleBackendServer Role = "BackendServer"
)

// InstanceState is the state of an instance as the platform's list gives it.
type InstanceState string

// The states of an instance.
const (
	Live    InstanceState = "Live"
	Leaving InstanceState = "Leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID     InstanceID
	Role   Role
	Region Region
	Zone   AvailabilityZone
	// Address is the host and port on which the instance takes calls from
	// other instances.
	Address string
	State   InstanceState
	// Serves names the model or service behind an agent; empty for an entry.
	Serves string
	// Group names the rank group behind an agent, if any.
	Group string
	// Ranks is the number of ranks of the group behind an agent.
	Ranks int
}

// InstanceList is the platform's list of instances. It lags behind the truth.
type InstanceList interface {
	// Instances returns all instances that the platform knows of.
	Instances(ctx context.Context) ([]Instance, error)
}
