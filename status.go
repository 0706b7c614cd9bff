package track

import "time"

// Status is the state of an instance that operators see.
type Status struct {
	Instance    Instance
	Incarnation Incarnation
	Release     string
	Started     time.Time
	Ready       bool
	Stopping    bool
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// ConfigAge is the time since the instance last knew that it had the newest
	// configuration; negative if it never knew.
	ConfigAge time.Duration
	// LogFault is the error of the last read of the log; empty if it succeeded.
	LogFault string
	// OpenRequests is the number of requests or attempts in progress.
	OpenRequests int
	// Isolated is set if other availability zones are known and none can be
	// reached.
	Isolated bool
	// ListAge is the time since the instance list was last read; negative if it was
	// never read.
	ListAge time.Duration
	// Zones lists the other availability zones.
	Zones []ZoneStatus
	// Peers lists the other instances of the same zone.
	Peers []PeerStatus
	// Servers lists the backend servers to which an entry routes requests.
	Servers []BackendServer
}

// ZoneStatus is the state of another availability zone as an entry knows it.
type ZoneStatus struct {
	Zone AvailabilityZone
	// State is Unknown, Linked or Cut.
	State string
	// Silence is the time since the last message from the zone.
	Silence time.Duration
}

// PeerStatus is the state of another instance of the same zone as an instance knows it.
type PeerStatus struct {
	ID   InstanceID
	Role Role
	// State is Live, Suspect, Leaving or BackendServerDown.
	State string
	// Silence is the time since the last message from the instance.
	Silence time.Duration
}
