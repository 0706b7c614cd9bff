package change

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// Limits of a change and of the history.
const (
	// MaxEdits is the maximum number of edits in one change.
	MaxEdits = 256
	// MaxValueBytes is the maximum length of the JSON of one object.
	MaxValueBytes = 64 << 10
	// MaxHistoryEdits is the maximum number of edits in the history of a state.
	MaxHistoryEdits = 2048
)

// Change is a set of edits that take effect together or not at all.
type Change struct {
	// ID identifies the change. A change that is appended to the log twice
	// takes effect once.
	ID       string
	Operator string
	// Time is the time of publication by the clock of the publishing instance.
	// It is shown to operators and does not affect the verdict.
	Time time.Time
	// BaseSeq is the Seq of the state on which the change is based.
	BaseSeq uint64 `json:"Seen"`
	Edits   []Edit
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

// Key identifies an object of the configuration.
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

// Reasons for refusing a change. An accepted change has none.
const (
	// Conflict means that another change modified the object first.
	Conflict Reason = "Conflict"
	// Stale means that the change was made too many decisions ago: the history
	// no longer reaches back to the state on which it is based.
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
	// Detail describes a refusal for operators. It is part of the encoded state
	// and of its checksum, so the texts must be the same on all instances.
	Detail string
	// Winner is set on a conflict and identifies the change that modified the
	// object first, if it is still known.
	Winner *Revision
}

// Revision identifies the change that led to the present value of an object.
type Revision struct {
	// Version is the version of the configuration that the change led to.
	Version  uint64
	ChangeID string
	Operator string
	Time     time.Time
}

// Decision is a change and its verdict, as kept in the history.
type Decision struct {
	// Seq is the number of the decision, starting at 1.
	Seq     uint64
	Change  Change
	Verdict Verdict
	// Before holds the replaced item for each edit of an accepted change. The
	// value of an item is null if the object did not exist.
	Before []Item
}

// Item is an object of the configuration and the change that led to its value.
type Item struct {
	Key
	Value json.RawMessage
	Revision
}
