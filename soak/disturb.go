package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"filberttrack.example/track/platform/mimic"
)

// longFaults lists the faults that consist of several steps and are not in faultInjectors.
var longFaults = []Fault{ReplicaLeaves, ReplicaDies, ReplicaSaysLeaving, CrashingRequest, CrashingPart, ReplicaLimited, ReplicasLimited, ZoneEvacuated, ReplicasCold}

// injectFault injects a planned fault, waits for its duration and ends it.
func (s *testbed) injectFault(ctx context.Context, e PlannedFault) error {
	switch e.Fault {
	case ReplicaLeaves, ReplicaDies, ReplicaSaysLeaving:
		return s.replaceReplica(ctx, s.endpoints[e.Target%len(s.endpoints)], e.Duration, e.Fault)
	case CrashingRequest, CrashingPart:
		return s.sendCrashing(ctx, e)
	case ReplicaLimited, ReplicasLimited:
		return s.limitReplicas(ctx, e)
	case ZoneEvacuated:
		return s.evacuateZone(ctx, e)
	case ReplicasCold:
		return s.restartCold(ctx, e)
	}
	end := faultInjectors[e.Fault](s, e)
	if e.Fault == Kill {
		// The process starts again at once.
		return nil
	}
	if end != nil {
		defer end()
	}
	return sleep(ctx, e.Duration)
}

// darkTopics lists the topics that can be dark. The configuration is listed three times, as it changes the least often.
var darkTopics = []string{"op", "op", "op", "servers", "members"}

// faultInjectors holds functions that start a fault of a kind. They return the function that ends
// the fault, or nil if it ends by itself.
var faultInjectors = map[Fault]func(*testbed, PlannedFault) func(){
	Freeze:       func(s *testbed, e PlannedFault) func() { return freeze(s.entries[e.Target%len(s.entries)]) },
	Kill:         func(s *testbed, e PlannedFault) func() { return sendSignal(s.entries, e, syscall.SIGKILL) },
	Stop:         func(s *testbed, e PlannedFault) func() { return sendSignal(s.entries, e, syscall.SIGTERM) },
	Reload:       func(s *testbed, e PlannedFault) func() { return sendSignal(s.entries, e, syscall.SIGHUP) },
	AgentFreezes: func(s *testbed, e PlannedFault) func() { return freeze(s.agents[e.Target%len(s.agents)]) },
	AgentKilled:  func(s *testbed, e PlannedFault) func() { return sendSignal(s.agents, e, syscall.SIGKILL) },
	LogAway: func(s *testbed, _ PlannedFault) func() {
		s.log.SetUnavailable(true)
		return func() { s.log.SetUnavailable(false) }
	},
	LogPartDark: func(s *testbed, e PlannedFault) func() {
		topic := darkTopics[e.Target%len(darkTopics)]
		s.log.SetDark(topic, true)
		return func() { s.log.SetDark(topic, false) }
	},
	LogSlow: func(s *testbed, _ PlannedFault) func() {
		s.log.SetDelay(slowLogDelay)
		return func() { s.log.SetDelay(0) }
	},
	ReplicaFaults: func(s *testbed, e PlannedFault) func() { return s.setReplicaFault(e, e.ReplicaFault, e.Interval) },
	InvalidHeads: func(s *testbed, e PlannedFault) func() {
		return s.setReplicaFault(e, mimic.InvalidHead, invalidHeadInterval)
	},
	EarlyAnswers: func(s *testbed, e PlannedFault) func() { return s.setReplicaFault(e, mimic.EarlyAnswer, 1) },
	LinkDelay:    injectLinkFault,
	LinkReset:    injectLinkFault,
	LinkSilent:   injectLinkFault,
	LinkSlow:     injectLinkFault,
	RevokeKey: func(s *testbed, e PlannedFault) func() {
		s.revokeKey(e.Target)
		return nil
	},
	NewRoute: func(s *testbed, _ PlannedFault) func() {
		s.addRoute()
		return nil
	},
	OrdersLost: func(s *testbed, _ PlannedFault) func() {
		s.group.SetLossRate(lostOrderShare)
		return func() { s.group.SetLossRate(0) }
	},
	DemandShifts: func(s *testbed, _ PlannedFault) func() {
		s.group.ShiftDemand()
		return nil
	},
	GroupBreaks: func(s *testbed, _ PlannedFault) func() {
		s.group.Break()
		return s.group.Restart
	},
	LogRestored: func(s *testbed, e PlannedFault) func() {
		s.log.SetUnavailable(true)
		from := time.Now()
		return func() {
			// Until now no entry could know what the operator and the replicas have written meanwhile.
			s.recordFault(FaultPeriod{From: from, To: time.Now(), Fault: LogAway})
			s.restoreLog(1+e.Target%maxLostRecords, rewriteDelay+time.Duration(e.Interval)*operatorDelayStep)
		}
	},
	ReplicaRests: func(s *testbed, e PlannedFault) func() {
		s.endpoints[e.Target%len(s.endpoints)].current().Rest(e.Duration)
		return nil
	},
	ReplicasRest: func(s *testbed, e PlannedFault) func() {
		service := s.endpoints[e.Target%len(s.endpoints)].service
		for _, ep := range s.endpoints {
			if ep.service == service {
				ep.current().Rest(e.Duration)
			}
		}
		return nil
	},
}

