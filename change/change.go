package change

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// The bounds of a change.
const (
	// MaxEdits is the number of edits that one change may hold.
	MaxEdits = 256
	// MaxValueBytes is the length that the JSON of one object may have.
	MaxValueBytes = 64 << 10
	// HistoryEdits is the number of edits that the history of a state holds.
	HistoryEdits = 2048
)

// Change is a set of edits that take effect together or not at all.
type Change struct {
	// ID names the change. A change that is appended twice counts once.
	ID       string
	Operator string
	// Time is the clock of the instance that published the change. It is shown
	// to operators and decides nothing.
	Time time.Time
	// Seen is the Seq of the state that the author knew.
	Seen  uint64
	Edits []Edit
}

// Edit creates, replaces or deletes one object.
type Edit struct {
	Key
	// Replaces is the version of the object that the edit replaces; 0 means that
	// the object must not exist.
	Replaces uint64
	// Value is the JSON of the new object; null deletes the object.
	Value json.RawMessage
}

// Key names an object of the configuration.
type Key struct {
	Kind ObjectKind
	Name string
}

// String returns the kind and the name.
func (k Key) String() string {
	return fmt.Sprintf("%s %q", k.Kind, k.Name)
}

// Compare orders keys by kind and name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Deletes reports whether the edit deletes its object.
func (e Edit) Deletes() bool {
	return isNull(e.Value)
}

func isNull(value json.RawMessage) bool {
	return len(value) == 0 || string(value) == "null"
}

// Reason says why a change was refused.
type Reason string

// The reasons for a refusal. An accepted change has none.
const (
	// Conflict means that another change came first.
	Conflict Reason = "Conflict"
	// Stale means that the change was made too many decisions ago.
	Stale Reason = "Stale"
	// NotValid means that the resulting configuration would not be valid.
	NotValid Reason = "NotValid"
)

// Verdict is the decision on a change.
type Verdict struct {
	Accepted bool
	// Version is the version of the configuration after the decision.
	Version uint64
	Reason  Reason
	// Detail describes a refusal for operators.
	Detail string
	// Winner is set on a conflict and names the change that came first.
	Winner *Author
}

// Author says which change made an object what it is.
type Author struct {
	// Version is the version of the configuration that the change led to.
	Version  uint64
	ChangeID string
	Operator string
	Time     time.Time
}

// Decided is a change with its verdict, as the history keeps it.
type Decided struct {
	// Seq numbers the decided changes from 1.
	Seq     uint64
	Change  Change
	Verdict Verdict
	// Before holds, for each edit of an accepted change, the item replaced; its
	// value is null if there was none.
	Before []Item
}

// Item is an object of the configuration and the change that made it.
type Item struct {
	Key
	Value json.RawMessage
	Author
}
