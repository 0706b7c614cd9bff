package conf

import (
	"time"

	"filberttrack.example/track/claims"
)

// Default values of the settings.
const (
	defaultListen              = "127.0.0.1:8080"
	defaultAdmin               = "127.0.0.1:8081"
	defaultPeer                = "127.0.0.1:0"
	defaultMaxBodyBytes        = 4 << 20
	defaultMaxHeaderBytes      = 32 << 10
	defaultMaxAnswerBytes      = 16 << 20
	defaultMaxTimeout          = 10 * time.Minute
	defaultBalancerDelay       = 5 * time.Second
	defaultStopTimeout         = 2 * time.Minute
	defaultRetention           = 24 * time.Hour
	defaultProfileTimeout      = 60 * time.Second
	defaultMaxAttempts         = 3
	defaultRetryShare          = 0.1
	defaultRetryFloorPerSecond = 1
	defaultBackoff             = 25 * time.Millisecond
	defaultWeight              = 1
	defaultCapacity            = 32
	defaultCacheBlocks         = 4096
	defaultLayers              = 16
	defaultExperts             = 64
	defaultExpertBytes         = 16 << 20
	defaultStagedCopies        = 96
	// defaultFetchBytesPerSecond is about 4 Gbit/s for each rank.
	defaultFetchBytesPerSecond = 512 << 20
	// redundantSlots is the number of slots that a rank has for redundant expert copies
	// in each layer.
	redundantSlots = 2
)

// applyDefaults sets all settings that the file leaves at zero and that have a default.
func applyDefaults(s *Settings) {
	setDefault(&s.Entry.Listen, defaultListen)
	setDefault(&s.Entry.Admin, defaultAdmin)
	setDefault(&s.Entry.Peer, defaultPeer)
	setDefault(&s.Entry.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.Entry.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.Entry.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&s.Entry.MaxTimeout, defaultMaxTimeout)
	setDefault(&s.Entry.BalancerDelay, defaultBalancerDelay)
	setDefault(&s.Entry.StopTimeout, defaultStopTimeout)
	setDefault(&s.Entry.Claims.KeyRetention, claims.Defaults().KeyRetention)
	setDefault(&s.Agent.StopTimeout, defaultStopTimeout)
	setDefault(&s.Agent.GroupRanks, s.Agent.Ranks)
	setDefault(&s.Agent.Experts.Layers, defaultLayers)
	setDefault(&s.Agent.Experts.PerLayer, defaultExperts)
	setDefault(&s.Agent.Experts.Slots, DefaultSlots(s.Agent.GroupRanks, s.Agent.Experts.PerLayer))
	setDefault(&s.Agent.Experts.Bytes, defaultExpertBytes)
	setDefault(&s.Agent.Experts.FetchBytesPerSecond, defaultFetchBytesPerSecond)
	setDefault(&s.Agent.Experts.StagedCopies, defaultStagedCopies)
	setDefault(&s.Logging.Level, "info")
	setDefault(&s.Logging.Format, "json")
	setDefault(&s.Standin.Retention, defaultRetention)
	setDefault(&s.Platform.Retention, defaultRetention)
	for i := range s.Profile {
		p := &s.Profile[i]
		setDefault(&p.Timeout, defaultProfileTimeout)
		setDefault(&p.Retry.MaxAttempts, defaultMaxAttempts)
		setDefault(&p.Retry.Share, defaultRetryShare)
		setDefault(&p.Retry.FloorPerSecond, defaultRetryFloorPerSecond)
		setDefault(&p.Retry.Backoff, defaultBackoff)
	}
	for i := range s.Account {
		setDefault(&s.Account[i].Weight, defaultWeight)
	}
	for i := range s.Zone {
		for j := range s.Zone[i].Replicas {
			setDefault(&s.Zone[i].Replicas[j].Capacity, defaultCapacity)
			setDefault(&s.Zone[i].Replicas[j].CacheBlocks, defaultCacheBlocks)
		}
	}
	for i := range s.Standin.Servers {
		setDefault(&s.Standin.Servers[i].Capacity, defaultCapacity)
		setDefault(&s.Standin.Servers[i].CacheBlocks, defaultCacheBlocks)
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// DefaultSlots returns the default number of expert slots of a rank in each layer: its
// equal share of the layer's experts, rounded up, plus slots for redundant copies. It
// is at most the number of experts.
func DefaultSlots(ranks, experts int) int {
	ranks = max(1, ranks)
	return min(experts, (experts+ranks-1)/ranks+redundantSlots)
}