const (
	// maxLostRecords is the largest number of records of a topic that a restored log lacks.
	maxLostRecords = 12
	// rewriteDelay is the time after which the replicas write again what a restored log lacks, and the
	// shortest time until the operator does. That is operatorDelayStep longer for each interval of the
	// planned fault.
	rewriteDelay      = 400 * time.Millisecond
	operatorDelayStep = 600 * time.Millisecond
)

const (
	// limitedTime is the time for which a replica names a limit, in addition to the planned time of the
	// fault: entries must keep to it from stableTime on.
	limitedTime = 6 * time.Second
	// limitStep is multiplied by the interval of the planned fault to give the limit, in requests a second.
	limitStep = 0.25
)

// setReplicaFault makes the replica at the target of a planned fault answer each interval-th request with a fault, and
// returns the function that ends it.
func (s *testbed) setReplicaFault(e PlannedFault, fault mimic.Fault, interval int) func() {
	ep := s.endpoints[e.Target%len(s.endpoints)]
	ep.current().SetFault(fault, interval)
	return ep.clearFault
}

// limitReplicas makes a replica, or all of its service, name a limit, and returns when they no longer do.
func (s *testbed) limitReplicas(ctx context.Context, e PlannedFault) error {
	limited := e.Duration + limitedTime
	chosen := s.endpoints[e.Target%len(s.endpoints)]
	for _, ep := range s.endpoints {
		if ep == chosen || e.Fault == ReplicasLimited && ep.service == chosen.service {
			ep.current().Limit(limitStep*float64(e.Interval), limited)
		}
	}
	return sleep(ctx, limited)
}

func (s *testbed) recordFault(f FaultPeriod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Faults = append(s.history.Faults, f)
}

// restoreLog brings the log back from a copy that lacks the latest records of each topic. The
// replicas and the operator then write theirs again, the operator after the given time.
func (s *testbed) restoreLog(lost int, operatorDelay time.Duration) {
	s.log.Restore(lost)
	s.log.SetUnavailable(false)
	time.Sleep(rewriteDelay)
	s.rewriteReplicas()
	time.Sleep(operatorDelay - rewriteDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putConfig()
	s.putEvacuations()
}

// rewriteReplicas appends the latest record of each replica to the log once more.
func (s *testbed) rewriteReplicas() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, data := range s.listed {
		s.log.Put(topicReplicas, id, data)
	}
}

