package track

import "time"

// Status is what an instance tells operators about itself.
type Status struct {
	Instance    Instance
	Incarnation Incarnation
	Release     string
	Started     time.Time
	Ready       bool
	Stopping    bool
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// ConfigAge is the time since the instance knew that no newer configuration
	// existed; negative if it never knew.
	ConfigAge time.Duration
	// LogFault is the failure of the last read of the log; empty if it worked.
	LogFault string
	// OpenRequests is the number of requests or attempts in progress.
	OpenRequests int
	// Isolated is set if other availability zones are known and none can be
	// reached.
	Isolated bool
	// ListAge is the time since the instance list was last read; negative if it
	// never was.
	ListAge time.Duration
	// Zones lists the other availability zones.
	Zones []ZoneStatus
	// Peers lists the other instances of the own zone.
	Peers []PeerStatus
	// Servers lists the backend servers that an entry routes to.
	Servers []BackendServer
}

// ZoneStatus is what an entry knows of another availability zone.
type ZoneStatus struct {
	Zone AvailabilityZone
	// State is Unknown, Linked or Cut.
	State string
	// Silence is the time since the zone was last heard.
	Silence time.Duration
}

// PeerStatus is what an instance knows of another one of its zone.
type PeerStatus struct {
	ID   InstanceID
	Role Role
	// State is Live, Suspect, Leaving or BackendServerDown.
	State   string
	Silence time.Duration
}
