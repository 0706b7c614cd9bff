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

const testRetention = 5 * time.Minute

// fleet is a set of instances that call each other directly and share a log.
type fleet struct {
	clock clockwork.Clock
	log   *memlog.Log
	seed  uint64

	mu    sync.Mutex
	nodes []*node
	// isolated is the node without a connection to any other, if there is one.
	isolated         atomic.Pointer[node]
	calls            atomic.Uint64
	transferredBytes atomic.Uint64
	created          int
}

// node is one instance of a fleet.
type node struct {
	*Store
	fleet   *fleet
	self    track.Instance
	handler *Handler
	// servedBytes counts the bytes of the requests and responses that the node
	// served.
	servedBytes atomic.Uint64
	cancel      context.CancelFunc
	duties      []*duty.Duty
}

func newFleet(clock clockwork.Clock, seed uint64) *fleet {
	return &fleet{
		clock: clock, seed: seed, log: memlog.New(clock, memlog.Settings{Retention: testRetention}),
	}
}

// add creates an instance without starting it. Agents have no access to the log.
func (f *fleet) add(role track.Role) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.created++
	n := &node{fleet: f, self: track.Instance{
		ID: track.InstanceID(fmt.Sprint(role, f.created)), Role: role,
		Zone: track.AvailabilityZone(fmt.Sprint("zone", f.created%3)), Address: "address",
	}}
	o := Options{
		Self: n.self, Peers: n, Clock: f.clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
		RandomSeed: f.seed*1000 + uint64(f.created), Retention: testRetention,
	}
	if role == track.RoleEntry {
		o.Log = f.log
	}
	n.Store = New(o)
	n.handler = NewHandler(n.Store)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) start(ctx context.Context, n *node) *node {
	ctx, n.cancel = context.WithCancel(ctx)
	n.duties = n.Start(ctx)
	return n
}

// remove stops an instance and removes it from the fleet, as if it had been
// killed.
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

func (f *fleet) instances() []track.Instance {
	var instances []track.Instance
	for _, n := range f.live() {
		instances = append(instances, n.self)
	}
	return instances
}

// remote returns the node's access to all other nodes.
func (n *node) remote() *MemberPeers {
	return &MemberPeers{Self: n.self.ID, Dialer: n, PollTargets: n.fleet.instances, KnownInstances: n.fleet.instances}
}

// Contacts implements track.ConfigPeers.
func (n *node) Contacts() []track.ConfigContact { return n.remote().Contacts() }

// AllContacts implements track.ConfigPeers.
func (n *node) AllContacts() []track.ConfigContact { return n.remote().AllContacts() }

// contact returns the node's access to one other node.
func (n *node) contact(other *node) track.ConfigContact {
	return track.ConfigContact{Instance: other.self, Peer: &remotePeer{remote: n.remote(), instance: other.self}}
}

// DialPeer implements track.PeerDialer.
func (n *node) DialPeer(instance track.Instance) (track.Peer, error) {
	for _, other := range n.fleet.live() {
		if other.self.ID == instance.ID {
			return link{from: n, to: other}, nil
		}
	}
	return nil, errors.New("gone")
}

// link passes requests from one node to another and counts them and their bytes.
type link struct {
	track.Peer
	from, to *node
}

// Fetch implements track.Peer.
func (l link) Fetch(_ context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	if isolated := l.from.fleet.isolated.Load(); isolated != nil && (isolated == l.from || isolated == l.to) {
		return nil, errors.New("the instance is isolated")
	}
	data, err := l.to.handler.Fetch(from, request.Data)
	if len(data) > track.MaxFetchBytes {
		return nil, errors.New("the response is too large")
	}
	l.from.fleet.calls.Add(1)
	l.from.fleet.transferredBytes.Add(uint64(len(request.Data) + len(data)))
	l.to.servedBytes.Add(uint64(len(request.Data) + len(data)))
	return data, err
}

func encode[T any](object T) []byte {
	raw, err := change.EncodeObject(object)
	if err != nil {
		panic(err)
	}
	return raw
}

func profileEdit(name string, timeout time.Duration, replaces uint64) change.Edit {
	return change.Edit{
		Key: change.Key{Kind: change.ProfileKind, Name: name}, Replaces: replaces,
		Value: encode(track.Profile{Name: name, Timeout: timeout}),
	}
}

func newChange(id string, edits ...change.Edit) change.Change {
	return change.Change{ID: id, Operator: "maria", Edits: edits}
}

// timeout returns the timeout of a profile in force on a node; 0 if it has none.
func (n *node) timeout(profile string) time.Duration {
	l := n.Current()
	if l == nil {
		return 0
	}
	p, _ := l.Profile(profile)
	return p.Timeout
}

// stateBytes returns the canonical encoding of the node's state; empty if it has
// none.
func (n *node) stateBytes() string {
	var data []byte
	if err := n.View(func(s *change.State) { data, _ = s.Marshal() }); err != nil {
		return ""
	}
	return string(data)
}

func newFakeClock() *clockwork.FakeClock {
	return clockwork.NewFakeClockAt(time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC))
}
