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

// RunOnce makes all calls that are due, and then those that became due as a result. When it
// returns, an entry that could read the instance list and reach its agents can route
// requests.
func (x *Exchange) RunOnce(ctx context.Context) {
	for range 2 {
		var calls errgroup.Group
		for _, d := range x.dueCalls() {
			calls.Go(func() error {
				x.makeCall(ctx, d)
				return nil
			})
		}
		// The functions never return an error; failures are counted as metrics.
		_ = calls.Wait()
	}
	x.publish()
}

// dueCall is a call that is due. Exactly one field is set.
type dueCall struct {
	// heartbeat is the peer to which a heartbeat is due.
	heartbeat *member.HeartbeatTarget
	// digest is the zone from which a digest is due.
	digest *member.DigestTarget
	// readList is set if the instance list is to be read.
	readList bool
}

// Run makes the calls that are due until the context ends. It returns the cause of its
// end once all calls have ended.
func (x *Exchange) Run(ctx context.Context) error {
	ticker := x.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var calls errgroup.Group
	for {
		due := x.dueCalls()
		x.publish()
		for _, d := range due {
			calls.Go(func() error {
				x.makeCall(ctx, d)
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

// dueCalls advances the membership state to the current time and returns the calls to
// make now. At most one call to each peer or zone is in progress at a time.
func (x *Exchange) dueCalls() []dueCall {
	now := x.options.Clock.Now()
	local := x.options.Local()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.Tick(now)
	if local.Up != x.announcedUp || local.Leaving != x.announcedLeaving {
		x.announcedUp, x.announcedLeaving = local.Up, local.Leaving
		x.scheduleHeartbeats()
	}
	var due []dueCall
	for _, c := range x.state.HeartbeatTargets() {
		if startIfDue(x.peerCalls, c.Instance.ID, now, c.Interval) {
			due = append(due, dueCall{heartbeat: &c})
		}
	}
	for _, z := range x.state.DigestTargets() {
		if startIfDue(x.zoneCalls, z.Zone, now, z.Interval) {
			due = append(due, dueCall{digest: &z})
		}
	}
	if !x.readingList && x.state.TakeListTurn(now) {
		x.readingList = true
		due = append(due, dueCall{readList: true})
	}
	x.removeOldCallStates(now)
	return due
}

// startIfDue reports whether a call is due and, if it is, marks it as in progress. A call
// is due if none is in progress and the interval since the start of the last one has
// passed.
func startIfDue[K comparable](calls map[K]*callState, key K, now time.Time, interval time.Duration) bool {
	s := calls[key]
	if s == nil {
		s = &callState{}
		calls[key] = s
	}
	if s.inProgress || (!s.lastStart.IsZero() && now.Sub(s.lastStart) < interval) {
		return false
	}
	s.inProgress = true
	s.lastStart = now
	return true
}

// removeOldCallStates removes the call states of peers whose last call is older than
// Timing.TombstoneTTL.
func (x *Exchange) removeOldCallStates(now time.Time) {
	for id, s := range x.peerCalls {
		if !s.inProgress && now.Sub(s.lastStart) > x.options.Timing.TombstoneTTL {
			delete(x.peerCalls, id)
		}
	}
}

// makeCall makes one call and handles its result.
func (x *Exchange) makeCall(ctx context.Context, d dueCall) {
	switch {
	case d.heartbeat != nil:
		x.callPeer(ctx, *d.heartbeat)
	case d.digest != nil:
		x.callZone(ctx, *d.digest)
	case d.readList:
		x.readList(ctx)
	}
}

// callPeer sends the heartbeat that is due to a peer and records the result.
func (x *Exchange) callPeer(ctx context.Context, c member.HeartbeatTarget) {
	err := x.sendHeartbeat(ctx, c.Instance)
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.peerCalls[c.Instance.ID]
	s.inProgress = false
	if s.lastStart.IsZero() {
		// Another heartbeat was scheduled while the call was in progress.
		x.wakeUp()
	}
	if err == nil {
		return
	}
	x.counters.callsFailed.Inc()
	if errors.Is(err, track.ErrNoListener) {
		x.state.HandleConnectionRefused(c.Instance.ID)
	}
}

// sendHeartbeat sends one heartbeat and handles the reply.
func (x *Exchange) sendHeartbeat(ctx context.Context, to track.Instance) error {
	peer, err := x.options.Dialer.DialPeer(to)
	if err != nil {
		return err
	}
	local := x.options.Local()
	x.mu.Lock()
	h := x.newHeartbeat(local)
	x.mu.Unlock()
	h.Payloads = x.payloadsFor(to)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x.counters.heartbeatsSent.Inc()
	reply, err := peer.Heartbeat(ctx, h)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.state.HandleReply(x.options.Clock.Now(), to, reply)
	x.mu.Unlock()
	x.handlePayloads(to.ID, reply.Payloads)
	return nil
}

// callZone requests a digest from an entry of the zone: the one that responded last, or
// the next one after a failure.
func (x *Exchange) callZone(ctx context.Context, z member.DigestTarget) {
	x.mu.Lock()
	index := x.zoneCalls[z.Zone].failures % len(z.Entries)
	x.mu.Unlock()
	to := z.Entries[index]
	digest, err := x.requestDigest(ctx, to, z.Query)
	if err == nil {
		x.handleSummaries(digest)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.zoneCalls[z.Zone].inProgress = false
	if err != nil {
		// Only a failure moves on to the next entry, so that the entry that responded
		// last is asked first.
		x.zoneCalls[z.Zone].failures++
		x.counters.callsFailed.Inc()
		return
	}
	x.state.HandleDigest(x.options.Clock.Now(), to.Region == x.options.Self.Region, digest)
}

func (x *Exchange) requestDigest(ctx context.Context, to track.Instance, q track.DigestQuery) (track.Digest, error) {
	peer, err := x.options.Dialer.DialPeer(to)
	if err != nil {
		return track.Digest{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x.counters.digestsRequested.Inc()
	return peer.Digest(ctx, q)
}

// readList reads the instance list and updates the membership state with it. It schedules
// heartbeats if the list newly marks instances as leaving.
func (x *Exchange) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := x.options.List.Instances(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readingList = false
	if err != nil {
		x.counters.listFailures.Inc()
		x.options.Logger.Warn("cannot read instance list; the previous one stays in use", zap.Error(err))
		return
	}
	markedBefore := len(x.state.ListedLeaving())
	x.state.UpdateList(x.options.Clock.Now(), instances)
	if len(x.state.ListedLeaving()) > markedBefore {
		x.scheduleHeartbeats()
	}
}

// scheduleHeartbeats makes heartbeats to the other entries due at once, so that changes
// are announced without waiting for the interval. The caller holds mu.
func (x *Exchange) scheduleHeartbeats() {
	for _, e := range x.state.Entries() {
		if s := x.peerCalls[e.ID]; s != nil {
			s.lastStart = time.Time{}
		}
	}
}

// sendHeartbeatsNow makes Run send heartbeats to the other entries at once.
func (x *Exchange) sendHeartbeatsNow() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scheduleHeartbeats()
	x.wakeUp()
}

// wakeUp makes Run check now which calls are due.
func (x *Exchange) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Leave announces at once, to every entry that this instance sends heartbeats to, that it
// accepts no new requests. It returns when every call has ended, or when the context
// ends. The error is that of the first failed call.
func (x *Exchange) Leave(ctx context.Context) error {
	x.mu.Lock()
	x.leaving = true
	contacts := x.state.HeartbeatTargets()
	x.mu.Unlock()
	var calls errgroup.Group
	for _, c := range contacts {
		if c.Instance.Role != track.RoleEntry {
			continue
		}
		calls.Go(func() error {
			return x.sendHeartbeat(ctx, c.Instance)
		})
	}
	return calls.Wait()
}
