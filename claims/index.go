package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"filberttrack.example/track"
)

// State is the state of a key at one place in the log.
type State int

// The states of a key.
const (
	// Open means that no claim holds the key.
	Open State = iota
	// Held means that a claim holds the key.
	Held
	// Gone means that the outcome under the key can no longer be told.
	Gone
	// Hidden means that records about the key have expired unread.
	Hidden
	// Told means that the log holds the answer to the work under the key.
	Told
	// Past means that the key is older than keys are remembered.
	Past
)

// View is what an index tells about a key.
type View struct {
	State State
	// Claim, Offset and ReadAt describe the claim that holds the key.
	Claim  Claim
	Offset uint64
	ReadAt time.Time
	// Result is the offset of the answer; set if the state is Told.
	Result uint64
}

// keyHash identifies a key.
type keyHash [16]byte

// bodyHash identifies the hash of a body.
type bodyHash [16]byte

// place is an incarnation of an agent; the index keeps each of them once.
type place struct {
	agent       track.InstanceID
	address     string
	incarnation track.Incarnation
}

// holding is the state of one key.
type holding struct {
	state  State
	hidden bool
	offset uint64
	// result is the offset of the answer, if the log holds it.
	result uint64
	// latest is the log time of the claim that holds the key or, where the key
	// is hidden, of its last claim; in nanoseconds since the Unix epoch.
	latest int64
	// readAt is the time of reading, in nanoseconds since the Unix epoch.
	readAt  int64
	body    bodyHash
	attempt track.AttemptID
	place   *place
	stamp   track.Stamp
}

// due names a key that may be forgotten once its time has passed.
type due struct {
	key keyHash
	// time is in nanoseconds since the Unix epoch.
	time int64
}

// Index replays the stream of claims. Two indexes that have read to the same
// offset agree on each key, unless one of them says Hidden. It is not safe for
// concurrent use.
type Index struct {
	settings Settings
	keys     map[keyHash]*holding
	places   map[place]*place
	dues     []due
	// next is the offset of the next record to read.
	next uint64
	// now is the log time of the last record.
	now time.Time
	// fresh is set until the first record after a gap has been read.
	fresh bool
	// horizon is the log time after which no record was missed.
	horizon time.Time
	// invalid counts the records that could not be decoded.
	invalid uint64
}

// NewIndex returns an index that has read nothing.
func NewIndex(settings Settings) *Index {
	return &Index{settings: settings, keys: map[keyHash]*holding{}, places: map[place]*place{}}
}

// Next returns the offset of the next record to read.
func (x *Index) Next() uint64 {
	return x.next
}

// Len returns the number of keys that the index remembers.
func (x *Index) Len() int {
	return len(x.keys)
}

// Invalid returns the number of records that could not be decoded.
func (x *Index) Invalid() uint64 {
	return x.invalid
}

// Apply replays a page that was read from Next on.
func (x *Index) Apply(page track.Page, readAt time.Time) {
	if page.Oldest > x.next {
		x.reset(page.Oldest)
	}
	for _, r := range page.Records {
		if r.Offset < x.next {
			continue
		}
		if r.Offset > x.next {
			x.reset(r.Offset)
		}
		x.apply(r, readAt)
		x.next = r.Offset + 1
	}
	x.forget()
}

// reset starts afresh after records have expired unread.
func (x *Index) reset(next uint64) {
	clear(x.keys)
	clear(x.places)
	x.dues = nil
	x.next = next
	x.fresh = true
}

func (x *Index) apply(r track.Record, readAt time.Time) {
	if r.Time.After(x.now) {
		x.now = r.Time
	}
	if x.fresh {
		x.fresh = false
		x.horizon = x.now
	}
	record, err := Decode(r.Data)
	if err != nil {
		x.invalid++
		return
	}
	switch record.Kind {
	case KindClaim:
		x.claim(*record.Claim, r.Offset, readAt)
	case KindClose:
		x.close(*record.Close, r.Offset)
	}
}

