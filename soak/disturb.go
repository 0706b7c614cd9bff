package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"filberttrack.example/track/platform/mimic"
)

// disturb carries out one disturbance, and ends it.
func (s *stage) disturb(ctx context.Context, e Event) error {
	entry := s.entries[e.Target%len(s.entries)]
	place := s.sites[e.Target%len(s.sites)]
	switch e.Fault {
	case Freeze:
		entry.signal(syscall.SIGSTOP)
		defer entry.signal(syscall.SIGCONT)
	case Kill:
		entry.signal(syscall.SIGKILL)
	case Stop:
		entry.signal(syscall.SIGTERM)
	case Reload:
		entry.signal(syscall.SIGHUP)
	case LogAway:
		s.log.SetAway(true)
		defer s.log.SetAway(false)
	case LogSlow:
		s.log.SetDelay(slowLog)
		defer s.log.SetDelay(0)
	case ReplicaFaults:
		place.current().SetFault(e.How, e.Each)
		defer place.setSound()
	case ReplicaLeaves:
		return s.replace(ctx, place, e.For, true)
	case ReplicaDies:
		return s.replace(ctx, place, e.For, false)
	case LinkDelay, LinkReset, LinkSilent, LinkSlow:
		place.link.Set(e.Fault)
		defer place.link.Set("")
	case RevokeKey:
		s.revoke(e.Target)
	case NewRoute:
		s.addRoute()
	}
	return pause(ctx, e.For)
}

// slowLog is the delay of the log's answers while it is slow.
const slowLog = 400 * time.Millisecond

func (s *stage) revoke(target int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprint("key-", target%accounts)
	// One account always stays.
	if _, known := s.keys[key]; !known || key == firstKey {
		return
	}
	delete(s.keys, key)
	s.publish()
	s.history.Revoked[key] = time.Now()
}

func (s *stage) addRoute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprint("more-", len(s.routes))
	s.routes = append(s.routes, mimic.Route{Name: name, Prefix: "/" + name + "/", Service: serviceDesk, Kind: "safe"})
	s.publish()
}

// openSites starts the replicas.
func (s *stage) openSites() error {
	for _, service := range []string{serviceDesk, serviceModel} {
		for range s.setup.Replicas {
			link, err := NewLink()
			if err != nil {
				return err
			}
			place := &site{service: service, link: link}
			s.sites = append(s.sites, place)
			if err := s.start(place); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *stage) closeSites() {
	for _, place := range s.sites {
		place.link.Close()
	}
}

// start begins a new start of the replica at a place, under a new ID at the same
// address, and lists it.
func (s *stage) start(place *site) error {
	place.mu.Lock()
	place.starts++
	id := fmt.Sprintf("i-%s-%d", place.link.Address(), place.starts)
	replica := mimic.NewReplica(id, workTime, s.ledger)
	place.replica, place.out = replica, false
	born := int64(place.starts)
	place.mu.Unlock()
	place.link.Handle(replica)
	return s.list(place, id, false, born)
}

func (s *stage) list(place *site, id string, draining bool, born int64) error {
	data, err := mimic.Server(place.service, place.link.Address(), draining, born)
	if err != nil {
		return fmt.Errorf("list replica: %w", err)
	}
	s.log.Put(topicReplicas, id, data)
	return nil
}

// replace has a replica leave, or die, and another one start at its address.
func (s *stage) replace(ctx context.Context, place *site, away time.Duration, graceful bool) error {
	place.mu.Lock()
	old, born, out := place.replica, int64(place.starts), place.out
	place.out = true
	place.mu.Unlock()
	if out {
		return pause(ctx, away)
	}
	if graceful {
		if err := s.list(place, old.ID, true, born); err != nil {
			return err
		}
		s.mu.Lock()
		s.history.Left[old.ID] = time.Now()
		s.mu.Unlock()
		if err := pause(ctx, s.setup.Bounds.Drain+time.Second); err != nil {
			return err
		}
	}
	place.link.Handle(nil)
	if err := pause(ctx, away); err != nil {
		return err
	}
	s.log.Put(topicReplicas, old.ID, nil)
	return s.start(place)
}

func (p *site) current() *mimic.Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replica
}

func (p *site) setSound() {
	p.current().SetFault(mimic.Sound, 1)
}

// serve serves a handler on loopback until it is closed.
func serve(handler http.Handler) (closeServer func(), address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// It ends when it is closed.
		_ = server.Serve(listener)
	}()
	return func() {
		// Connections that break off with it are part of the scene.
		_ = server.Close()
		<-ended
	}, listener.Addr().String(), nil
}
