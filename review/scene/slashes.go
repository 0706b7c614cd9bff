package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// slashesTime is the time for which requests are sent before and after the change of the configuration.
	slashesTime = 4 * time.Second
	// sendInterval is the time between two requests.
	sendInterval = 50 * time.Millisecond
	// requestBudget is the time budget of a request.
	requestBudget = 2500 * time.Millisecond
)

// sentRequest is a request as a client sent it.
type sentRequest struct {
	id, method, target, body string
	// key is the API key; empty for the usual one.
	key string
	// prompt is the value of X-Prompt-Prefix; empty for none.
	prompt string
}

// playSlashes has clients send bookings. Some of them join the address of the service, which ends with a slash, and a
// path, so that the path begins with two slashes. The disruption is a new version of the configuration, which adds a
// route for all other paths. The rule is UNASKED: a replica runs a request with method, path, query or body changed.
func playSlashes(ctx context.Context, w *world, trouble bool) (bool, error) {
	d, err := w.startDesk()
	if err != nil {
		return false, err
	}
	if err := w.putConfig(7, usualRoutes()); err != nil {
		return false, err
	}
	if err := w.startEntries(ctx); err != nil {
		return false, err
	}
	sent := make(map[string]sentRequest)
	served := w.sendBookings(sent, "before")
	if trouble {
		if err := w.putConfig(12, append(usualRoutes(), route{"everything-else", "/", "unsafe"})); err != nil {
			return false, err
		}
	}
	served += w.sendBookings(sent, "after")
	if served == 0 {
		return false, fmt.Errorf("none of %d requests was served", len(sent))
	}
	return d.judge(sent), nil
}

// sendBookings sends requests through all entries in turn for slashesTime. It returns the number of those that were served.
func (w *world) sendBookings(sent map[string]sentRequest, phase string) int {
	served := 0
	start := time.Now()
	for n := 0; time.Since(start) < slashesTime; n++ {
		r := sentRequest{id: fmt.Sprintf("%s-%d", phase, n), method: http.MethodPost, body: fmt.Sprintf("bales=%d", n)}
		switch n % 4 {
		case 0:
			r.target = fmt.Sprintf("/book/%d", n)
		case 1:
			r.target = fmt.Sprintf("//book/%d", n)
		case 2:
			r.method, r.target, r.body = http.MethodGet, fmt.Sprintf("/status/%d?full=1", n), ""
		case 3:
			r.target = fmt.Sprintf("//yard/%d?day=mon", n)
		}
		sent[r.id] = r
		status := r.send(fmt.Sprintf("%s:%d", w.entries[n%len(w.entries)], frontPort))
		w.record.printf("client sent %s: %s %s, body %q; answer %s", r.id, r.method, r.target, r.body, status)
		if strings.HasPrefix(status, "200") {
			served++
		}
		time.Sleep(sendInterval)
	}
	return served
}

// send sends the request over a new connection and returns the status of the answer, or why there was none.
func (r sentRequest) send(address string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	// An error shows when the answer is read.
	_ = conn.SetDeadline(time.Now().Add(requestBudget))
	prompt := ""
	if r.prompt != "" {
		prompt = "X-Prompt-Prefix: " + r.prompt + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.target, host, r.id, requestBudget.Milliseconds(), cmp.Or(r.key, apiKey), prompt, len(r.body), r.body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s, seal %q", response.Status, response.Header.Get("X-Replica-Seal"))
}

// judge compares what the replicas ran with what the clients sent.
func (d *desk) judge(sent map[string]sentRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := 0
	for _, run := range d.runs {
		r, known := sent[run.id]
		if known && r.method == run.method && r.target == run.target && r.body == run.body {
			continue
		}
		changed++
		d.record.printf("UNASKED: %s sent as %s %s was run by %s as %s %s", run.id, r.method, r.target, run.replica, run.method, run.target)
	}
	summary := fmt.Sprintf("%d requests sent, %d run, %d of them changed", len(sent), len(d.runs), changed)
	d.record.printf("%s", summary)
	fmt.Println(summary)
	return changed > 0
}
