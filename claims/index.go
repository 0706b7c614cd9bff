package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"filberttrack.example/track"
)

// State is the state of an idempotency key at one offset of the log.
type State int

// The states of a key.
const (
	// StateUnclaimed means that no claim holds the key.
	StateUnclaimed State = iota
	// StateClaimed means that a claim holds the key.
	StateClaimed
	// StateOutcomeLost means that the agent no longer knows the outcome of the
	// request with the key.
	StateOutcomeLost
	// StateRecordsMissed means that records about the key may have expired from the
	// log before they were read.
	StateRecordsMissed
	// StateAnswered means that the log holds the answer to the request with the key.
	StateAnswered
	// StateTooOld means that the timestamp of the key is more than KeyRetention ago.
	StateTooOld
)

// KeyInfo is what an Index knows of a key.
type KeyInfo struct {
	State State
	// Claim, ClaimOffset and ReadAt are the claim that holds the key, its offset in
	// the log and the local time at which it was read. They are set in the states
	// StateClaimed, StateOutcomeLost and StateAnswered.
	Claim       Claim
	ClaimOffset uint64
	ReadAt      time.Time
	// ResultOffset is the offset of the record with the answer; set in StateAnswered.
	ResultOffset uint64
}

// keyHash is a truncated hash of an idempotency key.
type keyHash [16]byte

// bodyHash is a truncated hash of a claim's BodySHA256.
type bodyHash [16]byte

// agentProcess is one incarnation of an agent. The index stores each only once, to
// save memory.
type agentProcess struct {
	id          track.InstanceID
	address     string
	incarnation track.Incarnation
}

// keyState is what the index stores of one key.
type keyState struct {
	state State
	// recordsMissed is set if earlier records about the key may have been missed.
	recordsMissed bool
	claimOffset   uint64
	// resultOffset is the offset of the answer if the log holds it.
	resultOffset uint64
	// claimedAt is the log time of the claim that holds the key or, if records of
	// the key were missed, of its last claim; in nanoseconds since the Unix epoch.
	claimedAt int64
	// readAt is the local time at which the claim was read, in nanoseconds since the
	// Unix epoch.
	readAt  int64
	body    bodyHash
	attempt track.AttemptID
	agent   *agentProcess
	stamp   track.Stamp
}

// expiry is a key that is removed once its retention has passed, unless it was
// claimed again.
type expiry struct {
	key keyHash
	// claimedAt is the log time of the claim, in nanoseconds since the Unix epoch.
	claimedAt int64
}

// Index is the state of all keys after applying the records of the claim stream in
// order. Two indexes that have read up to the same offset agree on each key, unless
// one of them returns StateRecordsMissed. An Index is not safe for concurrent use.
type Index struct {
	settings Settings
	keys     map[keyHash]*keyState
	agents   map[agentProcess]*agentProcess
	// expiries holds the keys in the order in which they expire.
	expiries []expiry
	// next is the offset of the next record to read.
	next uint64
	// logTime is the latest time of any record read.
	logTime time.Time
	// afterGap is set from a gap in the records until the first record after it has
	// been read.
	afterGap bool
	// completeSince is the log time after which no record was missed; zero if none
	// ever was.
	completeSince time.Time
	// invalidRecords counts the records that could not be decoded.
	invalidRecords uint64
}

// NewIndex returns an empty index that starts at offset 0.
func NewIndex(settings Settings) *Index {
	return &Index{settings: settings, keys: map[keyHash]*keyState{}, agents: map[agentProcess]*agentProcess{}}
}

// Next returns the offset of the next record to read.
func (ix *Index) Next() uint64 {
	return ix.next
}

// Len returns the number of keys in the index.
func (ix *Index) Len() int {
	return len(ix.keys)
}

// InvalidRecords returns the number of records that could not be decoded.
func (ix *Index) InvalidRecords() uint64 {
	return ix.invalidRecords
}

// Apply applies a page that was read at the local time readAt, starting at the
// offset Next. It skips records that were applied before. If records are missing
// before those of the page, it forgets all keys.
func (ix *Index) Apply(page track.Page, readAt time.Time) {
	if page.Oldest > ix.next {
		ix.reset(page.Oldest)
	}
	for _, r := range page.Records {
		if r.Offset < ix.next {
			continue
		}
		if r.Offset > ix.next {
			ix.reset(r.Offset)
		}
		ix.applyRecord(r, readAt)
		ix.next = r.Offset + 1
	}
	ix.removeExpired()
}

// reset removes all keys, after records have expired from the log before they were
// read.
func (ix *Index) reset(next uint64) {
	clear(ix.keys)
	clear(ix.agents)
	ix.expiries = nil
	ix.next = next
	ix.afterGap = true
}

func (ix *Index) applyRecord(r track.Record, readAt time.Time) {
	if r.Time.After(ix.logTime) {
		ix.logTime = r.Time
	}
	if ix.afterGap {
		ix.afterGap = false
		ix.completeSince = ix.logTime
	}
	record, err := Decode(r.Data)
	if err != nil {
		ix.invalidRecords++
		return
	}
	switch record.Kind {
	case KindClaim:
		ix.applyClaim(*record.Claim, r.Offset, readAt)
	case KindClose:
		ix.applyClose(*record.Close, r.Offset)
	}
}

