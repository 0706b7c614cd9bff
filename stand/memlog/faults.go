package memlog

import "time"

// faults are the simulated faults that are active. Counts are the numbers of appends
// that are still to fail in that way.
type faults struct {
	unavailable   bool
	responseDelay time.Duration
	readLag       time.Duration
	loseResponses int
	loseRequests  int
	holdAppends   int
}

// heldAppend is an append that failed for its caller and takes effect at Release.
type heldAppend struct {
	stream string
	data   [][]byte
}

// SetUnavailable sets whether all calls fail with kind Unavailable.
func (l *Log) SetUnavailable(unavailable bool) {
	l.setFault(func(f *faults) { f.unavailable = unavailable })
}

// SetDelay sets the delay of every response. Appends take effect before the delay.
func (l *Log) SetDelay(delay time.Duration) {
	l.setFault(func(f *faults) { f.responseDelay = delay })
}

// SetReadLag hides records from readers until they are at least lag old.
func (l *Log) SetReadLag(lag time.Duration) {
	l.setFault(func(f *faults) { f.readLag = lag })
}

// LoseResponses makes the next n appends take effect but fail with kind Ambiguous, as
// if their responses were lost.
func (l *Log) LoseResponses(n int) {
	l.setFault(func(f *faults) { f.loseResponses = n })
}

// LoseRequests makes the next n appends fail with kind Ambiguous and have no effect.
func (l *Log) LoseRequests(n int) {
	l.setFault(func(f *faults) { f.loseRequests = n })
}

// HoldAppends makes the next n appends fail with kind Ambiguous and delays their effect
// until Release is called, so that they take effect after their callers gave up.
func (l *Log) HoldAppends(n int) {
	l.setFault(func(f *faults) { f.holdAppends = n })
}

// ReleaseAppends applies the appends delayed by Hold, in order.
func (l *Log) ReleaseAppends() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.held {
		l.appendRecords(a.stream, a.data)
	}
	l.held = nil
}

// Expire immediately drops the records of the stream below the offset, regardless
// of their age.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if before <= s.oldest {
		return
	}
	s.dropOldest(int(min(before, s.nextOffset()) - s.oldest))
}

func (l *Log) setFault(set func(*faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(&l.faults)
}

// takeFault decrements the count of a fault. It reports false if the count was 0
// already.
func takeFault(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
