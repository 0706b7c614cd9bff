// Package latest holds the newest configuration of routes that this process has received.
// An older one never replaces it.
package latest

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
)

// DecodeFunc decodes a configuration record that the operator wrote.
type DecodeFunc func(data []byte) (track.RouteConfig, error)

// ConfigHolder holds the routing table of the newest configuration. It is safe for concurrent
// use.
type ConfigHolder struct {
	decode  DecodeFunc
	logger  *zap.Logger
	current atomic.Pointer[config]
	// ready is closed when the first configuration is stored.
	ready chan struct{}

	mu sync.Mutex
	// onChange is called with mu held.
	onChange func(*hosts.Table)
}

// config is a configuration in force.
type config struct {
	table *hosts.Table
	// data is the configuration as the operator encoded it.
	data []byte
}

// New returns a holder without a configuration. It calls onChange with each new table, one
// call at a time.
func New(decode DecodeFunc, onChange func(*hosts.Table), logger *zap.Logger) *ConfigHolder {
	return &ConfigHolder{decode: decode, logger: logger, onChange: onChange, ready: make(chan struct{})}
}

// Table returns the table of the current configuration, or nil before the first one.
func (h *ConfigHolder) Table() *hosts.Table {
	if current := h.current.Load(); current != nil {
		return current.table
	}
	return nil
}

// Current returns the version of the current configuration and its encoded form, which must not be
// changed; 0 and nil before the first one.
func (h *ConfigHolder) Current() (version uint64, data []byte) {
	if current := h.current.Load(); current != nil {
		return current.table.Version(), current.data
	}
	return 0, nil
}

// Ready returns a channel that is closed once there is a configuration.
func (h *ConfigHolder) Ready() <-chan struct{} {
	return h.ready
}

// Update replaces the current configuration with an encoded one from the log or a peer, if
// that is newer. If it isn't newer or can't be decoded, the current configuration stays and
// the reason is logged. Update returns false if the configuration can't be decoded.
func (h *ConfigHolder) Update(data []byte) bool {
	decoded, err := h.decode(data)
	if err != nil {
		h.logger.Error("failed to decode a configuration, keeping the current one", zap.Error(err))
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Table()
	if old != nil && old.Version() >= decoded.Version {
		h.logger.Info("ignored a configuration that isn't newer than the current one",
			zap.Uint64("Version", decoded.Version), zap.Uint64("InForce", old.Version()))
		return true
	}
	table := hosts.New(decoded)
	h.current.Store(&config{table: table, data: data})
	if old == nil {
		close(h.ready)
	}
	h.logger.Info("configuration in force", zap.Uint64("Version", decoded.Version),
		zap.Int("Routes", len(decoded.Routes)), zap.Int("Accounts", len(decoded.Accounts)))
	h.onChange(table)
	return true
}
