package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The times of the case settings.
const (
	settingsClients = 20
	settingsEntries = 5
	// settingsFirst is the number of entries that get SIGHUP first; the others get it settingsGap later.
	settingsFirst = 3
	settingsGap   = 2 * time.Second
	// settingsSlack is the time for which a revoked key may be used, as config_apply_ms of the settings.
	settingsSlack = 2 * time.Second
)

// runSettings moves the store to another address and tells the entries by their settings files and SIGHUP.
// It then takes a key away, and checks that the key is refused once the configuration must be in force.
func runSettings(ctx context.Context, trouble bool, record *recorder) error {
	w, err := newWorld(settingsEntries, trouble, record)
	if err != nil {
		return err
	}
	defer w.close()
	c := configuration{version: 1, keys: []string{"key1", "key2"}, routes: []route{
		{name: "book", prefix: "/book/", service: "desk", kind: "unsafe", timeoutMs: 1200},
	}}
	if _, err := w.platform.configure(c); err != nil {
		return err
	}
	if err := w.addReplicas("desk", 3, 10*time.Millisecond); err != nil {
		return err
	}
	if err := w.startEntries(ctx); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	if trouble {
		if err := w.moveStore(); err != nil {
			return err
		}
	}
	// The machines are in touch again once they have been calm for touchTime.
	time.Sleep(2 * touchTime)
	c.version, c.keys = 5, []string{"key1"}
	revokedAt, err := w.platform.configure(c)
	if err != nil {
		return err
	}
	record.say("key2 is taken away")
	time.Sleep(settingsSlack + time.Second)
	return w.checkRevoked(ctx, revokedAt)
}

// moveStore makes the store answer at another address, which it writes into the settings files, and no
// longer at the old one.
func (w *world) moveStore() error {
	if _, err := w.platform.serve(w.storeAddress(movedStoreHost)); err != nil {
		return err
	}
	for i, e := range w.entries {
		if i == settingsFirst {
			time.Sleep(settingsGap)
		}
		if err := e.writeSettings(w.storeAddress(movedStoreHost)); err != nil {
			return fmt.Errorf("write the settings of %s: %w", e.name, err)
		}
		e.signal(syscall.SIGHUP)
	}
	w.record.say("the settings name another address of the store, SIGHUP was sent")
	time.Sleep(3 * time.Second)
	for _, l := range w.links {
		l.setCut(true)
	}
	w.record.say("the store has left its old address")
	return nil
}

// checkRevoked sends requests with the key that was taken away, and counts those that run.
func (w *world) checkRevoked(ctx context.Context, revokedAt time.Time) error {
	ids := make(map[string]bool)
	for range settingsClients {
		c := w.newClient()
		id := newID()
		ids[id] = true
		c.send(ctx, request{id: id, method: http.MethodPost, path: "/book/" + id, key: "key2", timeout: 2500 * time.Millisecond})
		c.http.CloseIdleConnections()
		time.Sleep(200 * time.Millisecond)
	}
	ran := 0
	for _, r := range w.ledger.all() {
		if ids[r.id] {
			ran++
			w.record.say("%s ran at %s %d ms after its key was taken away", r.id, r.replica.id, r.at.Sub(revokedAt).Milliseconds())
		}
	}
	w.record.say("%d of %d requests with the key ran", ran, len(ids))
	if ran > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests", errBroken, ran)
	}
	return nil
}
