package config

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"filberttrack.example/track"
)

// spreadInterval is the time between questions to instances that lack a version.
const spreadInterval = 500 * time.Millisecond

// spreadParallel bounds the instances asked at the same time.
const spreadParallel = 32

// Spread says where a version is in force.
type Spread struct {
	Version uint64
	InForce []track.InstanceID
	// Behind lists the instances that answered with an older version.
	Behind []track.InstanceID
	// Silent lists the instances that have not answered.
	Silent []track.InstanceID
}

// Complete reports whether the version is in force on all known instances.
func (s Spread) Complete() bool {
	return len(s.Behind) == 0 && len(s.Silent) == 0
}

// AwaitSpread waits until a version is in force on all live instances that are
// known, or the context ends, and returns where it is.
func (s *Store) AwaitSpread(ctx context.Context, version uint64) Spread {
	reached := make(map[track.InstanceID]bool)
	for {
		spread := s.askSpread(ctx, version, reached)
		if spread.Complete() || ctx.Err() != nil {
			return spread
		}
		select {
		case <-ctx.Done():
			return spread
		case <-s.o.Clock.After(spreadInterval):
		}
	}
}

// askSpread asks all instances once that have not reached the version yet.
// Versions never fall, so one answer is enough.
func (s *Store) askSpread(ctx context.Context, version uint64, reached map[track.InstanceID]bool) Spread {
	spread := Spread{Version: version}
	if s.Position().Version >= version {
		spread.InForce = append(spread.InForce, s.o.Self.ID)
	} else {
		spread.Behind = append(spread.Behind, s.o.Self.ID)
	}
	var open []track.ConfigContact
	for _, contact := range s.o.Peers.Known() {
		if reached[contact.Instance.ID] {
			spread.InForce = append(spread.InForce, contact.Instance.ID)
			continue
		}
		open = append(open, contact)
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(spreadParallel)
	for _, contact := range open {
		group.Go(func() error {
			position, err := s.positionOf(ctx, contact)
			mu.Lock()
			defer mu.Unlock()
			s.sortIn(&spread, contact.Instance.ID, position, err)
			return nil
		})
	}
	// The functions report failure as silence.
	_ = group.Wait()
	for _, id := range spread.InForce {
		reached[id] = true
	}
	for _, ids := range [][]track.InstanceID{spread.InForce, spread.Behind, spread.Silent} {
		slices.SortFunc(ids, cmp.Compare[track.InstanceID])
	}
	return spread
}

func (s *Store) sortIn(spread *Spread, id track.InstanceID, position track.ConfigPosition, err error) {
	switch {
	case err != nil:
		spread.Silent = append(spread.Silent, id)
	case position.Version >= spread.Version:
		spread.InForce = append(spread.InForce, id)
	default:
		spread.Behind = append(spread.Behind, id)
	}
}

// positionOf asks an instance for its position only: nothing is newer than what
// the question claims to know.
func (s *Store) positionOf(ctx context.Context, contact track.ConfigContact) (track.ConfigPosition, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, s.o.PeerTimeout)
	defer cancel()
	news, err := contact.Peer.News(ctx, track.ConfigPosition{Instance: s.o.Self.ID, Known: true, Seq: ^uint64(0)})
	return news.Position, err
}
