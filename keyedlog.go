package track

import (
	"context"
	"time"
)

// KeyedRecord is the newest record of a key. A record without a value deletes the
// key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64
}

// KeyedPage is a page of the newest records of a topic.
type KeyedPage struct {
	Records []KeyedRecord
	// More is set if there are further records after the last key of this page.
	More bool
	// End is the offset after the last record of the topic.
	End uint64
	// Era is the generation of the log: it increases each time the log comes back from an
	// older copy of itself, which lacks the latest records and gives out their offsets
	// again. Offsets are comparable within an era only. It is 0 if the log doesn't say.
	Era uint64 `json:",omitempty"`
	// Age is the time since the page is known to have been up to date, if it comes from the mirror
	// of a peer; nil if it comes from the log itself.
	Age *time.Duration `json:",omitempty"`
}

// LogPosition is a position in a topic of the platform's log.
type LogPosition struct {
	Era uint64
	// Offset is the offset after the last record read.
	Offset uint64
}

// After reports whether the position is later than the other one.
func (p LogPosition) After(other LogPosition) bool {
	return p.Era > other.Era || p.Era == other.Era && p.Offset > other.Offset
}

// KeyedLog is the interface to compacted topics of the platform's log, which keep
// the newest record of each key.
type KeyedLog interface {
	// Newest returns the newest records of the topic, starting after the given key.
	Newest(ctx context.Context, topic, after string) (KeyedPage, error)
	// Read returns the records from offset from on. If there are none, it waits for
	// one, at most for the time wait. An error of kind Refused means that the records
	// have expired.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (KeyedPage, error)
	// Put appends a record. An error of kind Ambiguous means that the record may have
	// been appended or may still be.
	Put(ctx context.Context, topic, key string, value []byte) error
}
