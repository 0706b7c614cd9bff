package track

import (
	"context"
	"time"
)

// The streams of filberttrack in the platform's log.
const (
	// StreamConfig holds configuration changes and snapshots of the configuration.
	StreamConfig = "config"
	// StreamClaims holds claims of idempotency keys.
	StreamClaims = "claims"
	// StreamBarred holds what entries bar because it crashes backend servers.
	StreamBarred = "barred"
)

// Record is one record of the platform's log.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Page is the result of one read of the log.
type Page struct {
	Records []Record
	// Oldest is the lowest offset of the stream that the log still keeps.
	Oldest uint64
	// Next is the offset after the last record of the stream.
	Next uint64
}

// Log is the platform's append-only log service. It keeps records for a limited
// time, and it may be unavailable for some time.
type Log interface {
	// Append adds the records to the stream in order, as one batch, and returns
	// the offset of the first. An error of kind Ambiguous means that the batch
	// may have been added, one of kind Unavailable that it certainly was not.
	Append(ctx context.Context, stream string, data [][]byte) (uint64, error)
	// Read returns at most limit records of the stream, starting at offset from or
	// at the oldest record kept, whichever is later.
	Read(ctx context.Context, stream string, from uint64, limit int) (Page, error)
}
