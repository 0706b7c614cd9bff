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

// propagationPollInterval is the time between polls of instances on which a
// version is not yet in force.
const propagationPollInterval = 500 * time.Millisecond

// maxParallelPolls is the maximum number of instances polled at the same time.
const maxParallelPolls = 32

// Propagation says on which instances a version is in force.
type Propagation struct {
	Version uint64
	InForce []track.InstanceID
	// Behind lists the instances that answered with an older version.
	Behind []track.InstanceID
	// Silent lists the instances that have not answered.
	Silent []track.InstanceID
}

// Complete reports whether the version is in force on all known instances.
func (s Propagation) Complete() bool {
	return len(s.Behind) == 0 && len(s.Silent) == 0
}

// AwaitPropagation waits until a version is in force on all known live instances
// or the context ends, and returns on which ones it is.
func (s *Store) AwaitPropagation(ctx context.Context, version uint64) Propagation {
	reached := make(map[track.InstanceID]bool)
	for {
		propagation := s.pollPropagation(ctx, version, reached)
		if propagation.Complete() || ctx.Err() != nil {
			return propagation
		}
		select {
		case <-ctx.Done():
			return propagation
		case <-s.options.Clock.After(propagationPollInterval):
		}
	}
}

// pollPropagation polls each instance once that is not yet in reached. Versions
// never decrease, so an instance that has reached the version is not polled
// again.
func (s *Store) pollPropagation(ctx context.Context, version uint64, reached map[track.InstanceID]bool) Propagation {
	propagation := Propagation{Version: version}
	if s.Position().Version >= version {
		propagation.InForce = append(propagation.InForce, s.options.Self.ID)
	} else {
		propagation.Behind = append(propagation.Behind, s.options.Self.ID)
	}
	var pending []track.ConfigContact
	for _, contact := range s.options.Peers.AllContacts() {
		if reached[contact.Instance.ID] {
			propagation.InForce = append(propagation.InForce, contact.Instance.ID)
			continue
		}
		pending = append(pending, contact)
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelPolls)
	for _, contact := range pending {
		group.Go(func() error {
			position, err := s.fetchPosition(ctx, contact)
			mu.Lock()
			defer mu.Unlock()
			s.addAnswer(&propagation, contact.Instance.ID, position, err)
			return nil
		})
	}
	// The functions return no errors: an instance whose poll fails is listed as
	// silent.
	_ = group.Wait()
	for _, id := range propagation.InForce {
		reached[id] = true
	}
	for _, ids := range [][]track.InstanceID{propagation.InForce, propagation.Behind, propagation.Silent} {
		slices.SortFunc(ids, cmp.Compare[track.InstanceID])
	}
	return propagation
}

func (s *Store) addAnswer(propagation *Propagation, id track.InstanceID, position track.ConfigPosition, err error) {
	switch {
	case err != nil:
		propagation.Silent = append(propagation.Silent, id)
	case position.Version >= propagation.Version:
		propagation.InForce = append(propagation.InForce, id)
	default:
		propagation.Behind = append(propagation.Behind, id)
	}
}

// fetchPosition requests only the position of an instance. The request claims to
// know the highest possible sequence number, so that the answer holds neither
// records nor a state.
func (s *Store) fetchPosition(ctx context.Context, contact track.ConfigContact) (track.ConfigPosition, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.PeerTimeout)
	defer cancel()
	update, err := contact.Peer.FetchUpdate(ctx, track.ConfigPosition{
		Instance: s.options.Self.ID, Known: true, Seq: ^uint64(0),
	})
	return update.Position, err
}
