package local

import (
	"context"
	"errors"
	"sync"

	"filberttrack.example/track"
)

// The causes of failed calls.
var (
	errAgentKilled = errors.New("agent was killed")
	errLinkCut     = errors.New("no response: link is cut")
)

// link is the connection between an instance and an address, in both directions.
type link struct {
	from    track.InstanceID
	address string
}

// Network connects instances to agents and peers within one process. Agents can be
// killed and links can be cut. It is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// agents, peers and killed are keyed by address.
	agents map[string]*agentProcess
	peers  map[string]track.Peer
	killed map[string]bool
	cut    map[link]chan struct{}
}

// agentProcess is an agent and its calls in progress.
type agentProcess struct {
	agent track.Agent

	mu     sync.Mutex
	killed bool
	// calls holds the functions that abort the calls in progress, by call ID.
	calls      map[int]func()
	nextCallID int
}

// registerCall registers a call in progress, which is aborted when the agent is
// killed. The returned function unregisters the call and reports whether the agent
// was killed.
func (p *agentProcess) registerCall(abort func()) func() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.nextCallID
	p.nextCallID++
	p.calls[id] = abort
	if p.killed {
		abort()
	}
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, id)
		return p.killed
	}
}

func (p *agentProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	for _, abort := range p.calls {
		abort()
	}
}

// NewNetwork returns a network without agents.
func NewNetwork() *Network {
	return &Network{
		agents: make(map[string]*agentProcess),
		peers:  make(map[string]track.Peer),
		killed: make(map[string]bool),
		cut:    make(map[link]chan struct{}),
	}
}

// ServeAgent makes the agent reachable at the address, which may be that of a killed agent.
func (n *Network) ServeAgent(address string, agent track.Agent) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.killed, address)
	n.agents[address] = &agentProcess{agent: agent, calls: make(map[int]func())}
}

// Kill kills the agent and the peer at the address. The calls to the agent that are
// in progress fail.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, address)
	n.killed[address] = true
	if process, ok := n.agents[address]; ok {
		process.kill()
		delete(n.agents, address)
	}
}

// Cut blocks all messages between the instance and the address until Heal is called.
func (n *Network) Cut(from track.InstanceID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, address}] = make(chan struct{})
}

// Heal restores the link. Messages blocked in the meantime are lost.
func (n *Network) Heal(from track.InstanceID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, link{from, address})
}

// AgentDialer returns the dialer by which an instance reaches agents.
func (n *Network) AgentDialer(id track.InstanceID) track.AgentDialer {
	return &agentDialer{network: n, from: id}
}

// lookup returns the agent at the address of the link, or nil if there is none, and
// whether the link is cut.
func (n *Network) lookup(l link) (*agentProcess, bool) {
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

// agentDialer implements track.AgentDialer.
type agentDialer struct {
	network *Network
	from    track.InstanceID
}

// Dial implements track.AgentDialer.
func (d *agentDialer) Dial(instance track.Instance) (track.Agent, error) {
	return &agentClient{network: d.network, link: link{d.from, instance.Address}}, nil
}

// agentClient implements track.Agent by calls over the network.
type agentClient struct {
	network *Network
	link    link
}

// call calls f with the agent and a context that ends when the agent is killed. On
// a cut link it blocks until ctx ends and fails with kind Ambiguous. If there is no
// agent, it fails with kind Unavailable; if the agent is killed during the call,
// with kind Ambiguous.
func (c *agentClient) call(ctx context.Context, op string, f func(context.Context, track.Agent) error) error {
	process, cut := c.network.lookup(c.link)
	if cut {
		<-ctx.Done()
		return track.Fail(op, track.Ambiguous, errLinkCut)
	}
	if process == nil {
		return track.Fail(op, track.Unavailable, errRefused)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unregister := process.registerCall(func() { cancel(errAgentKilled) })
	err := f(ctx, process.agent)
	if unregister() {
		return track.Fail(op, track.Ambiguous, errAgentKilled)
	}
	return err
}

// checkLink returns a FrameFunc that passes frames on to send. Once the link is cut,
// it blocks until ctx ends and fails with kind Ambiguous.
func (c *agentClient) checkLink(ctx context.Context, send track.FrameFunc) track.FrameFunc {
	return func(f track.Frame) error {
		if c.network.isCut(c.link) {
			<-ctx.Done()
			return track.Fail("receive frame", track.Ambiguous, errLinkCut)
		}
		return send(f)
	}
}

// Run implements track.Agent.
func (c *agentClient) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	return c.call(ctx, "run", func(ctx context.Context, a track.Agent) error {
		return a.Run(ctx, d, c.checkLink(ctx, send))
	})
}

// Replay implements track.Agent.
func (c *agentClient) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	return c.call(ctx, "replay", func(ctx context.Context, a track.Agent) error {
		return a.Replay(ctx, ref, c.checkLink(ctx, send))
	})
}

// PreventStart implements track.Agent.
func (c *agentClient) PreventStart(ctx context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	state := track.AttemptForgotten
	err := c.call(ctx, "bar", func(ctx context.Context, a track.Agent) error {
		var err error
		state, err = a.PreventStart(ctx, ref)
		return err
	})
	return state, err
}

// Report implements track.Agent.
func (c *agentClient) Report(ctx context.Context) (track.Report, error) {
	var report track.Report
	err := c.call(ctx, "report", func(ctx context.Context, a track.Agent) error {
		var err error
		report, err = a.Report(ctx)
		return err
	})
	return report, err
}
