package local

import (
	"context"
	"errors"
	"sync"

	"filberttrack.example/track"
)

// The causes of failures on the network.
var (
	errAgentGone = errors.New("agent is gone")
	errCut       = errors.New("no answer from the agent")
)

// link is a direction-less pair of an instance and an address.
type link struct {
	from    track.InstanceID
	address string
}

// Network joins entries to agents. Agents can be killed and links can be cut.
type Network struct {
	mu     sync.Mutex
	agents map[string]*node
	peers  map[string]track.Peer
	killed map[string]bool
	cut    map[link]chan struct{}
}

// node is a running agent process.
type node struct {
	agent track.Agent

	mu    sync.Mutex
	dead  bool
	calls map[int]func()
	next  int
}

// enter notes a call in progress, which is broken off when the agent is killed.
// The function returned ends the call and reports whether that happened.
func (n *node) enter(breakOff func()) func() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.next
	n.next++
	n.calls[id] = breakOff
	if n.dead {
		breakOff()
	}
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.calls, id)
		return n.dead
	}
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	for _, breakOff := range n.calls {
		breakOff()
	}
}

// NewNetwork returns a network without agents.
func NewNetwork() *Network {
	return &Network{agents: make(map[string]*node), peers: make(map[string]track.Peer), killed: make(map[string]bool), cut: make(map[link]chan struct{})}
}

// Serve makes the agent answer at the address.
func (n *Network) Serve(address string, agent track.Agent) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.killed, address)
	n.agents[address] = &node{agent: agent, calls: make(map[int]func())}
}

// Kill ends the agent at the address. Calls in progress break off.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, address)
	n.killed[address] = true
	if node, ok := n.agents[address]; ok {
		node.kill()
		delete(n.agents, address)
	}
}

// Cut stops all messages between the instance and the address until Heal.
func (n *Network) Cut(from track.InstanceID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, address}] = make(chan struct{})
}

// Heal restores the link. Messages held back meanwhile are lost.
func (n *Network) Heal(from track.InstanceID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, link{from, address})
}

// From returns the dialer of an instance.
func (n *Network) From(id track.InstanceID) track.AgentDialer {
	return &dialer{network: n, from: id}
}

func (n *Network) find(l link) (*node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, cut := n.cut[l]
	return n.agents[l.address], cut
}

func (n *Network) isCut(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, cut := n.cut[l]
	return cut
}

// dialer implements track.AgentDialer.
type dialer struct {
	network *Network
	from    track.InstanceID
}

// Dial implements track.AgentDialer.
func (d *dialer) Dial(instance track.Instance) (track.Agent, error) {
	return &port{network: d.network, link: link{d.from, instance.Address}}, nil
}

// port implements track.Agent over the network.
type port struct {
	network *Network
	link    link
}

// call runs f against the agent, with a context that ends when the agent dies.
func (p *port) call(ctx context.Context, op string, f func(context.Context, track.Agent) error) error {
	node, cut := p.network.find(p.link)
	if cut {
		<-ctx.Done()
		return track.Fail(op, track.Ambiguous, errCut)
	}
	if node == nil {
		return track.Fail(op, track.Unavailable, errRefused)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	leave := node.enter(func() { cancel(errAgentGone) })
	err := f(ctx, node.agent)
	if leave() {
		return track.Fail(op, track.Ambiguous, errAgentGone)
	}
	return err
}

// guard stops frames on a link that was cut meanwhile.
func (p *port) guard(ctx context.Context, send track.FrameFunc) track.FrameFunc {
	return func(f track.Frame) error {
		if p.network.isCut(p.link) {
			<-ctx.Done()
			return track.Fail("receive frame", track.Ambiguous, errCut)
		}
		return send(f)
	}
}

// Run implements track.Agent.
func (p *port) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	return p.call(ctx, "run", func(ctx context.Context, a track.Agent) error {
		return a.Run(ctx, d, p.guard(ctx, send))
	})
}

// Replay implements track.Agent.
func (p *port) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	return p.call(ctx, "replay", func(ctx context.Context, a track.Agent) error {
		return a.Replay(ctx, ref, p.guard(ctx, send))
	})
}

// Bar implements track.Agent.
func (p *port) Bar(ctx context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	state := track.AttemptForgotten
	err := p.call(ctx, "bar", func(ctx context.Context, a track.Agent) error {
		var err error
		state, err = a.Bar(ctx, ref)
		return err
	})
	return state, err
}

// Report implements track.Agent.
func (p *port) Report(ctx context.Context) (track.Report, error) {
	var report track.Report
	err := p.call(ctx, "report", func(ctx context.Context, a track.Agent) error {
		var err error
		report, err = a.Report(ctx)
		return err
	})
	return report, err
}
