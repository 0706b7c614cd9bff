package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// secondKey is the other key of the only client account, and forgedKey a key that no configuration holds.
	secondKey = "key-mills-2"
	forgedKey = "key-forged"
	// keysTime is the time for which requests are sent under each configuration.
	keysTime = 3 * time.Second
)

// playKeys has clients ask for the status of bales with keys that the configuration holds and with one that none ever
// held. The disruption is that the operator takes the keys away, one after the other, and the account with the last one.
// The rule is ROUTE: a request runs whose key no configuration ever held.
func playKeys(ctx context.Context, w *world, trouble bool) (bool, error) {
	d, err := w.startDesk()
	if err != nil {
		return false, err
	}
	versions := [][]tenant{
		{{accountName, []string{apiKey, secondKey}}},
		{{accountName, []string{apiKey}}},
		{},
	}
	if !trouble {
		versions[2] = versions[1]
	}
	sent := make(map[string]string)
	served := 0
	for i, tenants := range versions {
		if err := w.putWhole(7+5*i, usualRoutes(), usualHeaderBytes, tenants); err != nil {
			return false, err
		}
		if i == 0 {
			if err := w.startEntries(ctx); err != nil {
				return false, err
			}
		} else {
			time.Sleep(applyTime + stableTime)
		}
		served += w.sendWithKeys(sent, make(map[string]int), i, keysTime)
	}
	if served == 0 {
		return false, errors.New("no request was served")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	unauthorized := 0
	for _, run := range d.runs {
		if key := sent[run.id]; key == forgedKey {
			unauthorized++
			w.record.printf("ROUTE: %s with the key %q, which no configuration held, was run by %s", run.id, key, run.replica)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d run, %d of them with a key that no configuration held", len(sent), len(d.runs), unauthorized)
	w.record.printf("%s", summary)
	fmt.Println(summary)
	return unauthorized > 0, nil
}

// sendWithKeys sends requests with all keys through all entries in turn for a time. It records the key of each and the index
// of its entry, and returns the number served.
func (w *world) sendWithKeys(sent map[string]string, through map[string]int, phase int, during time.Duration) int {
	served, keys := 0, []string{apiKey, secondKey, forgedKey}
	start := time.Now()
	for n := 0; time.Since(start) < during; n++ {
		r := sentRequest{
			id: fmt.Sprintf("v%d-%d", phase, n), method: http.MethodGet, target: fmt.Sprintf("/status/%d", n), key: keys[n%len(keys)],
		}
		entry := n / len(keys) % len(w.entries)
		sent[r.id], through[r.id] = r.key, entry
		status := r.send(fmt.Sprintf("%s:%d", w.entries[entry], frontPort))
		w.record.printf("client sent %s with %s to entry %d; answer %s", r.id, r.key, entry, status)
		if strings.HasPrefix(status, "200") {
			served++
		}
		time.Sleep(sendInterval)
	}
	return served
}
