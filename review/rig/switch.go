package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// The times of the case switch.
const (
	switchLength = 100 * time.Second
	// freezeTime is the length of a freeze.
	freezeTime = 1600 * time.Millisecond
	// wakeSpread is the longest time by which the agent, which has a share of 0.24 of a core, runs again later than
	// the rank on its machine.
	wakeSpread = 10 * time.Millisecond
	// calmTime is the time from the end of a freeze to the next one at the earliest.
	calmTime = 500 * time.Millisecond
	// shiftTime is the time between two shifts of the demand.
	shiftTime = 3200 * time.Millisecond
)

// runSwitch freezes the machine that gave the last order to a rank while the demand for experts shifts. It
// checks that no pass begins while two ranks have different maps.
func runSwitch(ctx context.Context, trouble bool, record *recorder) error {
	w, err := newWorld(2, trouble, record)
	if err != nil {
		return err
	}
	defer w.close()
	c := configuration{version: 1, keys: []string{"key1"}, engine: "llm", routes: []route{
		{name: "notes", prefix: "/notes/", service: "llm", kind: "streaming", timeoutMs: 8000},
	}}
	if err := w.platform.configure(c); err != nil {
		return err
	}
	g, agents, err := w.startGroup()
	if err != nil {
		return err
	}
	defer func() {
		for i, a := range agents {
			a.close()
			g.ranks[i].server.Close()
		}
	}()
	if err := w.startEntries(ctx); err != nil {
		return err
	}
	runCtx, stop := context.WithTimeout(ctx, switchLength)
	defer stop()
	go g.run(runCtx)
	go func() {
		for runCtx.Err() == nil {
			time.Sleep(shiftTime)
			g.shift(shiftShare)
		}
	}()
	if err := w.awaitReady(); err != nil {
		return err
	}
	freezes := 0
	for runCtx.Err() == nil {
		if trouble && freezeDriver(runCtx, g.ranks[0], agents[0]) {
			freezes++
		}
		time.Sleep(calmTime)
		if mismatch, _ := g.result(); mismatch != "" {
			break
		}
	}
	mismatch, changes := g.result()
	record.say("%d freezes, ranks changed their maps %d times", freezes, changes)
	switch {
	case mismatch != "":
		return fmt.Errorf("%w: MAP, %s", errBroken, mismatch)
	case changes == 0:
		return fmt.Errorf("the group has changed no map")
	}
	return nil
}

// freezeDriver freezes the machine of an agent as it has given an order to arm to its rank. The rank's
// address is silent meanwhile. It returns false if there was no such order.
func freezeDriver(ctx context.Context, r *rank, agent *entryProcess) bool {
	frozen := make(chan struct{})
	r.onNextArm(func() {
		r.setSilent(true)
		agent.signal(syscall.SIGSTOP)
		close(frozen)
	})
	select {
	case <-frozen:
	case <-ctx.Done():
		r.onNextArm(nil)
		select {
		case <-frozen:
		default:
			return false
		}
	}
	time.Sleep(freezeTime)
	r.setSilent(false)
	time.Sleep(rand.N(wakeSpread))
	agent.signal(syscall.SIGCONT)
	return true
}

// startGroup starts a group of ranks, and an agent beside each of them.
func (w *world) startGroup() (*group, []*entryProcess, error) {
	var addresses []string
	for i := range groupRanks {
		addresses = append(addresses, fmt.Sprintf("%s:%d", w.network.ip(firstAgentHost+i), replicaPort))
	}
	g, err := newGroup(addresses, w.record)
	if err != nil {
		return nil, nil, err
	}
	var agents []*entryProcess
	for i := range groupRanks {
		a := newEntry(i, w.network.ip(firstAgentHost+i), w.folder, w.entries[0].seeds, w.record)
		a.makeAgent(i, addresses[i])
		if err := a.writeSettings(w.storeAddress(storeHost)); err != nil {
			return nil, nil, fmt.Errorf("write the settings of %s: %w", a.name, err)
		}
		if err := a.start(); err != nil {
			return nil, nil, err
		}
		agents = append(agents, a)
	}
	return g, agents, nil
}
