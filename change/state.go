package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"filberttrack.example/track"
)

// State is what the decided changes of the log amount to. It is not safe for
// concurrent use; the configurations and decisions that it hands out are never
// modified afterwards.
type State struct {
	version uint64
	seq     uint64
	// floor is the Seq of the last decision that the history has dropped.
	floor   uint64
	items   map[Key]Item
	history []Decided
	// edits is the number of edits in the history.
	edits  int
	config *track.Config
	sums   sums
}

// New returns the state before the first change.
func New() *State {
	return &State{items: make(map[Key]Item), config: &track.Config{}, sums: newSums()}
}

// Version returns the number of accepted changes.
func (s *State) Version() uint64 { return s.version }

// Seq returns the number of decided changes.
func (s *State) Seq() uint64 { return s.seq }

// Config returns the configuration. The caller must not modify it.
func (s *State) Config() *track.Config { return s.config }

// History returns the decisions that are remembered, oldest first.
func (s *State) History() []Decided { return slices.Clone(s.history) }

// Item returns an object with its author.
func (s *State) Item(key Key) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// Items returns all objects in the order of their keys.
func (s *State) Items() []Item {
	return slices.SortedFunc(maps.Values(s.items), func(a, b Item) int { return a.Compare(b.Key) })
}

// Clone returns an independent copy.
func (s *State) Clone() *State {
	c := *s
	c.items = maps.Clone(s.items)
	c.history = slices.Clone(s.history)
	c.sums = s.sums.clone()
	return &c
}

// Find returns the remembered decision on a change.
func (s *State) Find(changeID string) (Decided, bool) {
	for _, d := range slices.Backward(s.history) {
		if d.Change.ID == changeID {
			return d, true
		}
	}
	return Decided{}, false
}

// Since returns the decisions after the given Seq; ok is unset if the history
// does not reach back that far.
func (s *State) Since(seq uint64) (decisions []Decided, ok bool) {
	if seq < s.floor || seq > s.seq {
		return nil, false
	}
	return slices.Clone(s.history[seq-s.floor:]), true
}

// Apply decides a change and, if it is accepted, carries it out. A change that
// is remembered has no further effect; its first decision is returned.
func (s *State) Apply(c Change) Decided {
	if d, ok := s.Find(c.ID); ok {
		return d
	}
	d := Decided{Seq: s.seq + 1, Change: c}
	next, verdict := s.judge(c)
	if verdict.Accepted {
		verdict.Version = s.version + 1
		d.Before = s.before(c.Edits)
		s.carryOut(c, next, verdict.Version)
	} else {
		verdict.Version = s.version
	}
	d.Verdict = verdict
	s.seq = d.Seq
	s.remember(d)
	return d
}

// judge returns the verdict and, for an accepted change, the new configuration.
func (s *State) judge(c Change) (*track.Config, Verdict) {
	if c.Seen < s.floor {
		return nil, refuse(Stale, fmt.Sprintf("made after decision %d; decisions up to %d are forgotten", c.Seen, s.floor))
	}
	if conflict := s.conflict(c.Edits); conflict != nil {
		return nil, *conflict
	}
	next, err := s.edited(c.Edits)
	if err != nil {
		return nil, refuse(NotValid, err.Error())
	}
	return next, Verdict{Accepted: true}
}

func refuse(reason Reason, detail string) Verdict {
	return Verdict{Reason: reason, Detail: detail}
}

// conflict returns the refusal of the first edit that replaces another version
// than the present one.
func (s *State) conflict(edits []Edit) *Verdict {
	for _, e := range edits {
		item, exists := s.items[e.Key]
		if exists && item.Version == e.Replaces || !exists && e.Replaces == 0 {
			continue
		}
		v := refuse(Conflict, fmt.Sprintf("%s: the change replaces version %d, but it does not exist", e.Key, e.Replaces))
		author, known := s.lastAuthor(e.Key, item, exists)
		if known {
			v.Winner = &author
			v.Detail = s.describeConflict(e, author, exists)
		}
		return &v
	}
	return nil
}

// lastAuthor returns who made the object, or who deleted it.
func (s *State) lastAuthor(key Key, item Item, exists bool) (Author, bool) {
	if exists {
		return item.Author, true
	}
	for _, d := range slices.Backward(s.history) {
		if d.Verdict.Accepted && slices.ContainsFunc(d.Change.Edits, func(e Edit) bool { return e.Key == key }) {
			return author(d.Change, d.Verdict.Version), true
		}
	}
	return Author{}, false
}

func (s *State) describeConflict(e Edit, winner Author, exists bool) string {
	verb := "changed"
	if !exists {
		verb = "deleted"
	}
	return fmt.Sprintf("%s: the change replaces version %d, but %s %s it at version %d by change %s",
		e.Key, e.Replaces, winner.Operator, verb, winner.Version, winner.ChangeID)
}

func author(c Change, version uint64) Author {
	return Author{Version: version, ChangeID: c.ID, Operator: c.Operator, Time: c.Time}
}

// edited returns a new configuration with the edits, or what is wrong with it.
func (s *State) edited(edits []Edit) (*track.Config, error) {
	next := *s.config
	next.Version = s.version + 1
	touched := make(map[ObjectKind]bool)
	edited := make(map[Key]bool)
	for _, e := range edits {
		if edited[e.Key] {
			return nil, fmt.Errorf("%s is edited twice", e.Key)
		}
		edited[e.Key] = true
		if err := edit(&next, e, touched); err != nil {
			return nil, fmt.Errorf("%s: %w", e.Key, err)
		}
	}
	if touched[AccountKind] {
		if err := checkTokens(next.Accounts); err != nil {
			return nil, err
		}
	}
	return &next, checkWhole(&next)
}

func edit(cfg *track.Config, e Edit, touched map[ObjectKind]bool) error {
	kind, ok := collections[e.Kind]
	if !ok {
		return errors.New("unknown kind of object")
	}
	if !touched[e.Kind] {
		kind.own(cfg)
		touched[e.Kind] = true
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

func (s *State) before(edits []Edit) []Item {
	before := make([]Item, len(edits))
	for i, e := range edits {
		before[i] = Item{Key: e.Key}
		if item, ok := s.items[e.Key]; ok {
			before[i] = item
		}
	}
	return before
}

// carryOut makes an accepted change effective.
func (s *State) carryOut(c Change, next *track.Config, version uint64) {
	for _, e := range c.Edits {
		if e.Deletes() {
			delete(s.items, e.Key)
			s.sums.remove(e.Key)
			continue
		}
		value, err := collections[e.Kind].canonical(e.Name, e.Value)
		if err != nil {
			panic("change: an accepted edit has no canonical value: " + err.Error())
		}
		s.put(Item{Key: e.Key, Value: value, Author: author(c, version)})
	}
	s.version = version
	s.config = next
}

func (s *State) put(item Item) {
	s.items[item.Key] = item
	s.sums.put(item)
}

// remember adds a decision to the history and drops the oldest ones.
func (s *State) remember(d Decided) {
	s.history = append(s.history, d)
	s.sums.remember(d)
	s.edits += len(d.Change.Edits)
	for s.edits > HistoryEdits {
		s.edits -= len(s.history[0].Change.Edits)
		s.floor = s.history[0].Seq
		s.history = s.history[1:]
		s.sums.forget()
	}
}
