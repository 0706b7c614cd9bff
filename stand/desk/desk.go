// Package desk simulates a plain HTTP service that takes bookings and orders of
// parts. It doesn't deduplicate requests: a request that is sent twice creates two
// items, so that tests can count duplicate executions.
package desk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultMaxBodyBytes is the default of Settings.MaxBodyBytes.
const DefaultMaxBodyBytes = 1 << 20

var errBadJSON = errors.New("body is not JSON")

// Settings are the settings of a service.
type Settings struct {
	// PartsOrders enables the paths for orders of parts, in addition to bookings.
	PartsOrders bool
	// Latency is the delay of each response. Bookings and orders are created before the
	// delay.
	Latency time.Duration
	// MaxBodyBytes is the maximum size of a request body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

// BookingService is a simulated booking service. It is safe for concurrent use.
type BookingService struct {
	clock    clockwork.Clock
	settings Settings
	mux      *http.ServeMux
	bookings collection
	orders   collection

	mu      sync.Mutex
	latency time.Duration
	// limit is the limit that responses name, in requests a second; 0 if they name none.
	limit float64
	// crashed is closed when the service crashes. Restart replaces it.
	crashed chan struct{}
}

// Item is one booking or order.
type Item struct {
	ID string
	// Body is the JSON body of the request that created it.
	Body json.RawMessage
}

// New returns a running service without bookings and orders.
func New(clock clockwork.Clock, settings Settings) *BookingService {
	if settings.MaxBodyBytes <= 0 {
		settings.MaxBodyBytes = DefaultMaxBodyBytes
	}
	d := &BookingService{
		clock:    clock,
		settings: settings,
		mux:      http.NewServeMux(),
		latency:  settings.Latency,
		crashed:  make(chan struct{}),
		bookings: collection{idField: "BookingID", idPrefix: "booking"},
		orders:   collection{idField: "PartsOrderID", idPrefix: "parts-order"},
	}
	d.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	d.handle("/bookings", &d.bookings)
	if settings.PartsOrders {
		d.handle("/parts-orders", &d.orders)
	}
	return d
}

// handle registers the handlers that create, list and read the items of a collection.
func (d *BookingService) handle(path string, c *collection) {
	d.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { d.create(w, r, c) })
	d.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { d.list(w, r, c) })
	d.mux.HandleFunc("GET "+path+"/{id}", func(w http.ResponseWriter, r *http.Request) { d.read(w, r, c) })
}

// ServeHTTP implements http.Handler. While the service is down, it closes
// connections without a response.
func (d *BookingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.crashedChan():
		panic(http.ErrAbortHandler)
	default:
		d.mu.Lock()
		limit := d.limit
		d.mu.Unlock()
		if limit > 0 {
			w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		d.mux.ServeHTTP(w, r)
	}
}

// SetLimit makes responses name a limit, in requests a second; none if it is 0.
func (d *BookingService) SetLimit(limit float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
}

// Bookings returns the bookings in order of creation.
func (d *BookingService) Bookings() []Item {
	return d.bookings.items()
}

// PartsOrders returns the orders of parts in order of creation.
func (d *BookingService) PartsOrders() []Item {
	return d.orders.items()
}

// SetLatency sets the delay of responses.
func (d *BookingService) SetLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
}

// Crash closes the connections of requests in progress and takes the service down
// until Restart is called. Bookings and orders are kept.
func (d *BookingService) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.crashed:
	default:
		close(d.crashed)
	}
}

// Restart starts a crashed service again.
func (d *BookingService) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = make(chan struct{})
}

// crashedChan returns a channel that is closed when the service crashes.
func (d *BookingService) crashedChan() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// delay waits for the latency or until ctx ends. If the service crashes meanwhile,
// it closes the connection.
func (d *BookingService) delay(ctx context.Context) {
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

func (d *BookingService) create(w http.ResponseWriter, r *http.Request, c *collection) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, err)
		return
	case !json.Valid(body):
		writeError(w, http.StatusBadRequest, errBadJSON)
		return
	}
	item := c.add(body)
	d.delay(r.Context())
	writeJSON(w, http.StatusCreated, map[string]string{c.idField: item.ID})
}

func (d *BookingService) read(w http.ResponseWriter, r *http.Request, c *collection) {
	d.delay(r.Context())
	id := r.PathValue("id")
	item, ok := c.find(id)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("no %s %q", c.idPrefix, id))
		return
	}
	writeJSON(w, http.StatusOK, c.jsonObject(item))
}

func (d *BookingService) list(w http.ResponseWriter, r *http.Request, c *collection) {
	d.delay(r.Context())
	objects := []map[string]any{}
	for _, item := range c.items() {
		objects = append(objects, c.jsonObject(item))
	}
	writeJSON(w, http.StatusOK, objects)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, struct{ Error string }{err.Error()})
}

// collection is a list of items whose IDs are numbered from 1. It is safe for
// concurrent use.
type collection struct {
	// idField is the name of the ID in JSON.
	idField string
	// idPrefix is the part of an ID before the number.
	idPrefix string

	mu   sync.Mutex
	list []Item
	// byID holds the index in list.
	byID map[string]int
}

func (c *collection) add(body json.RawMessage) Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	item := Item{ID: fmt.Sprintf("%s-%d", c.idPrefix, len(c.list)+1), Body: body}
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

// jsonObject returns the JSON representation of an item.
func (c *collection) jsonObject(item Item) map[string]any {
	return map[string]any{c.idField: item.ID, "Body": item.Body}
}
