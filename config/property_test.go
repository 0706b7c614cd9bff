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
	propertySeed    = 20260301
	propertyChecks  = 60
	simulationSteps = 60
)

// simulation runs instances step by step, without goroutines, and checks after
// each step that no instance goes back to an older configuration.
type simulation struct {
	rt      *rapid.T
	fleet   *fleet
	clock   *clockwork.FakeClock
	logDown bool
	// isolated holds the nodes without a connection to any other.
	isolated    map[*node]bool
	records     [][]byte
	changeCount int
	// highest is the position that each node has reached.
	highest map[*node]track.ConfigPosition
	// verdicts holds all decisions that any node has made, by change ID.
	verdicts map[string]change.Decision
}

func newSimulation(rt *rapid.T) *simulation {
	clock := newFakeClock()
	s := &simulation{
		rt: rt, clock: clock, fleet: newFleet(clock, 1), isolated: make(map[*node]bool),
		highest: make(map[*node]track.ConfigPosition), verdicts: make(map[string]change.Decision),
	}
	for range 4 {
		s.fleet.add(track.RoleEntry)
	}
	s.fleet.add(track.RoleAgent)
	return s
}

func (s *simulation) drawNode(label string) *node {
	live := s.fleet.live()
	n := live[rapid.IntRange(0, len(live)-1).Draw(s.rt, label)]
	s.rt.Logf("  %s is %s at %d, offset %d", label, n.self.ID, n.seq(), n.nextOffset)
	return n
}

// read makes a node read the log to its end.
func (s *simulation) read(n *node) {
	if n.reader == nil {
		return
	}
	for n.reader.Poll(context.Background()) {
	}
}

func (s *simulation) pollPeer(n, peer *node) {
	if n == peer || s.isolated[n] || s.isolated[peer] {
		return
	}
	n.pollPeer(context.Background(), n.contact(peer))
}

// append appends encoded records to the log, unless it is unavailable.
func (s *simulation) append(data ...[]byte) {
	if !s.logDown {
		_, err := s.fleet.log.Append(context.Background(), track.StreamConfig, data)
		assert.NilError(s.rt, err)
	}
}

// publish appends a change that is based on the state of a node, which may be
// outdated.
func (s *simulation) publish() {
	n := s.drawNode("author")
	name := rapid.SampledFrom([]string{"lunch", "night", "dawn"}).Draw(s.rt, "profile")
	var replaces, seen uint64
	if n.View(func(state *change.State) {
		item, _ := state.Item(change.Key{Kind: change.ProfileKind, Name: name})
		replaces, seen = item.Version, state.Seq()
	}) != nil {
		return
	}
	s.changeCount++
	edit := profileEdit(name, time.Duration(s.changeCount)*time.Second, replaces)
	if replaces > 0 && rapid.IntRange(0, 4).Draw(s.rt, "delete") == 0 {
		edit.Value = nil
	}
	c := newChange(fmt.Sprint("c", s.changeCount), edit)
	c.BaseSeq = seen
	data, err := change.EncodeChange(c)
	assert.NilError(s.rt, err)
	s.records = append(s.records, data)
	s.append(data)
}

