package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// runPath sends requests whose path begins with two slashes on a route with the prefix "/". It checks that
// replicas get them unchanged.
func runPath(ctx context.Context, trouble bool, record *recorder) error {
	w, err := newWorld(2, trouble, record)
	if err != nil {
		return err
	}
	defer w.close()
	c := configuration{version: 1, keys: []string{"key1"}, routes: []route{
		{name: "all", prefix: "/", service: "desk", kind: "unsafe", timeoutMs: 1200},
	}}
	if err := w.platform.configure(c); err != nil {
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
	sent := make(map[string]string)
	for i := range 20 {
		target := fmt.Sprintf("/bookings/%d?bales=40", i)
		if trouble {
			target = "/" + target
		}
		id := newID()
		sent[id] = target
		if err := w.sendRaw(w.entries[i%2], id, target); err != nil {
			return err
		}
	}
	changed := 0
	for _, r := range w.ledger.all() {
		if r.target != sent[r.id] || r.host != configHost {
			changed++
			record.say("%s was sent as %q for host %q and run as %q for host %q", r.id, sent[r.id], configHost, r.target, r.host)
		}
	}
	record.say("%d of %d requests were run with another path or host", changed, len(sent))
	if changed > 0 {
		return fmt.Errorf("%w: UNASKED, %d requests", errBroken, changed)
	}
	return nil
}

// sendRaw sends a request with exactly the given target and reads its answer.
func (w *world) sendRaw(e *entryProcess, id, target string) error {
	conn, err := net.Dial("tcp", e.clientsAddress())
	if err != nil {
		return fmt.Errorf("connect to %s: %w", e.name, err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return fmt.Errorf("set a deadline: %w", err)
	}
	w.record.add(time.Now(), "sent %s to %s: POST %s", id, e.name, target)
	lines := []string{
		"POST " + target + " HTTP/1.1", "Host: " + configHost, "X-Request-Id: " + id, "X-Deadline-Ms: 2500",
		"Authorization: Token key1", "Content-Length: 4", "Connection: close", "", "body",
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return fmt.Errorf("send a request: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("read a response: %w", err)
	}
	defer response.Body.Close()
	w.record.add(time.Now(), "answered %s: status %d", id, response.StatusCode)
	return nil
}
