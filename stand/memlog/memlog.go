// Package memlog simulates the platform's append-only log service in memory. Tests
// can make it fail in various ways.
package memlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// DefaultPageLimit is the default of Settings.PageLimit.
const DefaultPageLimit = 1000

var (
	errServiceDown  = errors.New("log service is down")
	errResponseLost = errors.New("response lost")
	errEmptyBatch   = errors.New("batch is empty")
	errInvalidLimit = errors.New("limit must be positive")
)

// Settings are the limits of a log.
type Settings struct {
	// Retention is the time for which a record is kept; 0 keeps records forever.
	Retention time.Duration
	// PageLimit is the maximum number of records in a page; 0 means DefaultPageLimit.
	PageLimit int
}

// Counts are totals since the log was created.
type Counts struct {
	// Appends and Reads are the numbers of calls, including those that failed because
	// of a simulated fault.
	Appends uint64
	Reads   uint64
	// RecordsAppended and BytesAppended are the number and size of the records added.
	RecordsAppended uint64
	BytesAppended   uint64
	// RecordsRead and BytesRead are the number and size of the records read.
	RecordsRead uint64
	BytesRead   uint64
}

// Log is a simulated log service. It implements track.Log and is safe for concurrent
// use.
type Log struct {
	clock    clockwork.Clock
	settings Settings

	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	held    []heldAppend
	counts  Counts
}

var _ track.Log = (*Log)(nil)

type stream struct {
	// oldest is the offset of records[0], or of the next record if records is empty.
	oldest  uint64
	records []track.Record
}

func (s *stream) nextOffset() uint64 {
	return s.oldest + uint64(len(s.records))
}

// New returns an empty log.
func New(clock clockwork.Clock, settings Settings) *Log {
	if settings.PageLimit <= 0 {
		settings.PageLimit = DefaultPageLimit
	}
	return &Log{clock: clock, settings: settings, streams: map[string]*stream{}}
}

// Append implements track.Log.
func (l *Log) Append(ctx context.Context, name string, data [][]byte) (uint64, error) {
	const op = "append"
	if len(data) == 0 {
		return 0, track.Fail(op, track.Invalid, errEmptyBatch)
	}
	if ctx.Err() != nil {
		return 0, track.Fail(op, track.Unavailable, context.Cause(ctx))
	}
	offset, delay, err := l.appendBatch(name, data)
	if waitErr := l.sleep(ctx, delay); waitErr != nil && !track.IsKind(err, track.Unavailable) {
		return 0, track.Fail(op, track.Ambiguous, waitErr)
	}
	return offset, err
}

// appendBatch appends the batch, subject to the active faults. It returns the offset
// of its first record and the delay of the response.
func (l *Log) appendBatch(name string, data [][]byte) (uint64, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Appends++
	switch {
	case l.faults.unavailable:
		return 0, l.faults.responseDelay, track.Fail("append", track.Unavailable, errServiceDown)
	case takeFault(&l.faults.loseRequests):
		return 0, l.faults.responseDelay, track.Fail("append", track.Ambiguous, errResponseLost)
	case takeFault(&l.faults.holdAppends):
		l.held = append(l.held, heldAppend{stream: name, data: cloneBatch(data)})
		return 0, l.faults.responseDelay, track.Fail("append", track.Ambiguous, errResponseLost)
	}
	offset := l.appendRecords(name, cloneBatch(data))
	if takeFault(&l.faults.loseResponses) {
		return 0, l.faults.responseDelay, track.Fail("append", track.Ambiguous, errResponseLost)
	}
	return offset, l.faults.responseDelay, nil
}

// appendRecords adds the records to a stream and returns the offset of the first.
func (l *Log) appendRecords(name string, data [][]byte) uint64 {
	s := l.stream(name)
	first := s.nextOffset()
	now := l.clock.Now()
	for i, d := range data {
		s.records = append(s.records, track.Record{Offset: first + uint64(i), Time: now, Data: d})
		l.counts.RecordsAppended++
		l.counts.BytesAppended += uint64(len(d))
	}
	return first
}

// Read implements track.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int) (track.Page, error) {
	const op = "read"
	if limit <= 0 {
		return track.Page{}, track.Fail(op, track.Invalid, errInvalidLimit)
	}
	page, delay, err := l.readPage(name, from, limit)
	if waitErr := l.sleep(ctx, delay); waitErr != nil {
		return track.Page{}, track.Fail(op, track.TimedOut, waitErr)
	}
	return page, err
}

// readPage returns a page of a stream and the delay of the response.
func (l *Log) readPage(name string, from uint64, limit int) (track.Page, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Reads++
	if l.faults.unavailable {
		return track.Page{}, l.faults.responseDelay, track.Fail("read", track.Unavailable, errServiceDown)
	}
	s := l.stream(name)
	l.dropExpired(s)
	visible := l.visibleRecords(s)
	page := track.Page{Oldest: s.oldest, Next: s.oldest + uint64(len(visible))}
	from = max(from, s.oldest)
	if from >= page.Next {
		return page, l.faults.responseDelay, nil
	}
	records := visible[from-s.oldest:]
	records = records[:min(len(records), limit, l.settings.PageLimit)]
	page.Records = append(page.Records, records...)
	for _, r := range records {
		l.counts.RecordsRead++
		l.counts.BytesRead += uint64(len(r.Data))
	}
	return page, l.faults.responseDelay, nil
}

// visibleRecords returns the records that are at least as old as the read lag.
func (l *Log) visibleRecords(s *stream) []track.Record {
	if l.faults.readLag == 0 {
		return s.records
	}
	newest := l.clock.Now().Add(-l.faults.readLag)
	n := len(s.records)
	for n > 0 && s.records[n-1].Time.After(newest) {
		n--
	}
	return s.records[:n]
}

// dropExpired drops the records whose retention has passed.
func (l *Log) dropExpired(s *stream) {
	if l.settings.Retention == 0 {
		return
	}
	cutoff := l.clock.Now().Add(-l.settings.Retention)
	n := 0
	for n < len(s.records) && !s.records[n].Time.After(cutoff) {
		n++
	}
	s.dropOldest(n)
}

// dropOldest drops the n oldest records.
func (s *stream) dropOldest(n int) {
	s.records = s.records[n:]
	s.oldest += uint64(n)
}

// stream returns the stream with the name, which it creates if necessary.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// Counts returns the totals since the log was created.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// sleep waits for the delay. If ctx ends first, it returns its cause.
func (l *Log) sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	select {
	case <-l.clock.After(delay):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func cloneBatch(data [][]byte) [][]byte {
	clone := make([][]byte, len(data))
	for i, d := range data {
		clone[i] = append([]byte(nil), d...)
	}
	return clone
}