// appendDuplicate appends an earlier record again: unchanged, truncated or
// damaged.
func (s *simulation) appendDuplicate() {
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

// snapshot makes a node append a snapshot if it is in a state in which
// writeSnapshots might.
func (s *simulation) snapshot() {
	n := s.drawNode("writer")
	if n.reader == nil || s.logDown {
		return
	}
	n.mu.Lock()
	ready := n.state != nil && !n.searching && n.caughtUp
	n.mu.Unlock()
	if ready || n.recoverySnapshotNeeded() {
		s.appendSnapshot(n)
	}
}

func (s *simulation) appendSnapshot(n *node) {
	data, err := n.encodeLogSnapshot()
	assert.NilError(s.rt, err)
	s.append(data)
}

// expire drops records from the log, possibly including some that no node has
// read.
func (s *simulation) expire() {
	page, err := s.fleet.log.Read(context.Background(), track.StreamConfig, 1<<60, 1)
	if err != nil || page.Next == 0 {
		return
	}
	s.fleet.log.Expire(track.StreamConfig, rapid.Uint64Range(0, page.Next).Draw(s.rt, "oldest"))
}

// replace replaces a node with a new one, provided that another node has decided
// at least as many changes.
func (s *simulation) replace() {
	n := s.drawNode("replaced")
	for _, other := range s.fleet.live() {
		if other != n && other.seq() >= n.seq() && other.state != nil {
			s.fleet.remove(n)
			s.fleet.add(n.self.Role)
			return
		}
	}
}

func (s *simulation) isolate() {
	n := s.drawNode("isolated")
	s.isolated[n] = !s.isolated[n]
}

func (s *simulation) step() {
	switch rapid.SampledFrom([]string{
		"publish", "publish", "publish", "read", "read", "read", "ask", "ask", "repeat", "snapshot",
		"expire", "replace", "isolate", "away", "wait",
	}).Draw(s.rt, "step") {
	case "publish":
		s.publish()
	case "read":
		s.read(s.drawNode("reader"))
	case "ask":
		s.pollPeer(s.drawNode("asker"), s.drawNode("peer"))
	case "repeat":
		s.appendDuplicate()
	case "snapshot":
		s.snapshot()
	case "expire":
		s.expire()
	case "replace":
		s.replace()
	case "isolate":
		s.isolate()
	case "away":
		s.logDown = !s.logDown
		s.fleet.log.SetUnavailable(s.logDown)
	case "wait":
		s.clock.Advance(recoveryIntervals * DefaultPeerInterval)
	}
}

// check fails if a node has gone back to an older state or two nodes have decided
// differently.
func (s *simulation) check() {
	for _, n := range s.fleet.live() {
		p, before := n.Position(), s.highest[n]
		if p.Version < before.Version || p.Seq < before.Seq || before.Known && !p.Known {
			s.rt.Fatalf("%s went back from position %+v to %+v", n.self.ID, before, p)
		}
		if l := n.Current(); p.Known && l.Version() != p.Version {
			s.rt.Fatalf("%s has version %d in force, but its state has version %d", n.self.ID, l.Version(), p.Version)
		}
		s.highest[n] = p
		s.checkVerdicts(n)
	}
}

func (s *simulation) checkVerdicts(n *node) {
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

// endFaults ends all faults and gives the instances enough exchanges to converge.
func (s *simulation) endFaults() {
	s.isolated = make(map[*node]bool)
	s.logDown = false
	s.fleet.log.SetUnavailable(false)
	for range 4 {
		for _, n := range s.fleet.live() {
			s.read(n)
			for _, peer := range s.fleet.live() {
				s.pollPeer(n, peer)
			}
			s.check()
		}
		s.clock.Advance(recoveryIntervals * DefaultPeerInterval)
		for _, n := range s.fleet.live() {
			if n.reader != nil && n.recoverySnapshotNeeded() {
				s.appendSnapshot(n)
				break
			}
		}
	}
}

// checkConverged fails if the states of instances differ or lack a change that
// any instance has decided.
func (s *simulation) checkConverged() {
	nodes := s.fleet.live()
	want := nodes[0].stateBytes()
	for _, n := range nodes {
		if n.state == nil || n.stateBytes() != want {
			s.rt.Fatalf("%s differs from %s after the end of all faults: %+v", n.self.ID, nodes[0].self.ID, n.Status())
		}
		if n.reader != nil && n.searching {
			s.rt.Fatalf("%s is still searching for a snapshot after the end of all faults", n.self.ID)
		}
	}
	for id, d := range s.verdicts {
		if _, ok := nodes[0].state.FindDecision(id); !ok {
			s.rt.Fatalf("change %s was decided (%+v) but is missing from the state", id, d.Verdict)
		}
	}
}

func TestNothingRevertsOrIsLost(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		for range simulationSteps {
			s.step()
			s.check()
		}
		s.endFaults()
		s.checkConverged()
	})
}

// TestMain sets the seed of the property tests, unless the command line does.
func TestMain(m *testing.M) {
	if !slices.ContainsFunc(os.Args, func(arg string) bool { return strings.Contains(arg, "rapid.seed") }) {
		os.Args = append(os.Args, fmt.Sprint("-rapid.seed=", propertySeed),
			fmt.Sprint("-rapid.checks=", propertyChecks), "-rapid.nofailfile")
	}
	os.Exit(m.Run())
}
