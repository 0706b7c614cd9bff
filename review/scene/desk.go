package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// deskRun is a request as a replica ran it.
type deskRun struct {
	id, replica    string
	method, target string
	// host and path are what the replica takes the request to be for.
	host, path string
	body       string
}

// desk is the replicas of the plain service.
type desk struct {
	record *record

	mu   sync.Mutex
	runs []deskRun
}

// startDesk starts the replicas of the plain service, one in each zone, and lists them.
func (w *world) startDesk() (*desk, error) {
	d := &desk{record: w.record}
	for i, zone := range zones {
		id := fmt.Sprintf("i-desk-%d", i)
		address, _, err := w.serve(w.address(firstDeskHost+i)+":0", d.replica(id))
		if err != nil {
			return nil, err
		}
		data, err := json.Marshal(map[string]any{
			"service": deskService, "address": address, "zone": zone, "version": "v1", "slots": deskSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return nil, fmt.Errorf("encode replica: %w", err)
		}
		w.log.Put(topicServers, id, data)
	}
	return d, nil
}

// replica returns the handler of a sound replica.
func (d *desk) replica(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != id {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		run := deskRun{
			id: r.Header.Get("X-Request-Id"), replica: id, method: r.Method, target: r.RequestURI, host: r.Host, path: r.URL.Path,
			body: string(body),
		}
		d.record.printf("%s runs %s: %s %s (host %s, path %s), body %q", id, run.id, run.method, run.target, run.host, run.path, run.body)
		d.mu.Lock()
		d.runs = append(d.runs, run)
		d.mu.Unlock()
		time.Sleep(deskWork)
		w.Header().Set("X-Request-Id", run.id)
		w.Header().Set("X-Replica-Seal", "seal-"+id)
		// An error means that the entry has closed the connection.
		_, _ = io.WriteString(w, strings.Repeat(".", 800))
	})
}
