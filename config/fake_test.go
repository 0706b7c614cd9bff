package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/stand/memlog"
)

const testRetention = 10 * time.Minute

// fleet is a deployment whose instances call each other directly.
type fleet struct {
	clock clockwork.Clock
	log   *memlog.Log
	seed  uint64

	mu    sync.Mutex
	nodes []*node
	// lonely is a node that no other can reach, if any.
	lonely atomic.Pointer[node]
	calls  atomic.Uint64
	bytes  atomic.Uint64
	made   int
}

// node is one instance.
type node struct {
	*Store
	fleet  *fleet
	self   track.Instance
	cancel context.CancelFunc
	duties []*duty.Duty
}

func newFleet(clock clockwork.Clock, seed uint64) *fleet {
	return &fleet{
		clock: clock, seed: seed, log: memlog.New(clock, memlog.Settings{Retention: testRetention}),
	}
}

// add makes an instance; agents have no access to the log.
func (f *fleet) add(role track.Role) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made++
	n := &node{fleet: f, self: track.Instance{
		ID: track.InstanceID(fmt.Sprint(role, f.made)), Role: role,
		Zone: track.AvailabilityZone(fmt.Sprint("zone", f.made%3)),
	}}
	o := Options{
		Self: n.self, Peers: n, Clock: f.clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
		Seed: f.seed*1000 + uint64(f.made), Retention: testRetention,
	}
	if role == track.RoleEntry {
		o.Log = f.log
	}
	n.Store = New(o)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) start(ctx context.Context, n *node) *node {
	ctx, n.cancel = context.WithCancel(ctx)
	n.duties = n.Start(ctx)
	return n
}

// remove ends an instance, as if it had been killed.
func (f *fleet) remove(n *node) {
	if n.cancel != nil {
		n.cancel()
		_ = duty.Wait(zap.NewNop(), n.duties...)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.nodes {
		if other == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

func (f *fleet) live() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// Contacts implements track.ConfigPeers.
func (n *node) Contacts() []track.ConfigContact {
	var contacts []track.ConfigContact
	for _, other := range n.fleet.live() {
		if other != n {
			contacts = append(contacts, track.ConfigContact{Instance: other.self, Peer: link{n, other}})
		}
	}
	return contacts
}

// link carries questions from one node to another.
type link struct{ from, to *node }

// News implements track.ConfigPeer.
func (l link) News(ctx context.Context, since track.ConfigPosition) (track.ConfigNews, error) {
	if lonely := l.from.fleet.lonely.Load(); lonely != nil && (lonely == l.from || lonely == l.to) {
		return track.ConfigNews{}, errors.New("cut off")
	}
	news, err := l.to.News(ctx, since)
	l.from.fleet.calls.Add(1)
	size := 2*len(news.Position.Checksum) + 2*positionBytes + len(news.State)
	for _, r := range news.Records {
		size += len(r)
	}
	l.from.fleet.bytes.Add(uint64(size))
	return news, err
}

// positionBytes estimates the encoded length of a position without checksum.
const positionBytes = 64

func encode[T any](object T) []byte {
	raw, err := change.Encode(object)
	if err != nil {
		panic(err)
	}
	return raw
}

func editProfile(name string, timeout time.Duration, replaces uint64) change.Edit {
	return change.Edit{
		Key: change.Key{Kind: change.ProfileKind, Name: name}, Replaces: replaces,
		Value: encode(track.Profile{Name: name, Timeout: timeout}),
	}
}

func draft(id string, edits ...change.Edit) change.Change {
	return change.Change{ID: id, Operator: "maria", Edits: edits}
}

// timeout returns the timeout of a profile in force on a node; 0 if it has none.
func (n *node) timeout(profile string) time.Duration {
	l := n.Live()
	if l == nil {
		return 0
	}
	p, _ := l.Profile(profile)
	return p.Timeout
}

// stateBytes returns the canonical bytes of the node's state.
func (n *node) stateBytes() string {
	var data []byte
	if err := n.View(func(s *change.State) { data, _ = s.Marshal() }); err != nil {
		return ""
	}
	return string(data)
}
