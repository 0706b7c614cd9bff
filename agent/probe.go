package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// probeInterval is the interval between health probes of the backend server.
const probeInterval = 250 * time.Millisecond

// probeTimeout is the timeout of one probe.
const probeTimeout = time.Second

// maxLoadBytes is the maximum size of a reported load. A list of 50,000 prefixes fits in.
const maxLoadBytes = 1 << 20

// Probe probes the health and the load of the backend server until the context ends, and
// returns the cause of its end. It is run as a background task.
func (a *Agent) Probe(ctx context.Context) error {
	ticker := a.options.Clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		a.probeOnce(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.Chan():
		case <-a.probeNow:
		}
	}
}

// probeOnce probes the backend server and updates its health and load.
func (a *Agent) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := a.fetchLoad(ctx)
	if err != nil {
		if a.healthy.Swap(false) {
			a.options.Logger.Warn("backend server failed its health probe", zap.Error(err))
		}
		return
	}
	if !a.healthy.Swap(true) {
		a.forgetSigns()
		a.options.Logger.Info("backend server up again")
	}
	a.loadMu.Lock()
	defer a.loadMu.Unlock()
	a.load = load
}

// fetchLoad requests the load from the backend server. A plain service without a load
// endpoint is healthy if it responds with any status below 500; its load is zero.
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
	a.observeProbe(response)
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		return load, fmt.Errorf("probe: status %d", response.StatusCode)
	case response.StatusCode != http.StatusOK:
		return load, nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&load)
	if err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	return load, nil
}
