package batch

// Return says how a request relates to a refusal of its client's earlier attempt.
type Return int

const (
	// FirstAttempt means that no earlier refusal is known.
	FirstAttempt Return = iota
	// Booked means that the client returns when it was told to, or later.
	Booked
	// Early means that the client returns before the time that it was told.
	Early
)

// String returns the name for logs and metrics.
func (r Return) String() string {
	switch r {
	case Booked:
		return "Booked"
	case Early:
		return "Early"
	}
	return "FirstAttempt"
}

// lateOrder orders late requests in the queue: those that return when they were told to come first, and clients that
// retry too early gain nothing by it.
func (r Return) lateOrder() int {
	switch r {
	case Booked:
		return 0
	case Early:
		return 2
	}
	return 1
}
