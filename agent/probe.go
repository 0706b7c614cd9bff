package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// probeInterval is the time between two looks at the backend server.
const probeInterval = 250 * time.Millisecond

// probeTimeout bounds one look at the backend server.
const probeTimeout = time.Second

// Probe watches the health and the load of the backend server until the context
// ends. It is a duty of the agent.
func (a *Agent) Probe(ctx context.Context) error {
	ticker := a.options.Clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		a.probeOnce(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.Chan():
		case <-a.suspected:
		}
	}
}

func (a *Agent) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := a.fetchLoad(ctx)
	if err != nil {
		if a.up.Swap(false) {
			a.options.Logger.Warn("backend server fails its probe", zap.Error(err))
		}
		return
	}
	if !a.up.Swap(true) {
		a.options.Logger.Info("backend server is back")
	}
	a.loadMu.Lock()
	defer a.loadMu.Unlock()
	a.load = load
}

// fetchLoad asks the backend server for its load. A plain service that offers
// no load page is up if it answers at all.
func (a *Agent) fetchLoad(ctx context.Context) (track.Load, error) {
	var load track.Load
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, a.options.Backend.JoinPath("load").String(), nil)
	if err != nil {
		return load, fmt.Errorf("build probe: %w", err)
	}
	response, err := a.options.Client.Do(request)
	if err != nil {
		return load, fmt.Errorf("probe: %w", err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		return load, fmt.Errorf("probe: status %d", response.StatusCode)
	case response.StatusCode != http.StatusOK:
		return load, nil
	}
	err = json.NewDecoder(response.Body).Decode(&load)
	if err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	return load, nil
}
