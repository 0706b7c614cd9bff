package change

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"filberttrack.example/track"
)

// Format is the version of the record encoding. A new format must not be written
// before all instances can read it.
const Format = 1

// recordKind is the kind of a record, which determines the type of its body.
type recordKind string

const (
	changeRecord   recordKind = "Change"
	snapshotRecord recordKind = "Snapshot"
)

// envelope is the encoding of a record around its body. Sum is the hexadecimal
// SHA-256 of the body's bytes.
type envelope struct {
	Format int
	Kind   recordKind
	Sum    string
	Body   json.RawMessage
}

// Record is a decoded record of the log: either a change or a snapshot.
type Record struct {
	Change   *Change
	Snapshot *Snapshot
}

// Snapshot is a record of the log that holds a complete state.
type Snapshot struct {
	// Next is the offset of the first record of the log that is not yet part of
	// the state.
	Next    uint64
	Seq     uint64
	Version uint64
	// Checksum is the checksum of the state. The body is also covered by the
	// checksum of the record.
	Checksum string
	// Body is the canonical encoding of the state.
	Body json.RawMessage
}

// State decodes the state and validates it as Unmarshal does. Errors have the
// kind Corrupt.
func (s *Snapshot) State() (*State, error) {
	state, err := Unmarshal(s.Body)
	if err != nil {
		return nil, err
	}
	if state.Checksum() != s.Checksum || state.Seq() != s.Seq {
		return nil, track.Fail("decode snapshot", Corrupt, errors.New("the checksum of the state does not match"))
	}
	return state, nil
}

// EncodeChange returns the record of a change. The error has the kind Invalid
// if the change exceeds the limits.
func EncodeChange(c Change) ([]byte, error) {
	if err := checkLimits(c); err != nil {
		return nil, track.Fail("encode change", Invalid, err)
	}
	return encodeRecord(changeRecord, c)
}

// EncodeSnapshot returns the record of a snapshot.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	return encodeRecord(snapshotRecord, s)
}

func encodeRecord(kind recordKind, content any) ([]byte, error) {
	body, err := json.Marshal(content)
	if err != nil {
		return nil, track.Fail("encode record", Invalid, err)
	}
	data, err := json.Marshal(envelope{Format: Format, Kind: kind, Sum: HexSHA256(body), Body: body})
	if err != nil {
		return nil, track.Fail("encode record", Invalid, err)
	}
	return data, nil
}