// freeze suspends a process. The returned function resumes it.
func freeze(p *process) func() {
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

// sendSignal sends a signal to the process that the planned fault targets.
func sendSignal(processes []*process, e PlannedFault, signal syscall.Signal) func() {
	processes[e.Target%len(processes)].signal(signal)
	return nil
}

// injectLinkFault sets the fault of the link that the planned fault targets.
func injectLinkFault(s *testbed, e PlannedFault) func() {
	link := s.endpoints[e.Target%len(s.endpoints)].link
	link.SetFault(e.Fault)
	return func() { link.SetFault("") }
}

// lostOrderShare is the share of orders to engines that get no response while orders are lost.
const lostOrderShare = 0.2

// slowLogDelay is the delay of responses of the log while it is slow.
const slowLogDelay = 400 * time.Millisecond

// revokeKey removes a key from the configuration, unless it is firstKey or already revoked.
func (s *testbed) revokeKey(target int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprint("key-", target%accountCount)
	// One account always keeps its key.
	if _, known := s.keys[key]; !known || key == firstKey {
		return
	}
	delete(s.keys, key)
	s.publishConfig()
	s.history.RevokedAt[key] = time.Now()
}

// addRoute adds a route to the configuration.
func (s *testbed) addRoute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprint("more-", len(s.routes))
	s.routes = append(s.routes, mimic.Route{Name: name, Prefix: "/" + name + "/", Service: serviceDesk, Kind: "safe"})
	s.publishConfig()
	s.history.AddedAt[name] = time.Now()
}

