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
	// Servers lists the backend servers that an entry routes to.
	Servers []BackendServer
}