// HexSHA256 returns the hexadecimal SHA-256 of data.
func HexSHA256(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Decode decodes a record of the log. The error has the kind Corrupt if the
// record is damaged, truncated or of an unknown format.
func Decode(data []byte) (Record, error) {
	record, err := decode(data)
	if err != nil {
		return Record{}, track.Fail("decode record", Corrupt, err)
	}
	return record, nil
}

func decode(data []byte) (Record, error) {
	env, err := decodeStrict[envelope](data)
	if err != nil {
		return Record{}, err
	}
	if env.Format != Format {
		return Record{}, fmt.Errorf("format %d, want %d", env.Format, Format)
	}
	if env.Sum != HexSHA256(env.Body) {
		return Record{}, errors.New("the checksum does not match")
	}
	switch env.Kind {
	case changeRecord:
		return decodeChange(env.Body)
	case snapshotRecord:
		return decodeSnapshot(env.Body)
	default:
		return Record{}, fmt.Errorf("unknown kind %q", env.Kind)
	}
}

func decodeChange(body []byte) (Record, error) {
	c, err := decodeStrict[Change](body)
	if err != nil {
		return Record{}, err
	}
	if err := checkLimits(c); err != nil {
		return Record{}, err
	}
	c.Time = c.Time.UTC()
	for i := range c.Edits {
		if c.Edits[i].Value, err = compact(c.Edits[i].Value); err != nil {
			return Record{}, err
		}
	}
	return Record{Change: &c}, nil
}

func decodeSnapshot(body []byte) (Record, error) {
	s, err := decodeStrict[Snapshot](body)
	if err != nil {
		return Record{}, err
	}
	return Record{Snapshot: &s}, nil
}

// compact returns the JSON in the form in which json.Marshal writes it inside
// other values, so that a state has the same bytes before and after encoding.
func compact(value json.RawMessage) (json.RawMessage, error) {
	if isNull(value) {
		return json.RawMessage("null"), nil
	}
	return json.Marshal(value)
}

// checkLimits checks the sizes and the time of a change. A change that exceeds
// the limits is not evaluated at all.
func checkLimits(c Change) error {
	if c.ID == "" || len(c.ID) > maxNameLength {
		return fmt.Errorf("a change ID has 1 to %d characters", maxNameLength)
	}
	if len(c.Operator) > maxNameLength {
		return fmt.Errorf("an operator's name has at most %d characters", maxNameLength)
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return fmt.Errorf("a change holds 1 to %d edits, not %d", MaxEdits, len(c.Edits))
	}
	if year := c.Time.UTC().Year(); year < 1 || year > 9999 {
		return fmt.Errorf("the time has the year %d, which RFC 3339 can't express", year)
	}
	for _, e := range c.Edits {
		if len(e.Name) > maxNameLength || len(e.Kind) > maxNameLength || len(e.Value) > MaxValueBytes {
			return errors.New("an edit is too long")
		}
	}
	return nil
}

// encodedState is the canonical encoding of a state. Floor is the Seq of the last
// decision that has been dropped from the history.
type encodedState struct {
	Version uint64
	Seq     uint64
	Floor   uint64
	Items   []Item
	History []Decision
}

// Marshal returns the canonical encoding of the state: equal states have equal
// bytes.
func (s *State) Marshal() ([]byte, error) {
	data, err := json.Marshal(encodedState{
		Version: s.version, Seq: s.seq, Floor: s.droppedSeq,
		Items: s.Items(), History: s.history,
	})
	if err != nil {
		return nil, track.Fail("encode state", Invalid, err)
	}
	return data, nil
}

// Unmarshal decodes a state and validates all of it: the order of objects and
// decisions, each object, the references between objects, and that the encoding
// is canonical. Errors have the kind Corrupt.
func Unmarshal(data []byte) (*State, error) {
	s, err := unmarshal(data)
	if err != nil {
		return nil, track.Fail("decode state", Corrupt, err)
	}
	return s, nil
}

func unmarshal(data []byte) (*State, error) {
	b, err := decodeStrict[encodedState](data)
	if err != nil {
		return nil, err
	}
	s := NewState()
	s.version, s.seq, s.droppedSeq, s.history = b.Version, b.Seq, b.Floor, b.History
	if err := s.checkHistory(); err != nil {
		return nil, err
	}
	if err := s.loadItems(b.Items); err != nil {
		return nil, err
	}
	reencoded, err := s.Marshal()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, data) {
		return nil, errors.New("the encoding is not canonical")
	}
	return s, nil
}

func (s *State) checkHistory() error {
	if s.version > s.seq || s.seq-s.droppedSeq != uint64(len(s.history)) {
		return errors.New("version, sequence number and history length are inconsistent")
	}
	for i, d := range s.history {
		if d.Seq != s.droppedSeq+uint64(i)+1 {
			return fmt.Errorf("found decision %d instead of decision %d", d.Seq, s.droppedSeq+uint64(i)+1)
		}
		if err := checkLimits(d.Change); err != nil {
			return err
		}
		if d.Verdict.Accepted && len(d.Before) != len(d.Change.Edits) {
			return fmt.Errorf("decision %d lacks the items that it replaced", d.Seq)
		}
		s.historyEdits += len(d.Change.Edits)
		s.digests.addDecision(d)
	}
	return nil
}

func (s *State) loadItems(items []Item) error {
	s.config.Version = s.version
	for i, item := range items {
		if i > 0 && items[i-1].Compare(item.Key) >= 0 {
			return fmt.Errorf("%s is out of order", item.Key)
		}
		if item.Version == 0 || item.Version > s.version {
			return fmt.Errorf("%s has version %d", item.Key, item.Version)
		}
		kind, ok := collections[item.Kind]
		if !ok {
			return fmt.Errorf("%s: unknown kind of object", item.Key)
		}
		canonical, err := kind.canonical(item.Name, item.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		if err := kind.put(s.config, canonical); err != nil {
			return err
		}
		s.putItem(item)
	}
	return errors.Join(checkUniqueTokens(s.config.Accounts), checkProfileReferences(s.config))
}
