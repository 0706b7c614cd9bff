package edge

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/latest"
	"filberttrack.example/track/talk"
)

const (
	// pathEngine is the call by which agents read the description of a service's engines.
	pathEngine = "/service/engine"
	// engineReadInterval and engineMaxReadInterval are the minimum and maximum time between
	// two reads, and engineRetryInterval that after a failed one.
	engineReadInterval    = time.Second
	engineMaxReadInterval = 8 * time.Second
	engineRetryInterval   = 300 * time.Millisecond
	// maxEngineFailures is the number of failed reads from entries after which an agent reads the
	// configuration from the log.
	maxEngineFailures = 5
)

// engineRequest asks for the description of a service's engines.
type engineRequest struct {
	Service string
}

// engineReply holds the expert layout of a service's engines, and the version of the
// configuration that it comes from.
type engineReply struct {
	Version uint64
	Experts track.ExpertSpec
}

// engineSpec returns the description of a service's engines to an agent.
func (e *Entry) engineSpec(_ context.Context, request engineRequest) (engineReply, error) {
	table := e.configHolder.Table()
	if table == nil {
		return engineReply{}, track.Fail("read engines", track.Unavailable, errNoConfig)
	}
	service, ok := table.Service(request.Service)
	if !ok || service.Engine == nil {
		return engineReply{}, track.Fail("read engines", track.Refused,
			fmt.Errorf("version %d has no engines of service %q", table.Version(), request.Service))
	}
	return engineReply{Version: table.Version(), Experts: service.Engine.Experts}, nil
}

var errNoConfig = errors.New("no configuration is known yet")

// engineReader keeps an agent's description of the engines of its service up to date. It asks
// entries: the configuration itself may have thousands of routes, which would fill the link
// of an agent with each version.
type engineReader struct {
	service string
	client  *talk.Client
	// addresses returns the addresses of entries to ask, in order.
	addresses func() []string
	log       track.KeyedLog
	topics    Topics
	decode    latest.DecodeFunc
	clock     clockwork.Clock
	logger    *zap.Logger

	experts atomic.Pointer[engineReply]
}

// Experts returns the expert layout of the engines; false while it isn't known.
func (r *engineReader) Experts() (track.ExpertSpec, bool) {
	reply := r.experts.Load()
	if reply == nil {
		return track.ExpertSpec{}, false
	}
	return reply.Experts, true
}

// Run reads the description at intervals until the context ends, and returns the cause of that.
func (r *engineReader) Run(ctx context.Context) error {
	pause, failures := engineReadInterval, 0
	for {
		wait := pause
		reply, err := r.ask(ctx)
		if err != nil && failures >= maxEngineFailures && r.experts.Load() == nil {
			reply, err = r.readLog(ctx)
		}
		if err != nil {
			failures++
			wait = engineRetryInterval
			r.logger.Info("engines can't be read", zap.String("Service", r.service), zap.Error(err))
		} else {
			failures, pause = 0, min(2*pause, engineMaxReadInterval)
			r.update(reply)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-r.clock.After(wait):
		}
	}
}

// update stores a description unless a newer one is known.
func (r *engineReader) update(reply engineReply) {
	if old := r.experts.Load(); old != nil && old.Version > reply.Version {
		return
	}
	r.experts.Store(&reply)
}

// ask asks entries until one answers.
func (r *engineReader) ask(ctx context.Context) (engineReply, error) {
	err := error(track.Fail("read engines", track.Unavailable, errors.New("no entry is known")))
	for _, address := range r.addresses() {
		var reply engineReply
		callCtx, cancel := clockwork.WithTimeout(ctx, r.clock, engineRetryInterval)
		reply, err = talk.Call[engineRequest, engineReply](callCtx, r.client, address, pathEngine, engineRequest{r.service})
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return engineReply{}, err
}

// readLog reads the configuration from the log.
func (r *engineReader) readLog(ctx context.Context) (engineReply, error) {
	page, err := r.log.Newest(ctx, r.topics.Config, "")
	if err != nil {
		return engineReply{}, err
	}
	for _, record := range page.Records {
		if record.Key != r.topics.ConfigKey {
			continue
		}
		config, err := r.decode(record.Value)
		if err != nil {
			return engineReply{}, err
		}
		for _, service := range config.Services {
			if service.Name == r.service && service.Engine != nil {
				return engineReply{Version: config.Version, Experts: service.Engine.Experts}, nil
			}
		}
	}
	return engineReply{}, track.Fail("read engines", track.Refused, fmt.Errorf("the log has no engines of service %q", r.service))
}
