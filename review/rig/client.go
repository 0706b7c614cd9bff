package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, path, key string
	body                  []byte
	// rate is the number of bytes of the body that the client sends a second; 0 if it sends them at once.
	rate    int
	timeout time.Duration
	header  map[string]string
	// events is the number of events that a whole answer has; 0 for a call.
	events int
}

// answer is what the client got.
type answer struct {
	request request
	entry   string
	// kept is set if the request was sent over a channel with an earlier answer.
	kept    bool
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if there was no answer.
	status int
	body   string
	seal   string
	// whole is set if the answer was read to its end.
	whole bool
	fault string
}

// served reports whether the answer is the whole answer of a replica.
func (a answer) served() bool {
	expected := callBody(a.request.id)
	if a.request.events > 0 {
		expected = streamBody(a.request.id, a.request.events)
	}
	return a.status == http.StatusOK && a.whole && a.body == expected
}

// clientLog holds what the clients got. It is safe for concurrent use.
type clientLog struct {
	mu      sync.Mutex
	answers []answer
}

func (c *clientLog) add(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

func (c *clientLog) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}

var requestCount atomic.Int64

// newID returns an ID that no other request has.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requestCount.Add(1)) }

// client sends one request after the other. It keeps its channel to an entry for as long as the entry does.
type client struct {
	world *world
	http  *http.Client
	entry *entryProcess
}

// newClient returns a client without a channel.
func (w *world) newClient() *client {
	return &client{world: w, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// chooseEntry returns the entry of the client's channel: a kept one, or that to which the platform forwards
// a new one.
func (c *client) chooseEntry() *entryProcess {
	if c.entry != nil {
		return c.entry
	}
	var ready []*entryProcess
	for _, e := range c.world.entries {
		if e.inRotation() {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(c.world.entries) {
		// With fewer than half in rotation, the platform uses all.
		ready = c.world.entries
	}
	return ready[rand.IntN(len(ready))]
}

// send sends a request, reads its answer and adds that to the log of the clients. It returns whether the request was
// served.
func (c *client) send(ctx context.Context, r request) bool {
	e := c.chooseEntry()
	a := answer{request: r, entry: e.name, kept: c.entry != nil}
	ctx, cancel := context.WithTimeout(ctx, r.timeout+500*time.Millisecond)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, r.method, "http://"+e.clientsAddress()+r.path, newBody(r))
	if err != nil {
		panic(err)
	}
	h.ContentLength = int64(len(r.body))
	h.Host = configHost
	h.Header.Set("X-Request-Id", r.id)
	h.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	h.Header.Set("Authorization", "Token "+r.key)
	for name, value := range r.header {
		h.Header.Set(name, value)
	}
	a.sentAt = time.Now()
	c.read(h, &a)
	a.endedAt = time.Now()
	c.entry = nil
	if a.whole {
		c.entry = e
	}
	c.world.record.add(a.sentAt, "sent %s to %s: %s %s, %d bytes; answered after %d ms: status %d, whole %t, served %t %s",
		r.id, e.name, r.method, r.path, len(r.body), a.endedAt.Sub(a.sentAt).Milliseconds(), a.status, a.whole, a.served(), a.fault)
	c.world.clients.add(a)
	return a.served()
}

// pacedReader gives the bytes of a body at a rate.
type pacedReader struct {
	body  *bytes.Reader
	rate  int
	begun time.Time
	given int
}

// newBody returns a reader of the body of a request.
func newBody(r request) io.Reader {
	if r.rate == 0 || len(r.body) == 0 {
		return bytes.NewReader(r.body)
	}
	return &pacedReader{body: bytes.NewReader(r.body), rate: r.rate}
}

// Read implements io.Reader.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	if p.begun.IsZero() {
		p.begun = time.Now()
	}
	n, err := p.body.Read(buffer)
	p.given += n
	time.Sleep(time.Until(p.begun.Add(time.Duration(p.given) * time.Second / time.Duration(p.rate))))
	return n, err
}

// read sends the HTTP request and reads the answer.
func (c *client) read(h *http.Request, a *answer) {
	response, err := c.http.Do(h)
	if err != nil {
		a.fault = err.Error()
		return
	}
	defer response.Body.Close()
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Replica-Seal")
	body, err := io.ReadAll(response.Body)
	a.body, a.whole = string(body), err == nil && !response.Close
	if err != nil {
		a.fault = err.Error()
	}
	if err == nil && response.Close {
		// The answer is whole, but the entry closes the channel.
		a.whole = true
		c.http.CloseIdleConnections()
	}
}
