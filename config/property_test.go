package config

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
)

const (
	propertySeed   = 20260301
	propertyChecks = 60
	scheduleLength = 60
)

// schedule drives instances step by step, without goroutines, and checks after
// each step that nothing reverts.
type schedule struct {
	rt    *rapid.T
	fleet *fleet
	clock *clockwork.FakeClock
	away  bool
	// isolated holds the nodes that no other can reach.
	isolated map[*node]bool
	records  [][]byte
	ids      int
	// highest is the position that each node has reached.
	highest map[*node]track.ConfigPosition
	// verdicts holds what any node has ever decided, by change ID.
	verdicts map[string]change.Decided
}

func newSchedule(rt *rapid.T) *schedule {
	clock := newFakeClock()
	s := &schedule{
		rt: rt, clock: clock, fleet: newFleet(clock, 1), isolated: make(map[*node]bool),
		highest: make(map[*node]track.ConfigPosition), verdicts: make(map[string]change.Decided),
	}
	for range 4 {
		s.fleet.add(track.RoleEntry)
	}
	s.fleet.add(track.RoleAgent)
	return s
}

func (s *schedule) node(label string) *node {
	live := s.fleet.live()
	n := live[rapid.IntRange(0, len(live)-1).Draw(s.rt, label)]
	s.rt.Logf("  %s is %s at %d, offset %d", label, n.self.ID, n.seq(), n.next)
	return n
}

// read lets a node read the log to its end.
func (s *schedule) read(n *node) {
	if n.reader == nil {
		return
	}
	for n.reader.Poll(context.Background()) {
	}
}

func (s *schedule) ask(n, peer *node) {
	if n == peer || s.isolated[n] || s.isolated[peer] {
		return
	}
	n.ask(context.Background(), n.contact(peer))
}

// append puts raw records into the log, unless it is away.
func (s *schedule) append(data ...[]byte) {
	if !s.away {
		_, err := s.fleet.log.Append(context.Background(), track.StreamConfig, data)
		assert.NilError(s.rt, err)
	}
}

// publish appends a change as a node's operator would make it: from what the
// node knows, which may be old.
func (s *schedule) publish() {
	n := s.node("author")
	name := rapid.SampledFrom([]string{"lunch", "night", "dawn"}).Draw(s.rt, "profile")
	var replaces, seen uint64
	if n.View(func(state *change.State) {
		item, _ := state.Item(change.Key{Kind: change.ProfileKind, Name: name})
		replaces, seen = item.Version, state.Seq()
	}) != nil {
		return
	}
	s.ids++
	edit := editProfile(name, time.Duration(s.ids)*time.Second, replaces)
	if replaces > 0 && rapid.IntRange(0, 4).Draw(s.rt, "delete") == 0 {
		edit.Value = nil
	}
	c := draft(fmt.Sprint("c", s.ids), edit)
	c.Seen = seen
	data, err := change.EncodeChange(c)
	assert.NilError(s.rt, err)
	s.records = append(s.records, data)
	s.append(data)
}

// repeat appends an old record again, whole, cut or damaged.
func (s *schedule) repeat() {
	if len(s.records) == 0 {
		return
	}
	data := bytes.Clone(rapid.SampledFrom(s.records).Draw(s.rt, "record"))
	switch rapid.IntRange(0, 2).Draw(s.rt, "damage") {
	case 1:
		data = data[:len(data)/2]
	case 2:
		data[len(data)/2] ^= 0x11
	}
	s.append(data)
}

// snapshot lets a node append a snapshot, if its duty would.
func (s *schedule) snapshot() {
	n := s.node("writer")
	if n.reader == nil || s.away {
		return
	}
	n.mu.Lock()
	ready := n.state != nil && !n.searching && n.caughtUp
	n.mu.Unlock()
	if ready || n.recoveryWanted() {
		s.appendSnapshot(n)
	}
}

func (s *schedule) appendSnapshot(n *node) {
	data, err := n.logSnapshot()
	assert.NilError(s.rt, err)
	s.append(data)
}

// expire drops records from the log, also such as nobody has read.
func (s *schedule) expire() {
	page, err := s.fleet.log.Read(context.Background(), track.StreamConfig, 1<<60, 1)
	if err != nil || page.Next == 0 {
		return
	}
	s.fleet.log.Expire(track.StreamConfig, rapid.Uint64Range(0, page.Next).Draw(s.rt, "oldest"))
}

