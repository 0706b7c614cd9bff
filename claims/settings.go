package claims

import "time"

// Settings holds the timeouts, intervals and limits for the claims of an entry.
type Settings struct {
	// KeyRetention is how long a key is remembered, measured in log time, which is
	// the time that the log gives its records.
	KeyRetention time.Duration
	// MaxKeyLead is how far the timestamp of a key may lie ahead of log time.
	MaxKeyLead time.Duration
	// TimedKeysOnly refuses keys that are not a UUIDv7.
	TimedKeysOnly bool
	// MaxKeys is the number of remembered keys from which on the entry makes no
	// further claims.
	MaxKeys int
	// MinAppendInterval is the minimum time between two appends.
	MinAppendInterval time.Duration
	// LogTimeout limits the duration of one call of the log.
	LogTimeout time.Duration
	// LogDownAfter is how long all reads must have failed before the log counts as
	// down.
	LogDownAfter time.Duration
	// LogDownClaimTimeout limits the wait for an append while the log counts as down.
	LogDownClaimTimeout time.Duration
	// ClaimTimeout limits the wait for a claim to be appended and read back.
	ClaimTimeout time.Duration
	// MaxBatchRecords is the number of records from which an append takes no further
	// requests from the queue.
	MaxBatchRecords int
	// AppendQueueSize limits the number of queued append requests.
	AppendQueueSize int
	// MaxPageRecords limits the number of records of one read.
	MaxPageRecords int
	// PollInterval is the time between reads while no caller waits for a record.
	PollInterval time.Duration
	// ReadBackInterval is the time between reads while a caller waits for a claim to
	// be read back.
	ReadBackInterval time.Duration
	// HeartbeatInterval is the time without a record after which a heartbeat record
	// is appended.
	HeartbeatInterval time.Duration
	// BarDelay is the minimum age of another entry's claim before its attempt is
	// barred from starting. Without it, a concurrent retry would bar an attempt that
	// is about to start.
	BarDelay time.Duration
	// MaxAgentQueries, AgentQueryTimeout and AgentQueryBackoff control how often an
	// agent is asked for the state of an attempt, how long each query may take and
	// the wait after a failed one.
	MaxAgentQueries   int
	AgentQueryTimeout time.Duration
	AgentQueryBackoff time.Duration
	// MaxClaimsPerRequest limits the number of claims that one request may append.
	MaxClaimsPerRequest int
}

// Defaults returns the default settings of an entry.
func Defaults() Settings {
	return Settings{
		KeyRetention:        18 * time.Hour,
		MaxKeyLead:          time.Minute,
		MaxKeys:             500_000,
		MinAppendInterval:   25 * time.Millisecond,
		LogTimeout:          time.Second,
		LogDownAfter:        time.Second,
		LogDownClaimTimeout: 200 * time.Millisecond,
		ClaimTimeout:        3 * time.Second,
		MaxBatchRecords:     256,
		AppendQueueSize:     1024,
		MaxPageRecords:      1000,
		PollInterval:        250 * time.Millisecond,
		ReadBackInterval:    20 * time.Millisecond,
		HeartbeatInterval:   time.Minute,
		BarDelay:            500 * time.Millisecond,
		MaxAgentQueries:     3,
		AgentQueryTimeout:   2 * time.Second,
		AgentQueryBackoff:   200 * time.Millisecond,
		MaxClaimsPerRequest: 4,
	}
}

// claimRetention returns how long a claim is remembered, in log time from its
// record on. A key may be ahead of log time by MaxKeyLead when it is claimed.
func (s Settings) claimRetention() time.Duration {
	return s.KeyRetention + s.MaxKeyLead
}
