package track

import (
	"context"
	"time"
)

// KeyedRecord is the newest record of a key. A record without a value drops the
// key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64
}

// KeyedPage is a page of the newest records of a topic.
type KeyedPage struct {
	Records []KeyedRecord
	// More is set if records follow after the last key of this page.
	More bool
	// End is the offset after the last record of the topic.
	End uint64
}

// KeyedLog is the port to topics of the platform's log that retain the newest
// record of each key.
type KeyedLog interface {
	// Newest returns the newest records of the topic, after the key given.
	Newest(ctx context.Context, topic, after string) (KeyedPage, error)
	// Read returns the records from an offset on. It waits for a record up to the
	// time given. An error of kind Refused means that the records have expired.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (KeyedPage, error)
	// Put appends a record. An error of kind Ambiguous means that it may have been
	// added, or may still be.
	Put(ctx context.Context, topic, key string, value []byte) error
}