// replace ends a node and starts another, provided that others know as much.
func (s *schedule) replace() {
	n := s.node("replaced")
	for _, other := range s.fleet.live() {
		if other != n && other.seq() >= n.seq() && other.state != nil {
			s.fleet.remove(n)
			s.fleet.add(n.self.Role)
			return
		}
	}
}

func (s *schedule) isolate() {
	n := s.node("isolated")
	s.isolated[n] = !s.isolated[n]
}

func (s *schedule) step() {
	switch rapid.SampledFrom([]string{
		"publish", "publish", "publish", "read", "read", "read", "ask", "ask", "repeat", "snapshot",
		"expire", "replace", "isolate", "away", "wait",
	}).Draw(s.rt, "step") {
	case "publish":
		s.publish()
	case "read":
		s.read(s.node("reader"))
	case "ask":
		s.ask(s.node("asker"), s.node("peer"))
	case "repeat":
		s.repeat()
	case "snapshot":
		s.snapshot()
	case "expire":
		s.expire()
	case "replace":
		s.replace()
	case "isolate":
		s.isolate()
	case "away":
		s.away = !s.away
		s.fleet.log.SetAway(s.away)
	case "wait":
		s.clock.Advance(recoveryIntervals * DefaultPeerInterval)
	}
}

// check fails if a node has gone back or two have decided differently.
func (s *schedule) check() {
	for _, n := range s.fleet.live() {
		p, before := n.Position(), s.highest[n]
		if p.Version < before.Version || p.Seq < before.Seq || before.Known && !p.Known {
			s.rt.Fatalf("%s went back from %+v to %+v", n.self.ID, before, p)
		}
		if l := n.Live(); p.Known && l.Version() != p.Version {
			s.rt.Fatalf("%s has version %d in force, but knows %d", n.self.ID, l.Version(), p.Version)
		}
		s.highest[n] = p
		s.checkVerdicts(n)
	}
}

func (s *schedule) checkVerdicts(n *node) {
	if n.state == nil {
		return
	}
	for _, d := range n.state.History() {
		known, ok := s.verdicts[d.Change.ID]
		if !ok {
			s.verdicts[d.Change.ID] = d
			continue
		}
		if known.Seq != d.Seq || known.Verdict.Accepted != d.Verdict.Accepted || known.Verdict.Version != d.Verdict.Version {
			s.rt.Fatalf("%s: change %s has verdicts %+v and %+v", n.self.ID, d.Change.ID, known.Verdict, d.Verdict)
		}
	}
}

// heal ends all faults and lets the instances level.
func (s *schedule) heal() {
	s.isolated = make(map[*node]bool)
	s.away = false
	s.fleet.log.SetAway(false)
	for range 4 {
		for _, n := range s.fleet.live() {
			s.read(n)
			for _, peer := range s.fleet.live() {
				s.ask(n, peer)
			}
			s.check()
		}
		s.clock.Advance(recoveryIntervals * DefaultPeerInterval)
		for _, n := range s.fleet.live() {
			if n.reader != nil && n.recoveryWanted() {
				s.appendSnapshot(n)
				break
			}
		}
	}
}

// checkLevel fails if instances differ or have lost what any of them accepted.
func (s *schedule) checkLevel() {
	nodes := s.fleet.live()
	want := nodes[0].stateBytes()
	for _, n := range nodes {
		if n.state == nil || n.stateBytes() != want {
			s.rt.Fatalf("%s differs from %s after healing: %+v", n.self.ID, nodes[0].self.ID, n.Status())
		}
		if n.reader != nil && n.searching {
			s.rt.Fatalf("%s still searches after healing", n.self.ID)
		}
	}
	for id, d := range s.verdicts {
		if _, ok := nodes[0].state.FindDecision(id); !ok {
			s.rt.Fatalf("change %s was decided (%+v) and is lost", id, d.Verdict)
		}
	}
}

func TestNothingRevertsOrIsLost(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(rt)
		for range scheduleLength {
			s.step()
			s.check()
		}
		s.heal()
		s.checkLevel()
	})
}

// TestMain fixes the seed of property tests, unless the command line names one.
func TestMain(m *testing.M) {
	if !slices.ContainsFunc(os.Args, func(arg string) bool { return strings.Contains(arg, "rapid.seed") }) {
		os.Args = append(os.Args, fmt.Sprint("-rapid.seed=", propertySeed), fmt.Sprint("-rapid.checks=", propertyChecks), "-rapid.nofailfile")
	}
	os.Exit(m.Run())
}