func (x *Index) claim(c Claim, offset uint64, readAt time.Time) {
	minted, timed := c.Key.MintedAt()
	if timed && (minted.Before(x.now.Add(-x.settings.KeyRetention)) || minted.After(x.now.Add(x.settings.KeyLead))) {
		return
	}
	hash := c.Key.hash()
	held := x.recall(hash)
	if held != nil && held.state != Open {
		if held.hidden {
			x.extend(hash, held)
		}
		return
	}
	hidden := !x.covers(minted, timed)
	if held != nil {
		hidden = held.hidden
	}
	held = &holding{
		state: Held, hidden: hidden, offset: offset, readAt: readAt.UnixNano(),
		body: hashOf(c.BodySHA256), attempt: c.Attempt, place: x.place(c), stamp: c.Stamp,
	}
	x.keys[hash] = held
	x.extend(hash, held)
}

func (x *Index) close(c Close, offset uint64) {
	held := x.recall(c.Key.hash())
	if held == nil || held.offset != c.Offset {
		return
	}
	switch {
	case held.state == Held && c.Reason == Barred:
		held.state = Open
	case held.state == Held && c.Reason == Forsaken:
		held.state = Gone
	case (held.state == Held || held.state == Gone) && c.Reason == Finished:
		held.state = Told
		held.result = offset
	}
}

// Look returns what is known of a key.
func (x *Index) Look(key Key) View {
	held := x.recall(key.hash())
	minted, timed := key.MintedAt()
	open := held == nil || held.state == Open
	switch {
	case open && timed && minted.Before(x.now.Add(-x.settings.KeyRetention)):
		return View{State: Past}
	case held == nil && !x.covers(minted, timed), held != nil && held.hidden:
		return View{State: Hidden}
	case open:
		return View{State: Open}
	}
	return View{
		State:  held.state,
		Offset: held.offset,
		Result: held.result,
		ReadAt: time.Unix(0, held.readAt),
		Claim: Claim{
			Key: key, Attempt: held.attempt, Stamp: held.stamp,
			Agent: held.place.agent, Address: held.place.address, Incarnation: held.place.incarnation,
		},
	}
}

// SameBody reports whether the claim that holds the key has the given hash.
func (x *Index) SameBody(key Key, bodySHA256 string) bool {
	held := x.recall(key.hash())
	return held != nil && held.body == hashOf(bodySHA256)
}

// covers reports whether the index has read each claim of a key that counts at
// the log's present time.
func (x *Index) covers(minted time.Time, timed bool) bool {
	if x.fresh {
		return false
	}
	if x.horizon.IsZero() {
		return true
	}
	if timed {
		return minted.Add(-x.settings.KeyLead).After(x.horizon)
	}
	return x.now.Add(-x.settings.memory()).After(x.horizon)
}

// recall returns the state of a key unless it has to be forgotten.
func (x *Index) recall(hash keyHash) *holding {
	held := x.keys[hash]
	if held == nil || x.since(held.latest) > x.settings.memory() {
		return nil
	}
	return held
}

func (x *Index) extend(hash keyHash, held *holding) {
	held.latest = x.now.UnixNano()
	x.dues = append(x.dues, due{key: hash, time: held.latest})
}

// since returns the log time that has passed since then.
func (x *Index) since(then int64) time.Duration {
	return time.Duration(x.now.UnixNano() - then)
}

// forget frees the memory of keys whose time has passed.
func (x *Index) forget() {
	gone := 0
	for _, d := range x.dues {
		if x.since(d.time) <= x.settings.memory() {
			break
		}
		if held := x.keys[d.key]; held != nil && held.latest == d.time {
			delete(x.keys, d.key)
		}
		gone++
	}
	x.dues = x.dues[gone:]
}

func (x *Index) place(c Claim) *place {
	p := place{agent: c.Agent, address: c.Address, incarnation: c.Incarnation}
	if known := x.places[p]; known != nil {
		return known
	}
	x.places[p] = &p
	return &p
}

func hashOf(bodySHA256 string) bodyHash {
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
