// Package memlog provides an in-memory stand-in for the platform's append-only
// log service, with faults that tests switch on.
package memlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// DefaultPageLimit is the page limit of a log whose settings give none.
const DefaultPageLimit = 1000

var (
	errAway       = errors.New("log service is away")
	errAnswerLost = errors.New("answer lost")
	errEmptyBatch = errors.New("batch is empty")
	errLimit      = errors.New("limit must be positive")
)

// Settings are the limits of a log.
type Settings struct {
	// Retention is the time for which records are kept; 0 keeps them forever.
	Retention time.Duration
	// PageLimit bounds the records of one page; 0 means DefaultPageLimit.
	PageLimit int
}

// Counts are the calls that a log answered since it was made.
type Counts struct {
	Appends uint64
	Reads   uint64
	// RecordsAppended and BytesAppended count what the appends added.
	RecordsAppended uint64
	BytesAppended   uint64
	// RecordsRead and BytesRead count what the reads returned.
	RecordsRead uint64
	BytesRead   uint64
}

// Log implements track.Log. It is safe for concurrent use.
type Log struct {
	clock    clockwork.Clock
	settings Settings

	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	held    []heldBatch
	counts  Counts
}

var _ track.Log = (*Log)(nil)

type stream struct {
	// oldest is the offset of records[0], or of the next record if there is none.
	oldest  uint64
	records []track.Record
}

func (s *stream) next() uint64 {
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
	offset, delay, err := l.append(name, data)
	if waitErr := l.wait(ctx, delay); waitErr != nil && !track.IsKind(err, track.Unavailable) {
		return 0, track.Fail(op, track.Ambiguous, waitErr)
	}
	return offset, err
}

// append applies the batch and returns the delay of the answer.
func (l *Log) append(name string, data [][]byte) (uint64, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Appends++
	switch {
	case l.faults.away:
		return 0, l.faults.delay, track.Fail("append", track.Unavailable, errAway)
	case take(&l.faults.loseRequests):
		return 0, l.faults.delay, track.Fail("append", track.Ambiguous, errAnswerLost)
	case take(&l.faults.hold):
		l.held = append(l.held, heldBatch{stream: name, data: clone(data)})
		return 0, l.faults.delay, track.Fail("append", track.Ambiguous, errAnswerLost)
	}
	offset := l.add(name, clone(data))
	if take(&l.faults.loseAnswers) {
		return 0, l.faults.delay, track.Fail("append", track.Ambiguous, errAnswerLost)
	}
	return offset, l.faults.delay, nil
}

func (l *Log) add(name string, data [][]byte) uint64 {
	s := l.stream(name)
	first := s.next()
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
		return track.Page{}, track.Fail(op, track.Invalid, errLimit)
	}
	page, delay, err := l.read(name, from, limit)
	if waitErr := l.wait(ctx, delay); waitErr != nil {
		return track.Page{}, track.Fail(op, track.TimedOut, waitErr)
	}
	return page, err
}

func (l *Log) read(name string, from uint64, limit int) (track.Page, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Reads++
	if l.faults.away {
		return track.Page{}, l.faults.delay, track.Fail("read", track.Unavailable, errAway)
	}
	s := l.stream(name)
	l.trim(s)
	visible := l.visible(s)
	page := track.Page{Oldest: s.oldest, Next: s.oldest + uint64(len(visible))}
	from = max(from, s.oldest)
	if from >= page.Next {
		return page, l.faults.delay, nil
	}
	rest := visible[from-s.oldest:]
	rest = rest[:min(len(rest), limit, l.settings.PageLimit)]
	page.Records = append(page.Records, rest...)
	for _, r := range rest {
		l.counts.RecordsRead++
		l.counts.BytesRead += uint64(len(r.Data))
	}
	return page, l.faults.delay, nil
}

// visible returns the records that readers see already.
func (l *Log) visible(s *stream) []track.Record {
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

// trim removes the records that passed their retention.
func (l *Log) trim(s *stream) {
	if l.settings.Retention == 0 {
		return
	}
	limit := l.clock.Now().Add(-l.settings.Retention)
	n := 0
	for n < len(s.records) && !s.records[n].Time.After(limit) {
		n++
	}
	s.drop(n)
}

func (s *stream) drop(n int) {
	s.records = s.records[n:]
	s.oldest += uint64(n)
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// Counts returns the calls answered so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Log) wait(ctx context.Context, delay time.Duration) error {
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

func clone(data [][]byte) [][]byte {
	out := make([][]byte, len(data))
	for i, d := range data {
		out[i] = append([]byte(nil), d...)
	}
	return out
}