func (ix *Index) applyClaim(c Claim, offset uint64, readAt time.Time) {
	created, timed := c.Key.CreationTime()
	if timed && (created.Before(ix.logTime.Add(-ix.settings.KeyRetention)) ||
		created.After(ix.logTime.Add(ix.settings.MaxKeyLead))) {
		return
	}
	hash := c.Key.hash()
	known := ix.find(hash)
	if known != nil && known.state != StateUnclaimed {
		if known.recordsMissed {
			ix.renew(hash, known)
		}
		return
	}
	recordsMissed := !ix.hasAllClaims(created, timed)
	if known != nil {
		recordsMissed = known.recordsMissed
	}
	known = &keyState{
		state: StateClaimed, recordsMissed: recordsMissed, claimOffset: offset, readAt: readAt.UnixNano(),
		body: hashBody(c.BodySHA256), attempt: c.Attempt, agent: ix.internAgent(c), stamp: c.Stamp,
	}
	ix.keys[hash] = known
	ix.renew(hash, known)
}

func (ix *Index) applyClose(c Close, offset uint64) {
	known := ix.find(c.Key.hash())
	if known == nil || known.claimOffset != c.Offset {
		return
	}
	switch {
	case known.state == StateClaimed && c.Reason == ReasonBarred:
		known.state = StateUnclaimed
	case known.state == StateClaimed && c.Reason == ReasonForgotten:
		known.state = StateOutcomeLost
	case (known.state == StateClaimed || known.state == StateOutcomeLost) && c.Reason == ReasonFinished:
		known.state = StateAnswered
		known.resultOffset = offset
	}
}

// Lookup returns what is known of a key.
func (ix *Index) Lookup(key Key) KeyInfo {
	known := ix.find(key.hash())
	created, timed := key.CreationTime()
	unclaimed := known == nil || known.state == StateUnclaimed
	switch {
	case unclaimed && timed && created.Before(ix.logTime.Add(-ix.settings.KeyRetention)):
		return KeyInfo{State: StateTooOld}
	case known == nil && !ix.hasAllClaims(created, timed), known != nil && known.recordsMissed:
		return KeyInfo{State: StateRecordsMissed}
	case unclaimed:
		return KeyInfo{State: StateUnclaimed}
	}
	return KeyInfo{
		State:        known.state,
		ClaimOffset:  known.claimOffset,
		ResultOffset: known.resultOffset,
		ReadAt:       time.Unix(0, known.readAt),
		Claim: Claim{
			Key: key, Attempt: known.attempt, Stamp: known.stamp,
			Agent: known.agent.id, Address: known.agent.address, Incarnation: known.agent.incarnation,
		},
	}
}

// HasSameBody reports whether the claim that holds the key has the given
// BodySHA256.
func (ix *Index) HasSameBody(key Key, bodySHA256 string) bool {
	known := ix.find(key.hash())
	return known != nil && known.body == hashBody(bodySHA256)
}

// hasAllClaims reports whether the index has read every claim of a key that is
// still within its retention. The parameters are the results of Key.CreationTime.
func (ix *Index) hasAllClaims(created time.Time, timed bool) bool {
	if ix.afterGap {
		return false
	}
	if ix.completeSince.IsZero() {
		return true
	}
	if timed {
		return created.Add(-ix.settings.MaxKeyLead).After(ix.completeSince)
	}
	return ix.logTime.Add(-ix.settings.claimRetention()).After(ix.completeSince)
}

// find returns the state of a key, or nil if there is none or it has expired.
func (ix *Index) find(hash keyHash) *keyState {
	known := ix.keys[hash]
	if known == nil || ix.age(known.claimedAt) > ix.settings.claimRetention() {
		return nil
	}
	return known
}

// renew starts the retention of a key at the current log time.
func (ix *Index) renew(hash keyHash, known *keyState) {
	known.claimedAt = ix.logTime.UnixNano()
	ix.expiries = append(ix.expiries, expiry{key: hash, claimedAt: known.claimedAt})
}

// age returns the log time that has passed since t, which is in nanoseconds since
// the Unix epoch.
func (ix *Index) age(t int64) time.Duration {
	return time.Duration(ix.logTime.UnixNano() - t)
}

// removeExpired removes the keys whose retention has passed.
func (ix *Index) removeExpired() {
	expired := 0
	for _, e := range ix.expiries {
		if ix.age(e.claimedAt) <= ix.settings.claimRetention() {
			break
		}
		if known := ix.keys[e.key]; known != nil && known.claimedAt == e.claimedAt {
			delete(ix.keys, e.key)
		}
		expired++
	}
	ix.expiries = ix.expiries[expired:]
}

// internAgent returns the one stored copy of the agent of a claim.
func (ix *Index) internAgent(c Claim) *agentProcess {
	a := agentProcess{id: c.Agent, address: c.Address, incarnation: c.Incarnation}
	if known := ix.agents[a]; known != nil {
		return known
	}
	ix.agents[a] = &a
	return &a
}

func hashBody(bodySHA256 string) bodyHash {
	digest := sha256.Sum256([]byte(bodySHA256))
	return bodyHash(digest[:16])
}

func (k Key) hash() keyHash {
	h := sha256.New()
	for _, part := range []string{k.Account, k.Service, k.Name} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return keyHash(h.Sum(nil)[:16])
}
