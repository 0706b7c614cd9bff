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
	if e.Fault == ReplicaLeaves || e.Fault == ReplicaDies {
		return s.replace(ctx, s.sites[e.Target%len(s.sites)], e.For, e.Fault == ReplicaLeaves)
	}
	end := begins[e.Fault](s, e)
	if end != nil {
		defer end()
	}
	return pause(ctx, e.For)
}

// begins begins a disturbance of each kind, and returns what ends it, if that doesn't end
// by itself.
var begins = map[Fault]func(*stage, Event) func(){
	Freeze:       func(s *stage, e Event) func() { return freeze(s.entries[e.Target%len(s.entries)]) },
	Kill:         func(s *stage, e Event) func() { return send(s.entries, e, syscall.SIGKILL) },
	Stop:         func(s *stage, e Event) func() { return send(s.entries, e, syscall.SIGTERM) },
	Reload:       func(s *stage, e Event) func() { return send(s.entries, e, syscall.SIGHUP) },
	AgentFreezes: func(s *stage, e Event) func() { return freeze(s.agents[e.Target%len(s.agents)]) },
	AgentKilled:  func(s *stage, e Event) func() { return send(s.agents, e, syscall.SIGKILL) },
	LogAway: func(s *stage, _ Event) func() {
		s.log.SetAway(true)
		return func() { s.log.SetAway(false) }
	},
	LogSlow: func(s *stage, _ Event) func() {
		s.log.SetDelay(slowLog)
		return func() { s.log.SetDelay(0) }
	},
	ReplicaFaults: func(s *stage, e Event) func() {
		place := s.sites[e.Target%len(s.sites)]
		place.current().SetFault(e.How, e.Each)
		return place.setSound
	},
	LinkDelay:  disturbLink,
	LinkReset:  disturbLink,
	LinkSilent: disturbLink,
	LinkSlow:   disturbLink,
	RevokeKey: func(s *stage, e Event) func() {
		s.revoke(e.Target)
		return nil
	},
	NewRoute: func(s *stage, _ Event) func() {
		s.addRoute()
		return nil
	},
	OrdersLost: func(s *stage, _ Event) func() {
		s.group.Lose(lostOrders)
		return func() { s.group.Lose(0) }
	},
	DemandShifts: func(s *stage, _ Event) func() {
		s.group.Shift()
		return nil
	},
	GroupBreaks: func(s *stage, _ Event) func() {
		s.group.Break()
		return s.group.Form
	},
}

func freeze(p *process) func() {
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

func send(processes []*process, e Event, signal syscall.Signal) func() {
	processes[e.Target%len(processes)].signal(signal)
	return nil
}

func disturbLink(s *stage, e Event) func() {
	link := s.sites[e.Target%len(s.sites)].link
	link.Set(e.Fault)
	return func() { link.Set("") }
}

// lostOrders is the share of orders to engines that get no answer while some do.
const lostOrders = 0.2

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
		for rank := range s.setup.Replicas {
			link, err := NewLink()
			if err != nil {
				return err
			}
			place := &site{service: service, rank: rank, link: link}
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
	if place.service == serviceModel {
		place.link.Handle(mimic.Rank(s.group, place.rank, replica))
	} else {
		place.link.Handle(replica)
	}
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
