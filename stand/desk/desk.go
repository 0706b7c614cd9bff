// Package desk provides a stand-in for a plain service that takes bookings and
// orders. It has no idempotence of its own: work asked for twice is done twice,
// so that doubles can be counted.
package desk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultMaxBodyBytes bounds the body of a request unless the settings do.
const DefaultMaxBodyBytes = 1 << 20

var errBadJSON = errors.New("body is not JSON")

// Settings describe a service.
type Settings struct {
	// PartsOrders adds orders of parts to the bookings.
	PartsOrders bool
	// Latency delays each answer; work is done before the delay.
	Latency time.Duration
	// MaxBodyBytes bounds the body of a request; 0 means the default.
	MaxBodyBytes int64
}

// Desk is a stand-in plain service. It is safe for concurrent use.
type Desk struct {
	clock    clockwork.Clock
	settings Settings
	mux      *http.ServeMux
	bookings collection
	orders   collection

	mu      sync.Mutex
	latency time.Duration
	// crashed is closed while the service is down.
	crashed chan struct{}
}

// Item is one booking or order.
type Item struct {
	ID string
	// Body is the JSON body of the request that made it.
	Body json.RawMessage
}

// New returns a service without bookings.
func New(clock clockwork.Clock, settings Settings) *Desk {
	if settings.MaxBodyBytes <= 0 {
		settings.MaxBodyBytes = DefaultMaxBodyBytes
	}
	d := &Desk{
		clock:    clock,
		settings: settings,
		mux:      http.NewServeMux(),
		latency:  settings.Latency,
		crashed:  make(chan struct{}),
		bookings: collection{idName: "BookingID", prefix: "booking"},
		orders:   collection{idName: "PartsOrderID", prefix: "parts-order"},
	}
	d.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	d.register("/bookings", &d.bookings)
	if settings.PartsOrders {
		d.register("/parts-orders", &d.orders)
	}
	return d
}

func (d *Desk) register(path string, c *collection) {
	d.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { d.create(w, r, c) })
	d.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { d.list(w, r, c) })
	d.mux.HandleFunc("GET "+path+"/{id}", func(w http.ResponseWriter, r *http.Request) { d.read(w, r, c) })
}

// ServeHTTP implements http.Handler. While the service is down, connections are
// cut without an answer.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.life():
		panic(http.ErrAbortHandler)
	default:
		d.mux.ServeHTTP(w, r)
	}
}

// Bookings returns the bookings in the order in which they were made.
func (d *Desk) Bookings() []Item {
	return d.bookings.items()
}

// PartsOrders returns the orders of parts in the order in which they were made.
func (d *Desk) PartsOrders() []Item {
	return d.orders.items()
}

// SetLatency changes the delay of answers.
func (d *Desk) SetLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
}

// Crash cuts all connections and takes the service down until Restart. What was
// booked stays booked.
func (d *Desk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.crashed:
	default:
		close(d.crashed)
	}
}

// Restart starts a crashed service again.
func (d *Desk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = make(chan struct{})
}

func (d *Desk) life() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// delay waits for the latency. It cuts the connection if the service crashes.
func (d *Desk) delay(ctx context.Context) {
	d.mu.Lock()
	latency, crashed := d.latency, d.crashed
	d.mu.Unlock()
	if latency <= 0 {
		return
	}
	timer := d.clock.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
}

func (d *Desk) create(w http.ResponseWriter, r *http.Request, c *collection) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		answerError(w, http.StatusRequestEntityTooLarge, err)
		return
	case err != nil:
		answerError(w, http.StatusBadRequest, err)
		return
	case !json.Valid(body):
		answerError(w, http.StatusBadRequest, errBadJSON)
		return
	}
	item := c.add(body)
	d.delay(r.Context())
	answer(w, http.StatusCreated, map[string]string{c.idName: item.ID})
}

func (d *Desk) read(w http.ResponseWriter, r *http.Request, c *collection) {
	d.delay(r.Context())
	id := r.PathValue("id")
	item, ok := c.find(id)
	if !ok {
		answerError(w, http.StatusNotFound, fmt.Errorf("no %s %q", c.prefix, id))
		return
	}
	answer(w, http.StatusOK, c.shown(item))
}

func (d *Desk) list(w http.ResponseWriter, r *http.Request, c *collection) {
	d.delay(r.Context())
	shown := []map[string]any{}
	for _, item := range c.items() {
		shown = append(shown, c.shown(item))
	}
	answer(w, http.StatusOK, shown)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func answerError(w http.ResponseWriter, status int, err error) {
	answer(w, status, struct{ Error string }{err.Error()})
}

// collection is a list of items, numbered from 1.
type collection struct {
	idName string
	prefix string

	mu   sync.Mutex
	list []Item
	byID map[string]int
}

func (c *collection) add(body json.RawMessage) Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	item := Item{ID: fmt.Sprintf("%s-%d", c.prefix, len(c.list)+1), Body: body}
	if c.byID == nil {
		c.byID = map[string]int{}
	}
	c.byID[item.ID] = len(c.list)
	c.list = append(c.list, item)
	return item
}

func (c *collection) find(id string) (Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.byID[id]
	if !ok {
		return Item{}, false
	}
	return c.list[i], true
}

func (c *collection) items() []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Item(nil), c.list...)
}

func (c *collection) shown(item Item) map[string]any {
	return map[string]any{c.idName: item.ID, "Body": item.Body}
}
