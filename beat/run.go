package beat

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
)

// Round does at once all that is due, and once more what became due by that. An
// entry that finds the list and its agents alive can route when it returns.
func (x *Exchange) Round(ctx context.Context) {
	for range 2 {
		var calls errgroup.Group
		for _, o := range x.due() {
			calls.Go(func() error {
				x.perform(ctx, o)
				return nil
			})
		}
		// The functions report nothing; failures are counted.
		_ = calls.Wait()
	}
	x.publish()
}

// order is one message that is due. Exactly one of its parts is set.
type order struct {
	heartbeat *member.Contact
	digest    *member.ZoneContact
	readList  bool
}

// Run exchanges heartbeats and digests until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	ticker := x.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var calls errgroup.Group
	for {
		orders := x.due()
		x.publish()
		for _, o := range orders {
			calls.Go(func() error {
				x.perform(ctx, o)
				return nil
			})
		}
		select {
		case <-ticker.Chan():
		case <-x.wake:
		case <-ctx.Done():
			return errors.Join(context.Cause(ctx), calls.Wait())
		}
	}
}

// due lets time pass and returns the messages to send now. Each peer has at most
// one in progress.
func (x *Exchange) due() []order {
	now := x.options.Clock.Now()
	local := x.options.Local()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.Tick(now)
	if local.Up != x.toldUp || local.Leaving != x.toldLeaving {
		x.toldUp, x.toldLeaving = local.Up, local.Leaving
		x.tellEntries()
	}
	var orders []order
	for _, c := range x.state.Contacts() {
		if claim(x.peers, c.Instance.ID, now, c.Every) {
			orders = append(orders, order{heartbeat: &c})
		}
	}
	for _, z := range x.state.ZoneContacts() {
		if claim(x.zones, z.Zone, now, z.Every) {
			orders = append(orders, order{digest: &z})
		}
	}
	if !x.reading && x.state.ListDue(now) {
		x.reading = true
		orders = append(orders, order{readList: true})
	}
	x.forget(now)
	return orders
}

// claim reports whether a call is due, and marks it as in progress.
func claim[K comparable](schedules map[K]*schedule, key K, now time.Time, every time.Duration) bool {
	s := schedules[key]
	if s == nil {
		s = &schedule{}
		schedules[key] = s
	}
	if s.busy || (!s.last.IsZero() && now.Sub(s.last) < every) {
		return false
	}
	s.busy = true
	s.last = now
	return true
}

// forget drops the schedules of peers that were not called for long.
func (x *Exchange) forget(now time.Time) {
	for id, s := range x.peers {
		if !s.busy && now.Sub(s.last) > x.options.Timing.Tombstone {
			delete(x.peers, id)
		}
	}
}

// perform sends one message and takes its answer.
func (x *Exchange) perform(ctx context.Context, o order) {
	switch {
	case o.heartbeat != nil:
		x.sendHeartbeat(ctx, *o.heartbeat)
	case o.digest != nil:
		x.askDigest(ctx, *o.digest)
	case o.readList:
		x.readList(ctx)
	}
}

func (x *Exchange) sendHeartbeat(ctx context.Context, c member.Contact) {
	err := x.tell(ctx, c.Instance)
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.peers[c.Instance.ID]
	s.busy = false
	if s.last.IsZero() {
		// News came while the call was in progress.
		x.wakeUp()
	}
	if err == nil {
		return
	}
	x.counts.failed.Inc()
	if errors.Is(err, track.ErrNoListener) {
		x.state.NoListener(c.Instance.ID)
	}
}

// tell sends one heartbeat and takes the reply.
func (x *Exchange) tell(ctx context.Context, to track.Instance) error {
	peer, err := x.options.Dialer.DialPeer(to)
	if err != nil {
		return err
	}
	local := x.options.Local()
	x.mu.Lock()
	h := x.heartbeat(local)
	x.mu.Unlock()
	h.Payloads = x.offers(to)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x.counts.sent.Inc()
	reply, err := peer.Heartbeat(ctx, h)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.state.Answered(x.options.Clock.Now(), to, reply)
	x.mu.Unlock()
	x.receive(to.ID, reply.Payloads)
	return nil
}

// askDigest asks the preferred entry of a zone, or the next one after a failure.
func (x *Exchange) askDigest(ctx context.Context, z member.ZoneContact) {
	x.mu.Lock()
	turn := x.zones[z.Zone].failures % len(z.Entries)
	x.mu.Unlock()
	to := z.Entries[turn]
	digest, err := x.digestFrom(ctx, to, z.Query)
	if err == nil {
		x.summarized(digest)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.zones[z.Zone].busy = false
	if err != nil {
		// The entry that answered last stays the first to be asked.
		x.zones[z.Zone].failures++
		x.counts.failed.Inc()
		return
	}
	x.state.Digested(x.options.Clock.Now(), to.Region == x.options.Self.Region, digest)
}

func (x *Exchange) digestFrom(ctx context.Context, to track.Instance, q track.DigestQuery) (track.Digest, error) {
	peer, err := x.options.Dialer.DialPeer(to)
	if err != nil {
		return track.Digest{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x.counts.digests.Inc()
	return peer.Digest(ctx, q)
}

func (x *Exchange) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := x.options.List.Instances(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reading = false
	if err != nil {
		x.counts.listFailed.Inc()
		x.options.Logger.Warn("read instance list; the former one stays in use", zap.Error(err))
		return
	}
	before := len(x.state.Marked())
	x.state.Listed(x.options.Clock.Now(), instances)
	if len(x.state.Marked()) > before {
		x.tellEntries()
	}
}

// tellEntries makes heartbeats to the other entries due at once, so that news
// does not wait for the interval. The caller holds mu.
func (x *Exchange) tellEntries() {
	for _, e := range x.state.Entries() {
		if s := x.peers[e.ID]; s != nil {
			s.last = time.Time{}
		}
	}
}

// hurry has heartbeats sent to the other entries at once.
func (x *Exchange) hurry() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tellEntries()
	x.wakeUp()
}

// wakeUp has Run look at what is due now.
func (x *Exchange) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Leave tells every entry of the zone at once that this instance takes no new
// work. It returns when all have answered or failed, or the context ended.
func (x *Exchange) Leave(ctx context.Context) error {
	x.mu.Lock()
	x.leaving = true
	contacts := x.state.Contacts()
	x.mu.Unlock()
	var calls errgroup.Group
	for _, c := range contacts {
		if c.Instance.Role != track.RoleEntry {
			continue
		}
		calls.Go(func() error {
			return x.tell(ctx, c.Instance)
		})
	}
	return calls.Wait()
}
