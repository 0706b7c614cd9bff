package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// moveTime is the time for which requests are sent before and after the key is taken away.
	moveTime = 3 * time.Second
	// signalled is the number of entries that get SIGHUP, half of them; the site file has a share of 0.6.
	signalled = 3
	// storeHost and movedStoreHost are the last bytes of the addresses of the platform's log before and after its move.
	storeHost, movedStoreHost = 1, 2
)

// playMove has the platform move its log to another address: the settings files change, and SIGHUP says so to half of the
// entries. Then the operator takes a key away. Only requests through the entries that got SIGHUP count. The rule is CONFIG: a request sent later than config_apply_ms after the ack of a version is
// handled as only an older version allows, here run with a dropped key.
func playMove(ctx context.Context, w *world, trouble bool) (bool, error) {
	d, err := w.startDesk()
	if err != nil {
		return false, err
	}
	if err := w.putWhole(7, usualRoutes(), usualHeaderBytes, []tenant{{accountName, []string{apiKey, secondKey}}}); err != nil {
		return false, err
	}
	if err := w.startEntries(ctx); err != nil {
		return false, err
	}
	sent, through := make(map[string]string), make(map[string]int)
	served := w.sendWithKeys(sent, through, 0, moveTime)
	if trouble {
		if err := w.moveLog(); err != nil {
			return false, err
		}
	}
	for _, p := range w.processes[:signalled] {
		p.signal(syscall.SIGHUP)
		w.record.printf("platform: SIGHUP to %s", p.name)
	}
	time.Sleep(stableTime)
	if err := w.putConfig(12, usualRoutes()); err != nil {
		return false, err
	}
	time.Sleep(applyTime + stableTime)
	served += w.sendWithKeys(sent, through, 1, moveTime)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	stale := 0
	for _, run := range d.runs {
		if strings.HasPrefix(run.id, "v1-") && sent[run.id] == secondKey && through[run.id] < signalled {
			stale++
			w.record.printf("CONFIG: %s with the key %q, which was taken away, was run by %s", run.id, sent[run.id], run.replica)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d run, %d of them with a key that was taken away, through entries that got SIGHUP", len(sent), len(d.runs), stale)
	w.record.printf("%s", summary)
	fmt.Println(summary)
	return stale > 0, nil
}

// moveLog serves the platform's log at another address, with all that it holds, writes that address into the settings of
// all processes, and ends the service at the old address.
func (w *world) moveLog() error {
	old, server := w.logAddr, w.logServer
	var err error
	if w.logAddr, _, err = w.serve(w.address(movedStoreHost)+":0", http.Handler(w.log)); err != nil {
		return err
	}
	for _, p := range w.processes {
		if err := p.replaceInSettings(old, w.logAddr); err != nil {
			return err
		}
	}
	_ = server.Close()
	w.record.printf("platform: the log has moved from %s to %s, and the settings files name the new address", old, w.logAddr)
	return nil
}
