package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"filberttrack.example/track"
)

// State is the result of all decided changes of the log. It is not safe for
// concurrent use. The configurations and decisions that it returns are never
// modified afterwards.
type State struct {
	version uint64
	seq     uint64
	// droppedSeq is the Seq of the last decision dropped from the history.
	droppedSeq uint64
	items      map[Key]Item
	history    []Decision
	// historyEdits is the number of historyEdits in the history.
	historyEdits int
	config       *track.Config
	digests      stateDigests
}

// NewState returns an empty state, as it is before the first change.
func NewState() *State {
	return &State{items: make(map[Key]Item), config: &track.Config{}, digests: newStateDigests()}
}

// Version returns the number of accepted changes.
func (s *State) Version() uint64 { return s.version }

// Seq returns the number of decided changes.
func (s *State) Seq() uint64 { return s.seq }

// Config returns the configuration. The caller must not modify it.
func (s *State) Config() *track.Config { return s.config }

// History returns the decisions in the history, oldest first.
func (s *State) History() []Decision { return slices.Clone(s.history) }

// Item returns the object with the given key.
func (s *State) Item(key Key) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Items returns all objects, sorted by key.
func (s *State) Items() []Item {
	return slices.SortedFunc(maps.Values(s.items), func(a, b Item) int { return a.Compare(b.Key) })
}

// Clone returns an independent copy.
func (s *State) Clone() *State {
	c := *s
	c.items = maps.Clone(s.items)
	c.history = slices.Clone(s.history)
	c.digests = s.digests.clone()
	return &c
}

// FindDecision returns the decision on a change, if the history still has it.
func (s *State) FindDecision(changeID string) (Decision, bool) {
	for _, d := range slices.Backward(s.history) {
		if d.Change.ID == changeID {
			return d, true
		}
	}
	return Decision{}, false
}

// DecisionsSince returns the decisions after the given Seq. ok is false if the
// history does not reach back that far or the Seq has not been reached yet.
func (s *State) DecisionsSince(seq uint64) (decisions []Decision, ok bool) {
	if seq < s.droppedSeq || seq > s.seq {
		return nil, false
	}
	return slices.Clone(s.history[seq-s.droppedSeq:]), true
}

// Apply decides a change and applies it if it is accepted. A change that is
// still in the history has no further effect; its first decision is returned.
func (s *State) Apply(c Change) Decision {
	if d, ok := s.FindDecision(c.ID); ok {
		return d
	}
	d := Decision{Seq: s.seq + 1, Change: c}
	next, verdict := s.evaluate(c)
	if verdict.Accepted {
		verdict.Version = s.version + 1
		d.Before = s.itemsBefore(c.Edits)
		s.commit(c, next, verdict.Version)
	} else {
		verdict.Version = s.version
	}
	d.Verdict = verdict
	s.seq = d.Seq
	s.appendHistory(d)
	return d
}

// evaluate returns the verdict and, for an accepted change, the new
// configuration.
func (s *State) evaluate(c Change) (*track.Config, Verdict) {
	if c.BaseSeq < s.droppedSeq {
		return nil, refusal(Stale, fmt.Sprintf("made after decision %d; decisions up to %d are forgotten",
			c.BaseSeq, s.droppedSeq))
	}
	if conflict := s.findConflict(c.Edits); conflict != nil {
		return nil, *conflict
	}
	next, err := s.applyEdits(c.Edits)
	if err != nil {
		return nil, refusal(NotValid, err.Error())
	}
	return next, Verdict{Accepted: true}
}

func refusal(reason Reason, detail string) Verdict {
	return Verdict{Reason: reason, Detail: detail}
}

// findConflict returns the refusal for the first edit that does not replace the
// current version of its object, or nil if there is none.
func (s *State) findConflict(edits []Edit) *Verdict {
	for _, e := range edits {
		item, exists := s.items[e.Key]
		if exists && item.Version == e.Replaces || !exists && e.Replaces == 0 {
			continue
		}
		v := refusal(Conflict, fmt.Sprintf("%s: the change replaces version %d, but it does not exist", e.Key, e.Replaces))
		winner, known := s.lastRevision(e.Key, item, exists)
		if known {
			v.Winner = &winner
			v.Detail = s.describeConflict(e, winner, exists)
		}
		return &v
	}
	return nil
}

