// Package latest holds the newest configuration of routes that this process has
// seen. It never goes back to an older one.
package latest

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
)

// Decode turns the operator's record into a configuration.
type Decode func(data []byte) (track.RouteConfig, error)

// Holder holds the table in force. It is safe for concurrent use.
type Holder struct {
	decode Decode
	logger *zap.Logger
	table  atomic.Pointer[hosts.Table]
	first  chan struct{}

	mu      sync.Mutex
	changed func(*hosts.Table)
}

// New returns a holder without a configuration. Changed is called with each new
// table, one at a time.
func New(decode Decode, changed func(*hosts.Table), logger *zap.Logger) *Holder {
	return &Holder{decode: decode, logger: logger, changed: changed, first: make(chan struct{})}
}

// Table returns the table in force, or nil before the first one.
func (h *Holder) Table() *hosts.Table {
	return h.table.Load()
}

// Ready returns a channel that is closed once there is a configuration.
func (h *Holder) Ready() <-chan struct{} {
	return h.first
}

// Offer takes a configuration that the log or a peer gave. One that can't be
// decoded, or is no newer than that in force, changes nothing.
func (h *Holder) Offer(data []byte) {
	config, err := h.decode(data)
	if err != nil {
		h.logger.Error("configuration can't be read, the one in force stays", zap.Error(err))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.table.Load()
	if old != nil && old.Version() >= config.Version {
		h.logger.Info("configuration is no newer than the one in force",
			zap.Uint64("Version", config.Version), zap.Uint64("InForce", old.Version()))
		return
	}
	table := hosts.New(config)
	h.table.Store(table)
	if old == nil {
		close(h.first)
	}
	h.logger.Info("configuration in force", zap.Uint64("Version", config.Version),
		zap.Int("Routes", len(config.Routes)), zap.Int("Accounts", len(config.Accounts)))
	h.changed(table)
}
