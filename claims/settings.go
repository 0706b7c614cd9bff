package claims

import "time"

// Settings bounds the claims of an entry.
type Settings struct {
	// KeyRetention is how long a key is remembered, by the log's time.
	KeyRetention time.Duration
	// KeyLead is how far a key's own time may lie ahead of the log's.
	KeyLead time.Duration
	// TimedKeysOnly refuses keys that are no UUIDv7.
	TimedKeysOnly bool
	// MaxKeys bounds the keys that are remembered.
	MaxKeys int
	// AppendInterval is the least time between two appends.
	AppendInterval time.Duration
	// AppendTimeout bounds one call of the log.
	AppendTimeout time.Duration
	// AwayAfter is the time for which all reads fail until the log counts as away.
	AwayAfter time.Duration
	// AwayTimeout bounds the wait for a claim while the log counts as away.
	AwayTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim to be appended and read back.
	ClaimTimeout time.Duration
	// MaxBatch bounds the records of one append.
	MaxBatch int
	// QueueSize bounds the appends that wait.
	QueueSize int
	// PageLimit bounds the records of one read.
	PageLimit int
	// PollInterval is the time between reads while nobody waits.
	PollInterval time.Duration
	// ReadBackInterval is the time between reads while a claim waits to be read
	// back.
	ReadBackInterval time.Duration
	// MarkInterval is the time without a record after which a mark is appended.
	MarkInterval time.Duration
	// BarDelay is the age of another entry's claim from which its attempt is
	// barred, so that concurrent retries do not bar what is about to start.
	BarDelay time.Duration
	// RecallAttempts, RecallTimeout and RecallBackoff govern the question to an
	// agent what became of an attempt.
	RecallAttempts int
	RecallTimeout  time.Duration
	RecallBackoff  time.Duration
	// MaxClaims bounds the claims of one request.
	MaxClaims int
}

// Defaults returns the settings of an entry that names none.
func Defaults() Settings {
	return Settings{
		KeyRetention:     18 * time.Hour,
		KeyLead:          time.Minute,
		MaxKeys:          500_000,
		AppendInterval:   25 * time.Millisecond,
		AppendTimeout:    time.Second,
		AwayAfter:        time.Second,
		AwayTimeout:      200 * time.Millisecond,
		ClaimTimeout:     3 * time.Second,
		MaxBatch:         256,
		QueueSize:        1024,
		PageLimit:        1000,
		PollInterval:     250 * time.Millisecond,
		ReadBackInterval: 20 * time.Millisecond,
		MarkInterval:     time.Minute,
		BarDelay:         500 * time.Millisecond,
		RecallAttempts:   3,
		RecallTimeout:    2 * time.Second,
		RecallBackoff:    200 * time.Millisecond,
		MaxClaims:        4,
	}
}

// memory is how long the claim of a key is remembered after its record.
func (s Settings) memory() time.Duration {
	return s.KeyRetention + s.KeyLead
}
