package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The dimensions of the case stop.
const (
	stopEntries  = 3
	stopReplicas = 40
	stopClients  = 1500
	// stopPause is the longest pause between two requests of a client, shorter than the idle timeout.
	stopPause = 10 * time.Second
	// Most streams have stopShort events; one of stopEvery has stopLong. An event takes stopEvent.
	stopShort = 10
	stopLong  = 60
	stopEvery = 32
	stopEvent = 100 * time.Millisecond
	// stopGap is the time from the restart of an entry to the next stop.
	stopGap = 2 * time.Second
	// stopExcused is the time after a SIGTERM in which a request may be sent that isn't counted if its replica
	// is still at work in the last sixth of the grace time.
	stopExcused = 3 * time.Second
)

// stopping is a planned stop of an entry.
type stopping struct {
	entry string
	at    time.Time
}

// runStop stops and starts the entries in turn while clients ask for streams over kept channels. It checks
// that no stream is cut off but those that the rule excuses.
func runStop(ctx context.Context, trouble bool, record *recorder) error {
	w, err := newWorld(stopEntries, trouble, record)
	if err != nil {
		return err
	}
	defer w.close()
	c := configuration{version: 1, keys: []string{"key1"}, routes: []route{
		{name: "notes", prefix: "/notes/", service: "llm", kind: "streaming", timeoutMs: 8000},
	}}
	if err := w.platform.configure(c); err != nil {
		return err
	}
	if err := w.addReplicas("llm", stopReplicas, stopEvent); err != nil {
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
	for range stopClients {
		clients.Go(func() { w.stream(loadCtx) })
	}
	time.Sleep(stopPause)
	var stops []stopping
	end := time.Now().Add(80 * time.Second)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		if trouble {
			e := w.entries[i%stopEntries]
			stops = append(stops, stopping{entry: e.name, at: time.Now()})
			if err := e.terminate(); err != nil {
				endLoad()
				return err
			}
		}
		time.Sleep(stopGap)
	}
	endLoad()
	clients.Wait()
	return w.checkStops(stops)
}

// stream asks for streams until the context ends.
func (w *world) stream(ctx context.Context) {
	c := w.newClient()
	defer c.http.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(stopPause)):
		}
		events := stopShort
		if rand.IntN(stopEvery) == 0 {
			events = stopLong
		}
		c.send(context.WithoutCancel(ctx), request{
			id: newID(), method: http.MethodPost, path: fmt.Sprintf("/notes/stream/%d", events), key: "key1",
			timeout: 8 * time.Second, events: events,
		})
	}
}

// checkStops counts the answers that were cut off during a planned stop of their entry without an excuse.
func (w *world) checkStops(stops []stopping) error {
	ran := make(map[string]bool)
	for _, r := range w.ledger.all() {
		ran[r.id] = true
	}
	cut, excused := 0, 0
	answers := w.clients.all()
	for _, a := range answers {
		if a.whole || a.endedAt.Sub(a.sentAt) >= a.request.timeout || !ran[a.request.id] {
			continue
		}
		for _, s := range stops {
			if s.entry != a.entry || a.endedAt.Before(s.at) || a.sentAt.After(s.at.Add(graceTime+time.Second)) {
				continue
			}
			sent, ended := a.sentAt.Sub(s.at), a.endedAt.Sub(s.at)
			if sent <= stopExcused && ended >= graceTime*5/6 {
				excused++
				continue
			}
			cut++
			w.record.say("%s (%d events) was sent to %s %d ms after its SIGTERM and cut off at %d ms, %d ms after it was sent: %s",
				a.request.id, a.request.events, a.entry, sent.Milliseconds(), ended.Milliseconds(),
				a.endedAt.Sub(a.sentAt).Milliseconds(), a.fault)
		}
	}
	w.record.say("%d stops, %d answers, %d cut off, %d more excused", len(stops), len(answers), cut, excused)
	if cut > 0 {
		return fmt.Errorf("%w: LOST, %d answers", errBroken, cut)
	}
	return nil
}