// lastRevision returns the revision that led to the present object, or the one
// that deleted it if the history still has it.
func (s *State) lastRevision(key Key, item Item, exists bool) (Revision, bool) {
	if exists {
		return item.Revision, true
	}
	for _, d := range slices.Backward(s.history) {
		if d.Verdict.Accepted && slices.ContainsFunc(d.Change.Edits, func(e Edit) bool { return e.Key == key }) {
			return revisionOf(d.Change, d.Verdict.Version), true
		}
	}
	return Revision{}, false
}

func (s *State) describeConflict(e Edit, winner Revision, exists bool) string {
	verb := "changed"
	if !exists {
		verb = "deleted"
	}
	return fmt.Sprintf("%s: the change replaces version %d, but %s %s it at version %d by change %s",
		e.Key, e.Replaces, winner.Operator, verb, winner.Version, winner.ChangeID)
}

func revisionOf(c Change, version uint64) Revision {
	return Revision{Version: version, ChangeID: c.ID, Operator: c.Operator, Time: c.Time}
}

// applyEdits returns a new configuration with the edits applied. The error says
// why the configuration would not be valid.
func (s *State) applyEdits(edits []Edit) (*track.Config, error) {
	next := *s.config
	next.Version = s.version + 1
	changedKinds := make(map[ObjectKind]bool)
	editedKeys := make(map[Key]bool)
	for _, e := range edits {
		if editedKeys[e.Key] {
			return nil, fmt.Errorf("%s is edited twice", e.Key)
		}
		editedKeys[e.Key] = true
		if err := applyEdit(&next, e, changedKinds); err != nil {
			return nil, fmt.Errorf("%s: %w", e.Key, err)
		}
	}
	if changedKinds[AccountKind] {
		if err := checkUniqueTokens(next.Accounts); err != nil {
			return nil, err
		}
	}
	return &next, checkProfileReferences(&next)
}

func applyEdit(cfg *track.Config, e Edit, changedKinds map[ObjectKind]bool) error {
	kind, ok := collections[e.Kind]
	if !ok {
		return errors.New("unknown kind of object")
	}
	if !changedKinds[e.Kind] {
		kind.cloneObjects(cfg)
		changedKinds[e.Kind] = true
	}
	if e.Deletes() {
		if e.Replaces == 0 {
			return errors.New("a deletion names the version that it deletes")
		}
		kind.remove(cfg, e.Name)
		return nil
	}
	value, err := kind.canonical(e.Name, e.Value)
	if err != nil {
		return err
	}
	return kind.put(cfg, value)
}

func (s *State) itemsBefore(edits []Edit) []Item {
	before := make([]Item, len(edits))
	for i, e := range edits {
		before[i] = Item{Key: e.Key}
		if item, ok := s.items[e.Key]; ok {
			before[i] = item
		}
	}
	return before
}

// commit replaces the objects and the configuration by those after an accepted
// change.
func (s *State) commit(c Change, next *track.Config, version uint64) {
	for _, e := range c.Edits {
		if e.Deletes() {
			delete(s.items, e.Key)
			s.digests.removeItem(e.Key)
			continue
		}
		value, err := collections[e.Kind].canonical(e.Name, e.Value)
		if err != nil {
			panic("change: an accepted edit has no canonical value: " + err.Error())
		}
		s.putItem(Item{Key: e.Key, Value: value, Revision: revisionOf(c, version)})
	}
	s.version = version
	s.config = next
}

func (s *State) putItem(item Item) {
	s.items[item.Key] = item
	s.digests.putItem(item)
}

// appendHistory adds a decision to the history and drops the oldest ones while it
// holds more than MaxHistoryEdits edits.
func (s *State) appendHistory(d Decision) {
	s.history = append(s.history, d)
	s.digests.addDecision(d)
	s.historyEdits += len(d.Change.Edits)
	for s.historyEdits > MaxHistoryEdits {
		s.historyEdits -= len(s.history[0].Change.Edits)
		s.droppedSeq = s.history[0].Seq
		s.history = s.history[1:]
		s.digests.dropOldestDecision()
	}
}
