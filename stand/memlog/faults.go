package memlog

import "time"

// faults are the faults switched on at present.
type faults struct {
	away         bool
	delay        time.Duration
	readLag      time.Duration
	loseAnswers  int
	loseRequests int
	hold         int
}

// heldBatch is an append whose caller gave up and that has not landed yet.
type heldBatch struct {
	stream string
	data   [][]byte
}

// SetAway makes all calls fail with kind Unavailable, or ends that.
func (l *Log) SetAway(away bool) {
	l.set(func(f *faults) { f.away = away })
}

// SetDelay delays every answer. Appends take effect before the delay.
func (l *Log) SetDelay(delay time.Duration) {
	l.set(func(f *faults) { f.delay = delay })
}

// SetReadLag hides records from readers until they are as old as lag.
func (l *Log) SetReadLag(lag time.Duration) {
	l.set(func(f *faults) { f.readLag = lag })
}

// LoseAnswers lets the next n appends take effect and fail with kind Ambiguous.
func (l *Log) LoseAnswers(n int) {
	l.set(func(f *faults) { f.loseAnswers = n })
}

// LoseRequests drops the next n appends and fails them with kind Ambiguous.
func (l *Log) LoseRequests(n int) {
	l.set(func(f *faults) { f.loseRequests = n })
}

// Hold fails the next n appends with kind Ambiguous and keeps them back until
// Release, so that they land after their callers gave up.
func (l *Log) Hold(n int) {
	l.set(func(f *faults) { f.hold = n })
}

// Release lets the appends held back land, in order.
func (l *Log) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.held {
		l.add(b.stream, b.data)
	}
	l.held = nil
}

// Expire drops the records of the stream below the offset now, whatever their
// age.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if before <= s.oldest {
		return
	}
	s.drop(int(min(before, s.next()) - s.oldest))
}

func (l *Log) set(change func(*faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// take uses up one occurrence of a counted fault.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
