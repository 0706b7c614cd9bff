package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// drainTime is drain_ms of the settings.
const drainTime = 2 * time.Second

// run is one request that a replica began to work on.
type run struct {
	replica  *replica
	id       string
	at       time.Time
	method   string
	target   string
	host     string
	account  string
	finished bool
}

// ledger holds what the replicas have run. It is safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) finish(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.finished = true
}

// all returns copies of the runs so far.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, *r)
	}
	return runs
}

// replica is a stand-in of a replica between its start and its end.
type replica struct {
	id, service, address string
	born                 time.Time
	ledger               *ledger
	record               *recorder
	// work is the time that a call takes, or an event of a stream.
	work time.Duration

	server *http.Server

	mu sync.Mutex
	// sequence numbers the reports to the store.
	sequence int
	// drainingAt is when the store acknowledged that the replica drains; zero before.
	drainingAt time.Time
	// gone is set once the replica has left the store's list.
	gone bool
}

// startReplica starts a replica at an address.
func startReplica(id, service, address string, work time.Duration, l *ledger, record *recorder) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for a replica: %w", err)
	}
	r := &replica{id: id, service: service, address: address, born: time.Now(), ledger: l, record: record, work: work}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		// Serve returns when the server is closed.
		_ = r.server.Serve(listener)
	}()
	return r, nil
}

// stop ends the replica and resets what it works on.
func (r *replica) stop() { r.server.Close() }

// draining returns when the store acknowledged that the replica drains; zero if it doesn't.
func (r *replica) draining() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainingAt
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	execution := &run{
		replica: r, id: id, at: time.Now(), method: request.Method, target: request.RequestURI, host: request.Host,
		account: request.Header.Get("X-Tenant"),
	}
	r.ledger.add(execution)
	r.record.add(execution.at, "run %s at %s: %s %s", id, r.id, request.Method, request.RequestURI)
	w.Header().Set("X-Replica-Seal", "seal-"+r.id+"-"+id)
	if strings.Contains(request.URL.Path, "/stream/") {
		if !r.serveStream(w, request, id) {
			return
		}
	} else if !r.serveCall(w, request, id) {
		return
	}
	r.ledger.finish(execution)
}

// serveCall answers a call once its work is done.
func (r *replica) serveCall(w http.ResponseWriter, request *http.Request, id string) bool {
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		return false
	}
	body := callBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	return err == nil
}

// serveStream sends as many events as the path says, those after the last that the client has.
func (r *replica) serveStream(w http.ResponseWriter, request *http.Request, id string) bool {
	_, count, _ := strings.Cut(request.URL.Path, "/stream/")
	events, err := strconv.Atoi(count)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return true
	}
	// A missing header means that the stream begins with its first event.
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= events; n++ {
		select {
		case <-time.After(r.work):
		case <-request.Context().Done():
			return false
		}
		if _, err := io.WriteString(w, event(id, n)); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
	}
	return true
}

// callBody returns the body of the answer to a call.
func callBody(id string) string { return "done " + id + strings.Repeat(".", 780) }

// event returns an event of the answer to a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// streamBody returns the whole answer to a stream.
func streamBody(id string, events int) string {
	var body strings.Builder
	for n := 1; n <= events; n++ {
		body.WriteString(event(id, n))
	}
	return body.String()
}
