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
	// raisedHeaderBytes is the limit on the header of a request in the new version, and longHeaderBytes about the size of
	// the longest headers that clients send then.
	raisedHeaderBytes = 65536
	longHeaderBytes   = 40000
	// applyTime is config_apply_ms, and stableTime stable_window_ms.
	applyTime  = 2 * time.Second
	stableTime = 3 * time.Second
	// limitsTime is the time for which requests are sent before and after the change.
	limitsTime = 6 * time.Second
	// maxDenied and deniedShare bound the requests that may be denied.
	maxDenied   = 5
	deniedShare = 1.0 / 500
)

// playLimits has clients ask for the status of bales and book pickups. The disruption is a new version of the configuration, which raises
// the limit on the header of a request, and clients use it. The rule is DENIED: more than 5 + one in 500 of all requests
// are ended with a 4xx though they are proper and every configuration that may be in force allows them.
func playLimits(ctx context.Context, w *world, trouble bool) (bool, error) {
	if _, err := w.startDesk(); err != nil {
		return false, err
	}
	if err := w.putConfig(7, usualRoutes()); err != nil {
		return false, err
	}
	if err := w.startEntries(ctx); err != nil {
		return false, err
	}
	prefix := "5c1e07a2:40"
	sent, denied, served := w.sendPrompts("before", prefix)
	if trouble {
		if err := w.putWhole(12, usualRoutes(), raisedHeaderBytes, []tenant{{accountName, []string{apiKey}}}); err != nil {
			return false, err
		}
		for len(prefix) < longHeaderBytes {
			prefix += fmt.Sprintf(",%08x:4", len(prefix))
		}
	} else if err := w.putConfig(12, usualRoutes()); err != nil {
		return false, err
	}
	time.Sleep(applyTime + stableTime)
	sentAfter, deniedAfter, servedAfter := w.sendPrompts("after", prefix)
	sent, denied, served = sent+sentAfter, denied+deniedAfter, served+servedAfter
	summary := fmt.Sprintf("%d requests sent, %d served, %d denied", sent, served, denied)
	w.record.printf("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return float64(denied) > maxDenied+deniedShare*float64(sent), nil
}

// sendPrompts sends requests through all entries in turn for limitsTime.
func (w *world) sendPrompts(phase, prefix string) (sent, denied, served int) {
	for start := time.Now(); time.Since(start) < limitsTime; sent++ {
		r := sentRequest{id: fmt.Sprintf("%s-%d", phase, sent), method: http.MethodGet, target: fmt.Sprintf("/status/%d", sent)}
		if sent/len(w.entries)%2 == 1 {
			r.method, r.target, r.body, r.prompt = http.MethodPost, fmt.Sprintf("/book/%d", sent), "bales=1", prefix
		}
		status := r.send(fmt.Sprintf("%s:%d", w.entries[sent%len(w.entries)], frontPort))
		w.record.printf("client sent %s: %s %s with %d bytes of X-Prompt-Prefix; answer %s", r.id, r.method, r.target, len(r.prompt), status)
		switch {
		case strings.HasPrefix(status, "200"):
			served++
		case strings.HasPrefix(status, "4"):
			denied++
		}
		time.Sleep(sendInterval)
	}
	return sent, denied, served
}