// startReplicas creates the endpoints and starts a replica at each.
func (s *testbed) startReplicas(ctx context.Context) error {
	for _, service := range []string{serviceDesk, serviceModel} {
		for rank := range s.setup.Replicas {
			link, err := NewLink()
			if err != nil {
				return err
			}
			ep := &endpoint{service: service, index: rank, link: link}
			s.endpoints = append(s.endpoints, ep)
			if err := s.startReplica(ctx, ep); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *testbed) closeLinks() {
	for _, ep := range s.endpoints {
		ep.link.Close()
	}
}

const (
	// crashingTime is the time for which requests that crash replicas are sent, each
	// crashingInterval one.
	crashingTime     = 15 * time.Second
	crashingInterval = 250 * time.Millisecond
	// crashAwayTime is the time from the crash of a replica to the start of the next one at its
	// address, and listedAfterCrash the time after the crash for which its entry stays listed.
	crashAwayTime    = 2 * time.Second
	listedAfterCrash = 3600 * time.Millisecond
)

// sendCrashing sends requests that crash replicas through all entries in turn.
func (s *testbed) sendCrashing(ctx context.Context, e PlannedFault) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var sending errgroup.Group
	// Requests return no errors.
	defer func() { _ = sending.Wait() }()
	for n := range int(crashingTime / crashingInterval) {
		request := mimic.Request{
			ID: fmt.Sprintf("x-%d-%d", e.Target, n), Entry: s.entries[(e.Target+n)%len(s.entries)].callersAddress(),
			Method: http.MethodGet, Path: fmt.Sprint("/safe/", mimic.CrashingRequestPrefix, e.Target), Key: firstKey, Timeout: clientTimeout,
		}
		if e.Fault == CrashingPart {
			request.Method, request.Path = http.MethodPost, fmt.Sprint("/llm/", n, "/stream/", streamEvents)
			request.Prompt = fmt.Sprintf("%s:40,%s%d:300,own-%d:100", streamKind, mimic.CrashingPartPrefix, e.Target, n)
		}
		sending.Go(func() error { mimic.Send(ctx, client, request); return nil })
		if err := sleep(ctx, crashingInterval); err != nil {
			return err
		}
	}
	return nil
}

// crashReplica ends the replica at an endpoint at once. Another one starts at its address before its
// entry in the list has lapsed. The group of a rank that crashes is broken until all ranks run again.
func (s *testbed) crashReplica(ctx context.Context, ep *endpoint, id string) {
	ep.mu.Lock()
	unavailable := ep.unavailable
	ep.unavailable = true
	ep.mu.Unlock()
	if unavailable {
		return
	}
	if ep.service == serviceModel {
		s.crashedRanks.Add(1)
		s.group.Break()
	}
	s.restarts.Go(func() error {
		ep.link.SetHandler(nil)
		if err := sleep(ctx, crashAwayTime); err != nil {
			return err
		}
		err := s.startReplica(ctx, ep)
		if ep.service == serviceModel && s.crashedRanks.Add(-1) == 0 {
			s.group.Restart()
		}
		if sleep(ctx, listedAfterCrash-crashAwayTime) == nil {
			s.putReplica(id, nil)
		}
		return err
	})
}

// startReplica starts a new replica at an endpoint and lists it. The replica has a new ID but the
// same address as the one before.
func (s *testbed) startReplica(ctx context.Context, ep *endpoint) error {
	ep.mu.Lock()
	ep.starts++
	id := fmt.Sprintf("i-%s-%d", ep.link.Address(), ep.starts)
	replica := mimic.NewReplica(id, workTime, s.ledger)
	replica.OnCrash(func() { s.crashReplica(ctx, ep, id) })
	ep.replica, ep.unavailable = replica, false
	born := int64(ep.starts)
	ep.mu.Unlock()
	s.mu.Lock()
	s.history.ReplicaZones[id] = s.zone(ep.index)
	s.mu.Unlock()
	state := mimic.ServerState{ID: id, Born: born, Sequence: 1}
	if ep.service == s.cold.Service {
		state.ColdRemaining = s.cold.Time
		s.recordColdStart(ctx, ep, id, born)
	}
	if ep.service == serviceModel {
		ep.link.SetHandler(mimic.RankHandler(s.group, ep.index, replica))
	} else {
		ep.link.SetHandler(replica)
	}
	return s.listReplica(ep, state)
}

// listReplica publishes a replica in the platform's list of servers.
func (s *testbed) listReplica(ep *endpoint, state mimic.ServerState) error {
	data, err := mimic.Server(ep.service, ep.link.Address(), s.zone(ep.index), state)
	if err != nil {
		return fmt.Errorf("list replica: %w", err)
	}
	s.putReplica(state.ID, data)
	return nil
}

// putReplica writes the record of a replica, or deletes it if there is no data.
func (s *testbed) putReplica(id string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[id] = data
	s.log.Put(topicReplicas, id, data)
}

// replaceReplica stops the replica at an endpoint and starts another one at the same address after
// some time. The replica dies, or leaves after it has said so in the list or in its answers.
func (s *testbed) replaceReplica(ctx context.Context, ep *endpoint, away time.Duration, fault Fault) error {
	ep.mu.Lock()
	old, born, unavailable := ep.replica, int64(ep.starts), ep.unavailable
	ep.unavailable = true
	ep.mu.Unlock()
	if unavailable {
		return sleep(ctx, away)
	}
	switch fault {
	case ReplicaLeaves:
		state := mimic.ServerState{ID: old.ID, Born: born, Sequence: 1, Draining: true}
		if ep.service == s.cold.Service {
			state.Sequence = 3 // The second record says that the replica is warm.
		}
		if err := s.listReplica(ep, state); err != nil {
			return err
		}
		s.recordLeaving(old.ID)
	case ReplicaSaysLeaving:
		old.SetLeaving(func() { s.recordLeaving(old.ID) })
	}
	if fault != ReplicaDies {
		if err := sleep(ctx, s.setup.Bounds.DrainTime+time.Second); err != nil {
			return err
		}
	}
	ep.link.SetHandler(nil)
	if err := sleep(ctx, away); err != nil {
		return err
	}
	s.putReplica(old.ID, nil)
	return s.startReplica(ctx, ep)
}

// recordLeaving records that a replica has let it be known that it leaves.
func (s *testbed) recordLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.LeftAt[id] = time.Now()
}

func (e *endpoint) current() *mimic.Replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replica
}

func (e *endpoint) clearFault() {
	e.current().SetFault(mimic.NoFault, 1)
}

// startServer serves a handler on a loopback address until closeServer is called.
func startServer(handler http.Handler) (closeServer func(), address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Serve returns an error when the server is closed, which is expected.
		_ = server.Serve(listener)
	}()
	return func() {
		// Closing breaks open connections, which the run has to tolerate.
		_ = server.Close()
		<-ended
	}, listener.Addr().String(), nil
}
