package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The dimensions of the case drain.
const (
	drainEntries  = 6
	drainReplicas = 6 // of each service
	drainClients  = 80
	drainPause    = 35 * time.Millisecond
	drainWork     = 5 * time.Millisecond
	// drainRounds is the number of releases, drainRound the time from one to the next.
	drainRounds = 15
	drainRound  = 6500 * time.Millisecond
	// drainStep is the number of replicas that each release replaces: 0.33 of a service, both at once.
	drainStep = 2
	// drainStagger is the time from the beginning of one service's release to that of the next.
	drainStagger = 200 * time.Millisecond
	// drainLead is the shortest time from the first release to the cut, drainLeadSpread the time by which it
	// varies, and drainCut the length of the cut.
	drainLead       = 300 * time.Millisecond
	drainLeadSpread = 200 * time.Millisecond
	drainCut        = 2600 * time.Millisecond
)

// drainServices are the services, each of which has a route of the same name.
var drainServices = []string{"pickups", "stock", "yards"}

// runDrain cuts one entry off from the store while a release replaces the replicas. It checks that the
// others, which are in touch, send nothing to a replica later than the drain time.
func runDrain(ctx context.Context, trouble bool, record *recorder) error {
	w, err := newWorld(drainEntries, trouble, record)
	if err != nil {
		return err
	}
	defer w.close()
	c := configuration{version: 1, keys: []string{"key1"}}
	for _, service := range drainServices {
		c.routes = append(c.routes, route{
			name: service, prefix: "/" + service + "/", service: service, kind: "safe", timeoutMs: 1200,
		})
		if err := w.addReplicas(service, drainReplicas, drainWork); err != nil {
			return err
		}
	}
	if err := w.platform.configure(c); err != nil {
		return err
	}
	if err := w.startEntries(ctx); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for range drainClients {
		clients.Go(func() { w.poll(loadCtx) })
	}
	for round := range drainRounds {
		if err := w.replaceDuringCut(ctx, round); err != nil {
			endLoad()
			clients.Wait()
			return err
		}
	}
	endLoad()
	clients.Wait()
	return w.checkDrain()
}

// poll sends status requests until the context ends.
func (w *world) poll(ctx context.Context) {
	c := w.newClient()
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		id := newID()
		c.send(context.WithoutCancel(ctx), request{
			id: id, method: "GET", path: "/" + drainServices[rand.IntN(len(drainServices))] + "/" + id, key: "key1", timeout: 2500 * time.Millisecond,
		})
		select {
		case <-ctx.Done():
		case <-time.After(drainPause):
		}
	}
}

// replaceDuringCut replaces some replicas of each service, the new ones first, while the first entry of the zone by name is
// cut off from the store.
func (w *world) replaceDuringCut(ctx context.Context, round int) error {
	next := time.Now().Add(drainRound)
	old := make(map[string][]*replica)
	for _, service := range drainServices {
		old[service] = w.oldestReplicas(service, drainStep)
		if err := w.addReplicas(service, drainStep, drainWork); err != nil {
			return err
		}
	}
	// The new replicas are known before the old ones leave.
	time.Sleep(2 * time.Second)
	for i, service := range drainServices {
		time.AfterFunc(drainStagger*time.Duration(i), func() {
			for _, r := range old[service] {
				w.platform.drain(r)
			}
		})
	}
	time.Sleep(drainLead + rand.N(drainLeadSpread))
	if w.trouble {
		w.record.say("round %d: %s is cut off from the store", round, w.entries[0].name)
		w.links[0].setCut(true)
	}
	time.Sleep(drainCut)
	if w.trouble {
		w.record.say("round %d: the cut ends", round)
		w.links[0].setCut(false)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(next)):
		return nil
	}
}

// oldestReplicas returns the replicas of a service that have served for longest.
func (w *world) oldestReplicas(service string, count int) []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var oldest []*replica
	for _, r := range w.replicas {
		if len(oldest) < count && r.service == service && r.draining().IsZero() {
			oldest = append(oldest, r)
		}
	}
	return oldest
}

// checkDrain counts the requests that reached a replica later than the drain time after the store had
// acknowledged that it drains, sent on by entries that were never cut off.
func (w *world) checkDrain() error {
	answers := make(map[string]answer)
	for _, a := range w.clients.all() {
		answers[a.request.id] = a
	}
	late, runs := 0, w.ledger.all()
	for _, r := range runs {
		at := r.replica.draining()
		if at.IsZero() || r.at.Sub(at) <= drainTime {
			continue
		}
		a := answers[r.id]
		inTouch := a.entry != w.entries[0].name
		w.record.say("%s reached %s %d ms after its draining was acknowledged, sent at %d ms through %s (in touch: %t)",
			r.id, r.replica.id, r.at.Sub(at).Milliseconds(), a.sentAt.Sub(at).Milliseconds(), a.entry, inTouch)
		if inTouch {
			late++
		}
	}
	w.record.say("%d of %d requests came later than %s", late, len(runs), drainTime)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests", errBroken, late)
	}
	return nil
}
